#ifndef POMELOHALL_PEER_TESTS_TRANSPORT_FIXTURE_H_
#define POMELOHALL_PEER_TESTS_TRANSPORT_FIXTURE_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "peer/transport.h"

namespace pomelohall {

/// Polls until `condition` holds. Returns false after a timeout that is long
/// enough to expire in failing tests only.
inline bool Eventually(const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kTimeout{30};
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// A started transport that stores the frames it receives. Rejects a frame with
/// the content "malformed".
class test_peer {
 public:
  struct received_frame {
    std::string from;
    std::string frame;
  };

  explicit test_peer(transport_options options = {})
      : transport_(MakeWebsocketTransport(std::move(options))) {
    started_ = transport_
                   ->Start([this](const std::string& from, std::string frame) {
                     const std::lock_guard lock(mutex_);
                     const bool accepted = frame != "malformed";
                     frames_.push_back({from, std::move(frame)});
                     return accepted;
                   })
                   .has_value();
  }
  ~test_peer() { transport_->Stop(0); }
  test_peer(const test_peer&) = delete;
  test_peer& operator=(const test_peer&) = delete;

  peer_transport& operator*() { return *transport_; }
  peer_transport* operator->() { return transport_.get(); }
  bool Started() const { return started_; }
  std::string Address() const { return transport_->LocalAddress(); }

  std::vector<received_frame> Frames() const {
    const std::lock_guard lock(mutex_);
    return frames_;
  }

  bool Received(const std::string& frame) const {
    for (const auto& item : Frames()) {
      if (item.frame == frame) return true;
    }
    return false;
  }

  /// Sends `frame` repeatedly until `receiver` has received it, as frames may
  /// be lost while a link is replaced.
  bool SendUntilReceived(test_peer& receiver, const std::string& frame) {
    return Eventually([&] {
      transport_->Send(receiver.Address(), frame);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      return receiver.Received(frame);
    });
  }

 private:
  std::unique_ptr<peer_transport> transport_;
  bool started_ = false;
  mutable std::mutex mutex_;
  std::vector<received_frame> frames_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_TESTS_TRANSPORT_FIXTURE_H_
