#ifndef POMELOHALL_LOGGING_SRC_LINE_OUTPUT_H_
#define POMELOHALL_LOGGING_SRC_LINE_OUTPUT_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "logging/log_event.h"

namespace pomelohall {

// Lines on standard output: bounded in rate and memory, without blocking.
class line_output {
 public:
  explicit line_output(const line_output_options& options);

  // Makes a new output the one that log_event writes to.
  static void Install(const line_output_options& options);
  // Returns the installed output, or null.
  static line_output* Installed();

  void Write(log_level level, std::string_view line);
  void Flush();
  std::uint64_t Dropped() const { return dropped_; }

 private:
  // Takes a line out of the allowance of its level for this second.
  bool Allows(log_level level);

  const line_output_options options_;
  std::chrono::steady_clock::time_point second_;
  std::array<std::size_t, 3> lines_{};  // In this second, by level.
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_LOGGING_SRC_LINE_OUTPUT_H_
