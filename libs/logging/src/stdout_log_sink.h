#ifndef POMELOHALL_LOGGING_SRC_STDOUT_LOG_SINK_H_
#define POMELOHALL_LOGGING_SRC_STDOUT_LOG_SINK_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "logging/log_event.h"

namespace pomelohall {

// Writes log lines to standard output without blocking, within a rate limit and
// a bounded buffer.
class stdout_log_sink {
 public:
  explicit stdout_log_sink(const stdout_log_options& options);

  // Creates the sink that log_event writes to.
  static void Install(const stdout_log_options& options);
  // Returns the installed sink, or null.
  static stdout_log_sink* Installed();

  void Write(log_level level, std::string_view line);
  void Flush();
  std::uint64_t Dropped() const { return dropped_; }

 private:
  // Returns whether the rate limit of the level admits another line, and counts
  // the line.
  bool ConsumeRateLimit(log_level level);

  const stdout_log_options options_;
  std::chrono::steady_clock::time_point window_start_;
  std::array<std::size_t, 3> lines_{};  // since window_start_, by level
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_LOGGING_SRC_STDOUT_LOG_SINK_H_
