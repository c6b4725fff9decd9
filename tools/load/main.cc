#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "load_report.h"
#include "load_run.h"
#include "load_settings.h"

namespace pomelohall {
namespace {

// Exit code if a response had an unexpected body or the id of another call.
constexpr int kExitWrongResponse = 1;
// Mesh and direct calls alternate in this many rounds, so that a change of the
// machine's load during the run affects both.
constexpr std::uint64_t kCompareRounds = 20;

void AddOptions(CLI::App& app, load_settings& settings) {
  app.add_option("--address", settings.addresses,
                 "caller listeners of daemons, ip:port, used in turn")
      ->required();
  app.add_option("--compare-direct", settings.direct,
                 "backend server to call directly for comparison, ip:port");
  app.add_option("--path", settings.path, "path prefix of the requests")
      ->capture_default_str();
  app.add_option("--bytes", settings.download_bytes,
                 "size of the download of each call in bytes")
      ->check(CLI::Range(0UL, 1UL << 40U));
  app.add_option("--body-bytes", settings.body_bytes,
                 "size of the request body in bytes, which the server echoes")
      ->check(CLI::Range(0UL, 1UL << 30U));
  app.add_flag("--keys", settings.keys,
               "send POST requests, each with a new idempotency key");
  app.add_option("--deadline-ms", settings.deadline_ms,
                 "deadline of each call in milliseconds");
  app.add_option("--header", settings.headers,
                 "additional header field, \"Name: value\"")
      ->take_all();
  app.add_option("--concurrency", settings.concurrency,
                 "closed loop: number of concurrent calls")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000));
  app.add_option("--rate", settings.rate, "open loop: calls per second")
      ->check(CLI::Range(0.0, 1e6));
  app.add_option("--calls", settings.calls, "maximum number of calls")
      ->capture_default_str()
      ->check(CLI::Range(1, 10'000'000));
  app.add_option("--seconds", settings.seconds,
                 "time in seconds after which no call starts")
      ->capture_default_str()
      ->check(CLI::Range(0.1, 86'400.0));
  app.add_option("--seed", settings.seed, "seed of the call ids")
      ->capture_default_str();
}

struct load_results {
  load_report mesh;
  load_report direct;
};

void RunCalls(const load_settings& settings, load_results& results) {
  boost::asio::io_context io(1);
  load_run run(io, settings);
  const auto end_time =
      MonotonicNow() + std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>(settings.seconds));
  if (settings.direct.empty()) {
    run.Run(settings.addresses, settings.calls, end_time, results.mesh);
    return;
  }
  const std::vector<std::string> direct{settings.direct};
  const auto calls_per_round =
      std::max<std::uint64_t>(settings.calls / kCompareRounds, 1);
  for (std::uint64_t round = 0; round < kCompareRounds; ++round) {
    run.Run(settings.addresses, calls_per_round, end_time, results.mesh);
    run.Run(direct, calls_per_round, end_time, results.direct);
  }
}

void PrintAddedLatency(const load_results& results, double fraction,
                       const char* name) {
  const auto mesh = ToMillis(results.mesh.Percentile(fraction));
  const auto direct = ToMillis(results.direct.Percentile(fraction));
  std::cout << std::fixed << std::setprecision(3) << "added at " << name << "  "
            << mesh - direct << " ms";
  if (direct > 0) std::cout << " (ratio " << mesh / direct << ")";
  std::cout << "\n";
}

void PrintTable(const load_settings& settings, const load_results& results) {
  std::cout << results.mesh.Table("mesh");
  if (settings.direct.empty()) return;
  std::cout << results.direct.Table("direct");
  PrintAddedLatency(results, 0.5, "p50");
  PrintAddedLatency(results, 0.99, "p99");
}

void PrintJson(const load_settings& settings, const load_results& results) {
  std::cout << "{\"mesh\": " << results.mesh.Json();
  if (!settings.direct.empty()) {
    const auto added = [&](double fraction) {
      return ToMillis(results.mesh.Percentile(fraction)) -
             ToMillis(results.direct.Percentile(fraction));
    };
    std::cout << ", \"direct\": " << results.direct.Json()
              << ", \"added_p50_ms\": " << added(0.5)
              << ", \"added_p99_ms\": " << added(0.99);
  }
  std::cout << "}\n";
}

int Main(int argc, char** argv) {
  CLI::App app("Load generator of pomelohall; checks every response");
  load_settings settings;
  bool json = false;
  AddOptions(app, settings);
  app.add_flag("--json", json, "print JSON");
  CLI11_PARSE(app, argc, argv);
  load_results results;
  RunCalls(settings, results);
  if (json) {
    PrintJson(settings, results);
  } else {
    PrintTable(settings, results);
  }
  const auto wrong =
      results.mesh.WrongResponses() + results.direct.WrongResponses();
  return wrong == 0 ? 0 : kExitWrongResponse;
}

}  // namespace
}  // namespace pomelohall

int main(int argc, char** argv) { return pomelohall::Main(argc, argv); }
