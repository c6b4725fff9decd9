#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "backend_stub/announcer.h"
#include "backend_stub/stub_server.h"
#include "http/http_signals.h"

namespace pomelohall {
namespace {

constexpr int kExitInvalidSettings = 3;
// The daemon may still send requests that it queued before it learnt of the
// draining state. The stub therefore exits only after kIdlePolls consecutive
// polls without a request in progress.
constexpr auto kIdlePollInterval = std::chrono::milliseconds(50);
constexpr int kIdlePolls = 10;

// Command-line options.
struct stub_settings {
  stub_options server;
  std::string daemon;
  std::string service;
  std::int64_t service_time_ms = 0;
  std::int64_t cold_start_ms = 0;
  bool crash_on_header = false;
};

void AddOptions(CLI::App& app, stub_settings& settings) {
  auto& server = settings.server;
  app.add_option("--listen", server.address,
                 "address to listen on, ip:port; port 0 selects a free port")
      ->capture_default_str();
  app.add_option(
      "--daemon", settings.daemon,
      "local listener of the daemon, ip:port; empty: no announcements");
  app.add_option("--service", settings.service, "service to announce");
  app.add_option("--slots", server.slots,
                 "maximum number of concurrent requests")
      ->capture_default_str()
      ->check(CLI::Range(1, 10'000));
  app.add_option("--service-time-ms", settings.service_time_ms,
                 "processing time of each request in milliseconds")
      ->check(CLI::Range(0, 3'600'000));
  app.add_option("--speed", server.speed, "divisor of the service time")
      ->capture_default_str()
      ->check(CLI::Range(0.001, 1000.0));
  app.add_option("--cold-start-ms", settings.cold_start_ms,
                 "time in milliseconds for which \"starting\" is announced")
      ->check(CLI::Range(0, 3'600'000));
  app.add_flag("--lie-about-load", server.report_zero_load,
               "always report a load of 0");
  app.add_flag("--crash-on-header", settings.crash_on_header,
               "abort on a request with the header field X-Test-Crash");
}

std::uint64_t UnixMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// The server with its announcements and graceful shutdown.
class stub_process {
 public:
  stub_process(boost::asio::io_context& io, const stub_settings& settings)
      : io_(io),
        settings_(settings),
        server_(io, settings.server),
        cold_start_timer_(io),
        idle_timer_(io) {}

  result<void> Start() {
    if (auto listening = server_.Listen(); !listening) return listening;
    std::cout << "listening on " << server_.Address() << std::endl;
    signals_ = OnStopSignal(io_, [this] { Stop(); });
    if (!settings_.daemon.empty()) Announce();
    return {};
  }

 private:
  void Announce() {
    announcer_ = std::make_unique<announcer>(
        io_, announcement{.daemon = settings_.daemon,
                          .service = settings_.service,
                          .address = server_.Address(),
                          .slots = settings_.server.slots,
                          .incarnation = UnixMillis()});
    announcer_->Start();
    cold_start_timer_.expires_after(
        std::chrono::milliseconds(settings_.cold_start_ms));
    cold_start_timer_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) announcer_->SetState("ready", nullptr);
    });
  }

  // The daemon must learn of the shutdown before the listener closes. Otherwise
  // it would send requests to a closed port.
  void Stop() {
    cold_start_timer_.cancel();
    if (!announcer_) {
      server_.Stop([] {});
      return;
    }
    announcer_->SetState("draining", [this] { WaitUntilIdle(0); });
  }

  void WaitUntilIdle(int idle_polls) {
    if (idle_polls == kIdlePolls) {
      server_.Stop([this] { announcer_->Withdraw([this] { io_.stop(); }); });
      return;
    }
    idle_timer_.expires_after(kIdlePollInterval);
    idle_timer_.async_wait(
        [this, idle_polls](boost::system::error_code cancelled) {
          if (cancelled) return;
          WaitUntilIdle(server_.Running() == 0 ? idle_polls + 1 : 0);
        });
  }

  boost::asio::io_context& io_;
  const stub_settings settings_;
  stub_server server_;
  std::unique_ptr<announcer> announcer_;
  std::shared_ptr<void> signals_;
  boost::asio::steady_timer cold_start_timer_;
  boost::asio::steady_timer idle_timer_;
};

int Main(int argc, char** argv) {
  CLI::App app("Backend server for tests of pomelohall");
  stub_settings settings;
  AddOptions(app, settings);
  CLI11_PARSE(app, argc, argv);
  settings.server.service_time =
      std::chrono::milliseconds(settings.service_time_ms);
  if (settings.crash_on_header) settings.server.on_crash = [] { std::abort(); };
  boost::asio::io_context io(1);
  stub_process process(io, settings);
  if (const auto started = process.Start(); !started) {
    std::cerr << "pomelohall-backend-stub: " << started.error().message << "\n";
    return kExitInvalidSettings;
  }
  io.run();
  return 0;
}

}  // namespace
}  // namespace pomelohall

int main(int argc, char** argv) { return pomelohall::Main(argc, argv); }
