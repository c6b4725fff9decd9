#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include "http/http_signals.h"
#include "logging/log_event.h"
#include "platform_adapter/config_decoder.h"
#include "platform_adapter/http_watched_store.h"
#include "platform_adapter/local_endpoints.h"
#include "platform_adapter/wire_names.h"
#include "settings/settings_program.h"
#include "sidecar/sidecar.h"

namespace pomelohall {
namespace {

constexpr const char* kProgram = "pomelohall-sidecar";

// The file is also replaced without a signal.
constexpr auto kSettingsCheckInterval = std::chrono::seconds(1);

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Re-reads the settings on SIGHUP and when the file changes.
class settings_watcher {
 public:
  settings_watcher(boost::asio::io_context& io, std::string path,
                   sidecar& process)
      : path_(std::move(path)),
        process_(process),
        signals_(io, SIGHUP),
        timer_(io),
        text_(ReadFile(path_)) {
    WaitForSignal();
    WaitForTime();
  }

  void Stop() {
    signals_.cancel();
    timer_.cancel();
  }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](boost::system::error_code cancelled, int) {
      if (cancelled) return;
      Check();
      WaitForSignal();
    });
  }

  void WaitForTime() {
    timer_.expires_after(kSettingsCheckInterval);
    timer_.async_wait([this](boost::system::error_code cancelled) {
      if (cancelled) return;
      Check();
      WaitForTime();
    });
  }

  void Check() {
    auto text = ReadFile(path_);
    if (text == text_) return;
    text_ = std::move(text);
    const auto settings = ParseSidecarSettings(text_);
    if (settings) {
      process_.Reload(*settings);
      return;
    }
    log_event(log_level::kError, "settings_refused")
        .With("reason", settings.error().message);
  }

  const std::string path_;
  sidecar& process_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::string text_;
};

int RunSidecar(const std::string& path, const sidecar_settings& settings) {
  StartStdoutLogging({});
  // A caller that closes its connection is no reason to end the process.
  std::signal(SIGPIPE, SIG_IGN);
  // One thread runs the I/O context, which lets Asio leave out its locks.
  boost::asio::io_context io(1);
  platform_adapter::http_watched_store store(io, settings.store_address);
  sidecar process(io, settings,
                  {.fields = platform_adapter::HeaderFieldNames(),
                   .store = &store,
                   .decode_config = platform_adapter::DecodeConfig,
                   .config_name = std::string(platform_adapter::kConfigName)});
  platform_adapter::local_endpoints endpoints(io, process);
  if (const auto listening =
          endpoints.Listen({.announcements = settings.local_address,
                            .ready = settings.ready_address,
                            .metrics = settings.metrics_address});
      !listening) {
    return ReportStartupError(kProgram, listening.error());
  }
  if (const auto started = process.Start(); !started) {
    return ReportStartupError(kProgram, started.error());
  }
  settings_watcher watcher(io, path, process);
  const auto signals =
      OnStopSignal(io, [&] { process.Stop([&io] { io.stop(); }); });
  io.run();
  FlushStdoutLog();
  return 0;
}

}  // namespace
}  // namespace pomelohall

int main(int argc, char** argv) {
  return pomelohall::RunSettingsProgram(
      argc, argv, pomelohall::kProgram,
      "Sidecar of pomelohall: runs beside the backend server of a VM.",
      pomelohall::LoadSidecarSettings, pomelohall::RunSidecar);
}
