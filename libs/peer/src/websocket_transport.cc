#include <memory>
#include <string>
#include <utility>

#include "logging/log_event.h"
#include "peer/transport.h"
#include "websocket/websocket_engine.h"

namespace pomelohall {
namespace {

// Adapts the C++17 engine to the C++20 interface.
class websocket_transport : public peer_transport {
 public:
  explicit websocket_transport(transport_options&& options)
      : engine_(MakeWebsocketEngine(
            {options.listen_address, options.max_frame_bytes,
             options.max_queue_bytes, options.connect_timeout_ms,
             options.idle_close_ms})) {}

  result<void> Start(frame_handler handler) override {
    std::string bind_error =
        engine_->Start(std::move(handler), [](const std::string& message) {
          log_event(log_level::kError, "peer_link_closed")
              .With("reason", message);
        });
    if (!bind_error.empty()) {
      return Fail(error_kind::kPeerUnreachable, std::move(bind_error));
    }
    return {};
  }

  std::string LocalAddress() const override { return engine_->LocalAddress(); }

  void Send(const std::string& address, std::string frame) override {
    engine_->Send(address, std::move(frame));
  }

  void SetBlocked(const std::string& address, bool blocked) override {
    engine_->SetBlocked(address, blocked);
  }

  transport_counters Counters() const override {
    const engine_counters totals = engine_->Counters();
    return {.frames_sent = totals.frames_sent,
            .frames_received = totals.frames_received,
            .bytes_sent = totals.bytes_sent,
            .bytes_received = totals.bytes_received,
            .frames_dropped = totals.frames_dropped,
            .links_opened = totals.links_opened,
            .frames_malformed = totals.frames_malformed};
  }

  void Stop(std::uint32_t grace_ms) override { engine_->Stop(grace_ms); }

 private:
  std::unique_ptr<websocket_engine> engine_;
};

}  // namespace

std::unique_ptr<peer_transport> MakeWebsocketTransport(
    transport_options options) {
  return std::make_unique<websocket_transport>(std::move(options));
}

}  // namespace pomelohall
