#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "daemon/daemon.h"
#include "http/http_signals.h"
#include "logging/log_event.h"
#include "settings/daemon_settings.h"
#include "settings/settings_program.h"

namespace pomelohall {
namespace {

constexpr const char* kProgram = "pomelohalld";

log_level MinimumLevel(const std::string& name) {
  if (name == "error") return log_level::kError;
  if (name == "warning") return log_level::kWarning;
  return log_level::kInfo;
}

// An aggregator keeps a connection to every daemon of its data centre (917 at
// the design size), and the data path needs one for each call. Together they
// exceed the usual soft limit of 1,024 file descriptors.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int RunDaemon(const daemon_settings& settings) {
  StartLogging(kProgram, MinimumLevel(settings.log_level));
  RaiseDescriptorLimit();
  // The concurrency hint of 1 allows Asio to omit locking: only this thread
  // runs the I/O context.
  boost::asio::io_context io(1);
  daemon instance(io, settings);
  if (auto started = instance.Start(); !started) {
    return ReportStartupError(kProgram, started.error());
  }
  std::shared_ptr<void> signals;
  signals = OnStopSignal(io, [&] { instance.Stop([&io] { io.stop(); }); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace pomelohall

int main(int argc, char** argv) {
  return pomelohall::RunSettingsProgram(
      argc, argv, pomelohall::kProgram,
      "Daemon of pomelohall: runs beside the backend server of a VM.",
      pomelohall::LoadDaemonSettings,
      [](const std::string&, const auto& settings) {
        return pomelohall::RunDaemon(settings);
      });
}
