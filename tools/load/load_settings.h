#ifndef POMELOHALL_TOOLS_LOAD_LOAD_SETTINGS_H_
#define POMELOHALL_TOOLS_LOAD_LOAD_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pomelohall {

/// What the load generator does.
struct load_settings {
  std::vector<std::string> addresses;  ///< Daemons, "ip:port", used in turn.
  std::string direct;      ///< Backend server to compare with; empty: none.
  std::string path = "/";  ///< Path prefix of the class of work.
  std::uint64_t download_bytes = 0;  ///< Above 0: downloads of this size.
  std::uint64_t body_bytes = 0;      ///< Above 0: POST with a body to echo.
  bool keys = false;                 ///< POST with an issued idempotency key.
  std::uint64_t deadline_ms = 0;     ///< 0: none is sent.
  std::vector<std::string> headers;  ///< Further fields, "Name: value".
  std::uint32_t concurrency = 8;     ///< Closed loop: calls in progress.
  double rate = 0;             ///< Open loop: calls per second; 0: closed loop.
  std::uint64_t calls = 1000;  ///< At most this many calls.
  double seconds = 60;         ///< No call starts after this time.
  std::uint64_t seed = 1;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TOOLS_LOAD_LOAD_SETTINGS_H_
