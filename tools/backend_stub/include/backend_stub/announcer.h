#ifndef POMELOHALL_BACKEND_STUB_ANNOUNCER_H_
#define POMELOHALL_BACKEND_STUB_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pomelohall {

/// The announcement that a backend server sends to the daemon on its VM.
struct announcement {
  std::string daemon;   ///< Address of the daemon's local listener, "ip:port".
  std::string service;  ///< Service that the backend server belongs to.
  std::string address;  ///< Address of the backend server, "ip:port".
  std::uint32_t slots = 0;
  std::uint32_t connections = 100;
  std::uint64_t incarnation = 0;   ///< Start time in ms since the Unix epoch.
  std::string state = "starting";  ///< starting, ready or draining.
};

/// Announces a backend server once a second until Withdraw(). An announcement
/// that fails is not retried before the next one is due. Used on the I/O thread
/// only.
class announcer {
 public:
  announcer(boost::asio::io_context& io, announcement initial);
  ~announcer();
  announcer(const announcer&) = delete;
  announcer& operator=(const announcer&) = delete;

  /// Sends the first announcement and schedules the next ones.
  void Start();
  /// Changes the state and announces it immediately. `done` (may be empty) is
  /// called when the daemon has responded or the request has failed.
  void SetState(const std::string& state, std::function<void()> done);
  /// Stops the announcements and withdraws the backend server from the daemon.
  /// Calls `done` when the daemon has responded or the request has failed.
  void Withdraw(std::function<void()> done);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_STUB_ANNOUNCER_H_
