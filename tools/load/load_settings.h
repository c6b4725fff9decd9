#ifndef POMELOHALL_TOOLS_LOAD_LOAD_SETTINGS_H_
#define POMELOHALL_TOOLS_LOAD_LOAD_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pomelohall {

/// Settings of the load generator.
struct load_settings {
  std::vector<std::string> addresses;  ///< Daemons, "ip:port", used in turn.
  std::string direct;      ///< Backend server to call directly; empty: none.
  std::string path = "/";  ///< Path prefix of the requests.
  std::uint64_t download_bytes = 0;  ///< Above 0: download bodies of this size.
  std::uint64_t body_bytes = 0;      ///< Above 0: POST bodies of this size.
  bool keys = false;                 ///< POST, each with a new idempotency key.
  std::uint64_t deadline_ms = 0;     ///< Deadline of a call; 0: none.
  std::vector<std::string> headers;  ///< Additional fields, "Name: value".
  std::uint32_t concurrency = 8;     ///< Closed loop: calls in progress.
  double rate = 0;             ///< Open loop: calls per second; 0: closed loop.
  std::uint64_t calls = 1000;  ///< Maximum number of calls.
  double seconds = 60;         ///< No call starts after this time.
  std::uint64_t seed = 1;      ///< Of the call ids.
};

}  // namespace pomelohall

#endif  // POMELOHALL_TOOLS_LOAD_LOAD_SETTINGS_H_
