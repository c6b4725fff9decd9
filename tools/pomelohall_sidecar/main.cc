#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

#include "http/http_signals.h"
#include "logging/log_event.h"
#include "platform_adapter/config_decoder.h"
#include "platform_adapter/http_watched_store.h"
#include "platform_adapter/local_endpoints.h"
#include "platform_adapter/rollout_objects.h"
#include "platform_adapter/wire_names.h"
#include "settings/settings_file.h"
#include "settings/settings_program.h"
#include "sidecar/sidecar.h"

namespace pomelohall {
namespace {

constexpr const char* kProgram = "pomelohall-sidecar";

// The settings file may be replaced without a SIGHUP.
constexpr auto kSettingsCheckInterval = std::chrono::seconds(1);

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Reloads the settings if the file has changed. Checks it on SIGHUP and
// periodically.
class settings_watcher {
 public:
  // @param loaded_text Content of the file that the settings in force are from.
  settings_watcher(boost::asio::io_context& io, std::string path,
                   std::string loaded_text, sidecar& target)
      : path_(std::move(path)),
        sidecar_(target),
        signals_(io, SIGHUP),
        timer_(io),
        settings_text_(std::move(loaded_text)) {
    KeepSignalHandled(SIGHUP);
    // The file may have changed since the settings were loaded, and a SIGHUP
    // that arrived until now was ignored.
    ReloadIfChanged();
    WaitForSignal();
    WaitForTimer();
  }

  void Stop() {
    signals_.cancel();
    timer_.cancel();
  }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](boost::system::error_code cancelled, int) {
      if (cancelled) return;
      ReloadIfChanged();
      WaitForSignal();
    });
  }

  void WaitForTimer() {
    timer_.expires_after(kSettingsCheckInterval);
    timer_.async_wait([this](boost::system::error_code cancelled) {
      if (cancelled) return;
      ReloadIfChanged();
      WaitForTimer();
    });
  }

  void ReloadIfChanged() {
    auto text = ReadFile(path_);
    if (text == settings_text_) return;
    settings_text_ = std::move(text);
    const auto settings = ParseSidecarSettings(settings_text_);
    if (settings) {
      sidecar_.Reload(*settings);
      return;
    }
    log_event(log_level::kError, "settings_refused")
        .With("reason", settings.error().message);
  }

  const std::string path_;
  sidecar& sidecar_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::string settings_text_;
};

int RunSidecar(const std::string& path, const std::string& settings_text,
               const sidecar_settings& settings) {
  StartStdoutLogging({});
  // Writing to a connection that the caller has closed must not terminate the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  // The concurrency hint of 1 allows Asio to omit locking: only this thread
  // runs the I/O context.
  boost::asio::io_context io(1);
  platform_adapter::http_watched_store store(io, settings.store_address);
  const platform_adapter::rollout_objects rollouts;
  sidecar instance(io, settings,
                   {.fields = platform_adapter::HeaderFieldNames(),
                    .store = &store,
                    .decode_config = platform_adapter::DecodeConfig,
                    .config_name = std::string(platform_adapter::kConfigName),
                    .rollouts = &rollouts});
  platform_adapter::local_endpoints endpoints(io, instance);
  if (const auto listening =
          endpoints.Listen({.announcements = settings.local_address,
                            .ready = settings.ready_address,
                            .metrics = settings.metrics_address});
      !listening) {
    return ReportStartupError(kProgram, listening.error());
  }
  if (const auto started = instance.Start(); !started) {
    return ReportStartupError(kProgram, started.error());
  }
  settings_watcher watcher(io, path, settings_text, instance);
  const auto signals =
      OnStopSignal(io, [&] { instance.Stop([&io] { io.stop(); }); });
  io.run();
  FlushStdoutLog();
  return 0;
}

}  // namespace
}  // namespace pomelohall

int main(int argc, char** argv) {
  // Its default action ends the process. Ignored before the settings are read,
  // as the watcher reads them again once it handles the signal.
  std::signal(SIGHUP, SIG_IGN);
  std::string settings_text;
  return pomelohall::RunSettingsProgram(
      argc, argv, pomelohall::kProgram,
      "Sidecar of pomelohall: runs beside the backend server of a VM.",
      [&settings_text](const std::string& path)
          -> pomelohall::result<pomelohall::sidecar_settings> {
        auto text = pomelohall::ReadSettingsFile(path);
        if (!text) return tl::unexpected(text.error());
        settings_text = *text;
        return pomelohall::ParseSidecarSettings(settings_text);
      },
      [&settings_text](const std::string& path, const auto& settings) {
        return pomelohall::RunSidecar(path, settings_text, settings);
      });
}
