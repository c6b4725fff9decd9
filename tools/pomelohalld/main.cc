#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "daemon/daemon.h"
#include "http/http_signals.h"
#include "logging/log_event.h"
#include "settings/daemon_settings.h"

namespace pomelohall {
namespace {

int ReportStartError(const error& failure) {
  std::cerr << "pomelohalld: " << AnswerFor(failure.kind).name << ": "
            << failure.message << "\n";
  return AnswerFor(failure.kind).exit_code;
}

log_level MinimumLevel(const std::string& name) {
  if (name == "error") return log_level::kError;
  if (name == "warning") return log_level::kWarning;
  return log_level::kInfo;
}

int RunDaemon(const daemon_settings& settings) {
  StartLogging("pomelohalld", MinimumLevel(settings.log_level));
  // One thread runs the I/O context, which lets Asio leave out its locks.
  boost::asio::io_context io(1);
  daemon process(io, settings);
  if (auto started = process.Start(); !started) {
    return ReportStartError(started.error());
  }
  std::shared_ptr<void> signals;
  signals = OnStopSignal(io, [&] { process.Stop([&io] { io.stop(); }); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace pomelohall

int main(int argc, char** argv) {
  CLI::App app{"Daemon of pomelohall: runs beside the backend server of a VM."};
  std::string settings_path;
  bool check_only = false;
  app.add_option("--settings", settings_path, "JSON file with the settings")
      ->required();
  app.add_flag("--check", check_only,
               "Check the settings and exit without starting");
  CLI11_PARSE(app, argc, argv);
  const auto settings = pomelohall::LoadDaemonSettings(settings_path);
  if (!settings) return pomelohall::ReportStartError(settings.error());
  if (check_only) return 0;
  return pomelohall::RunDaemon(*settings);
}
