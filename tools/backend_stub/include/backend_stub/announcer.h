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

/// What a backend server announces to the daemon of its VM.
struct announcement {
  std::string daemon;   ///< Local listener of the daemon, "ip:port".
  std::string service;  ///< Service that the backend server belongs to.
  std::string address;  ///< Address of the backend server, "ip:port".
  std::uint32_t slots = 0;
  std::uint32_t connections = 100;
  std::uint64_t incarnation = 0;   ///< Start time in ms since the epoch.
  std::string state = "starting";  ///< starting, ready or draining.
};

/// Announces a backend server each second until it is withdrawn. A daemon that
/// does not answer is tried again. Used on the I/O thread only.
class announcer {
 public:
  announcer(boost::asio::io_context& io, announcement what);
  ~announcer();
  announcer(const announcer&) = delete;
  announcer& operator=(const announcer&) = delete;

  /// Starts to announce.
  void Start();
  /// Announces another state at once. `done` (may be empty) is called when the
  /// daemon has answered or could not be reached.
  void SetState(const std::string& state, std::function<void()> done);
  /// Tells the daemon that the backend server goes, then calls `done`.
  void Withdraw(std::function<void()> done);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_STUB_ANNOUNCER_H_
