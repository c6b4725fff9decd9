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

/// Polls until `condition` holds; gives up after a generous limit that only
/// bounds a failing run.
inline bool Eventually(const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kGiveUp{30};
  const auto end = std::chrono::steady_clock::now() + kGiveUp;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// A started transport that keeps the frames it receives. A frame "malformed"
/// is refused.
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

  /// Sends `frame` again and again until `receiver` has it: for tests in which
  /// frames may be lost while a link is replaced.
  bool Reaches(test_peer& receiver, const std::string& frame) {
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
