// Runs the fault matrix (docs/design.md, section 12) and prints it as a table.
#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "matrix/matrix.h"
#include "matrix/matrix_table.h"

namespace pomelohall::matrix {
namespace {

struct matrix_options {
  std::uint64_t seed = 1;
  std::string defect;
  std::string step;
  bool list = false;
};

std::string CellName(const suite& part, const cell& item) {
  return part.name + " " + item.step + " " +
         std::string(FaultName(item.faults.first)) + "+" +
         std::string(FaultName(item.faults.second));
}

void List(const std::vector<suite>& suites) {
  for (const auto& part : suites) {
    for (const auto& item : part.cells) {
      std::cout << "cell " << CellName(part, item) << "\n";
    }
    for (const auto& item : part.defects) {
      std::cout << "defect " << item.name << " violates "
                << GuaranteeName(item.violates) << "\n";
    }
  }
}

int Run(const std::vector<suite>& suites, const matrix_options& options) {
  matrix_table table;
  std::size_t passed = 0;
  std::size_t failed = 0;
  for (const auto& part : suites) {
    for (const auto& item : part.cells) {
      if (!options.step.empty() && item.step != options.step) continue;
      const auto violations = item.run(options.seed, options.defect);
      if (!table.Add(item, violations)) {
        ++passed;
        continue;
      }
      ++failed;
      std::cout << "failed: " << CellName(part, item) << "\n";
      for (const auto& found : violations) {
        std::cout << "  " << GuaranteeName(found.which) << ": " << found.detail
                  << "\n";
      }
    }
  }
  table.Print(std::cout);
  for (const auto& part : suites) {
    for (const auto& reason : part.not_covered) {
      std::cout << "not covered (" << part.name << "): " << reason << "\n";
    }
  }
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pomelohall::matrix

int main(int argc, char** argv) {
  using namespace pomelohall::matrix;  // NOLINT(google-build-using-namespace)
  matrix_options options;
  CLI::App app("Runs every step under every fault and every pair of faults");
  app.add_option("--seed", options.seed, "Seed of the random number generator");
  app.add_option("--defect", options.defect, "Name of the defect to inject");
  app.add_option("--step", options.step, "Runs only the cells of this step");
  app.add_flag("--list", options.list, "Lists the cells and defects and exits");
  CLI11_PARSE(app, argc, argv);
  const std::vector<suite> suites{ControlSuite(), CallSuite()};
  if (options.list) {
    List(suites);
    return 0;
  }
  return Run(suites, options);
}
