// The operators' command. Each subcommand is declared by one Add function and
// returns its output; main() prints it and turns its error into the exit code.

#include <CLI/CLI.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

#include "operators/apply_command.h"
#include "operators/command_output.h"
#include "operators/diff_command.h"
#include "operators/drain_command.h"
#include "operators/io_environment.h"
#include "operators/report_command.h"
#include "operators/status_command.h"
#include "operators/validate_command.h"

namespace pomelohall {
namespace {

constexpr double kMaxTimeoutSeconds = 3600;

/// Options that every subcommand understands.
struct global_options {
  std::string platform;
  std::string name_space = std::string(kDefaultNamespace);
  output_format format = output_format::kTable;
};

using command = std::function<command_output()>;

/// Builds the command line; Selected() is the subcommand that was given.
class command_line {
 public:
  command_line() {
    app_.require_subcommand(1);
    app_.fallthrough();  // global options may follow the subcommand
    app_.add_option("--platform", global_.platform,
                    "IP:PORT of the platform's object API")
        ->envname("POMELOHALL_PLATFORM");
    app_.add_option("--namespace", global_.name_space,
                    "Namespace of the objects on the platform")
        ->capture_default_str();
    app_.add_option("--output", format_name_, "json or table")
        ->check(CLI::IsMember({"json", "table"}))
        ->capture_default_str();
    AddValidate();
    AddApply();
    AddDiff();
    AddStatus();
    AddReport();
    AddDrain();
  }

  CLI::App& App() { return app_; }
  output_format Format() const { return global_.format; }
  /// @pre The command line was parsed.
  command_output RunSelected() {
    if (format_name_ == "json") global_.format = output_format::kJson;
    return selected_();
  }

 private:
  CLI::App* Add(const std::string& name, const std::string& description,
                command run) {
    CLI::App* const sub = app_.add_subcommand(name, description);
    sub->callback([this, run = std::move(run)] { selected_ = run; });
    return sub;
  }

  void AddValidate() {
    auto* const sub =
        Add("validate", "Checks a configuration document", [this] {
          return WithFile([this](const std::string& text) {
            return RunValidate(text, global_.format);
          });
        });
    AddFile(sub)->required();
  }

  void AddApply() {
    auto* const sub =
        Add("apply", "Makes a configuration document the next version",
            [this] { return Apply(); });
    auto* const file = AddFile(sub);
    auto* const resume = sub->add_option(
        "--resume", apply_.resume,
        "Change id whose outcome was unknown: shows what became of it");
    resume->excludes(file);
    sub->add_flag("--wait", apply_.wait,
                  "Waits until every data centre has the version in force");
    sub->add_option("--timeout", timeout_s_,
                    "Seconds to reach the platform, and again to wait")
        ->check(CLI::Range(0.0, kMaxTimeoutSeconds))
        ->capture_default_str();
  }

  command_output Apply() {
    apply_.format = global_.format;
    apply_.timeout = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(timeout_s_));
    const auto run = [this] {
      return WithPlatform(
          [this](environment& where) { return RunApply(where, apply_); });
    };
    if (!apply_.resume.empty()) return run();
    return WithFile([this, run](const std::string& text) {
      apply_.document = text;
      return run();
    });
  }

  void AddDiff() {
    auto* const sub =
        Add("diff", "Shows what applying a document would change", [this] {
          return WithFile([this](const std::string& text) {
            return WithPlatform([&](environment& where) {
              return RunDiff(where,
                             {.document = text, .format = global_.format});
            });
          });
        });
    AddFile(sub)->required();
  }

  void AddStatus() {
    auto* const sub = Add(
        "status", "Shows the versions in force in every data centre", [this] {
          return WithPlatform([this](environment& where) {
            return RunStatus(where, {.services = status_services_,
                                     .format = global_.format});
          });
        });
    sub->add_flag("--services", status_services_,
                  "Also shows the backend servers of each service");
  }

  void AddReport() {
    auto* const sub =
        Add("report",
            "Shows per class the figure, the error budget and the burn rates",
            [this] { return Report(); });
    sub->add_option("--window", report_window_,
                    "Time that the report covers, such as 30m, 24h or 28d")
        ->capture_default_str();
    sub->add_flag("--html", report_.html,
                  "One self-contained HTML page with a picture");
    sub->add_flag("--include-recent", report_.include_recent,
                  "Includes minutes of which objects may still arrive");
  }

  command_output Report() {
    const auto minutes = ParseReportWindow(report_window_);
    if (!minutes) return Failed(minutes.error());
    report_.window_minutes = *minutes;
    report_.format = global_.format;
    report_.unix_seconds =
        std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    return WithPlatform(
        [this](environment& where) { return RunReport(where, report_); });
  }

  void AddDrain() {
    auto* const sub =
        Add("drain", "Stops new work for the backend server of one VM", [this] {
          return RunDrain({.daemon = daemon_, .format = global_.format});
        });
    sub->add_option("--daemon", daemon_,
                    "IP:PORT of the local listener of the VM's daemon")
        ->required();
  }

  CLI::Option* AddFile(CLI::App* sub) {
    return sub->add_option("FILE", file_,
                           "Configuration document (JSON); - reads the "
                           "standard input");
  }

  command_output WithFile(
      const std::function<command_output(const std::string&)>& run) {
    if (file_.empty()) {
      return Failed(
          {error_kind::kInvalidRequest, "apply needs FILE or --resume"});
    }
    if (file_ == "-") return run(ReadAll(std::cin));
    std::ifstream stream(file_, std::ios::binary);
    if (!stream) {
      return Failed(
          {error_kind::kInvalidRequest, "cannot read the file " + file_});
    }
    return run(ReadAll(stream));
  }

  static std::string ReadAll(std::istream& stream) {
    return {std::istreambuf_iterator<char>(stream), {}};
  }

  command_output WithPlatform(
      const std::function<command_output(environment&)>& run) {
    if (global_.platform.empty()) {
      return Failed({error_kind::kInvalidRequest,
                     "this command needs --platform IP:PORT"});
    }
    io_environment where(
        {.address = global_.platform, .name_space = global_.name_space},
        std::cerr);
    return run(where);
  }

  CLI::App app_{
      "Declares the configuration of a service mesh and reads back its "
      "state.\nExit codes: 0 done, 2 wrong use, 3 invalid input, 4 conflict, "
      "5 platform unavailable, 6 outcome unknown, 7 not found, 8 deadline "
      "exceeded, 1 anything else.",
      "pomelohall"};
  global_options global_;
  std::string format_name_ = "table";
  std::string file_;
  std::string daemon_;
  double timeout_s_ = 30;
  bool status_services_ = false;
  apply_options apply_;
  std::string report_window_ = "1h";
  report_options report_;
  command selected_;
};

int Print(const command_output& output, output_format format) {
  std::cout << output.text << std::flush;
  std::cerr << ErrorText(output, format) << std::flush;
  return ExitCode(output);
}

}  // namespace
}  // namespace pomelohall

int main(int argc, char** argv) {
  pomelohall::command_line line;
  try {
    line.App().parse(argc, argv);
  } catch (const CLI::ParseError& parse_error) {
    // CLI11 has exit codes of its own; here wrong use is one code.
    const bool wrong = line.App().exit(parse_error) != 0;
    return wrong ? pomelohall::GetErrorInfo(
                       pomelohall::error_kind::kInvalidRequest)
                       .exit_code
                 : 0;
  }
  const auto output = line.RunSelected();
  return pomelohall::Print(output, line.Format());
}
