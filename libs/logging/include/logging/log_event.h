#ifndef POMELOHALL_LOGGING_LOG_EVENT_H_
#define POMELOHALL_LOGGING_LOG_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelohall {

/// Severity of a log line.
enum class log_level { kInfo, kWarning, kError };

/// One structured log line: `event=NAME key=value ...`. The line is written
/// when the object is destroyed: to standard output after StartStdoutLogging(),
/// else to standard error. Values with spaces, quotes or control characters are
/// quoted and escaped, so that an event never spans several lines.
///
/// Example:
/// @code
/// log_event(log_level::kInfo, "config_in_force").With("version", version);
/// @endcode
class log_event {
 public:
  /// @param name Stable name of the event in snake_case.
  log_event(log_level level, std::string_view name);
  ~log_event();

  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;

  /// Appends `key=value`. Keys are stable names in snake_case.
  log_event& With(std::string_view key, std::string_view value);
  log_event& With(std::string_view key, std::int64_t value);
  log_event& With(std::string_view key, std::uint64_t value);

 private:
  log_level level_;
  std::string line_;
};

/// Returns the value as With() writes it, quoted and escaped if necessary.
std::string EscapeLogValue(std::string_view value);

/// Options of the log on standard output.
struct stdout_log_options {
  /// Lines below this level are dropped.
  log_level minimum = log_level::kInfo;
  /// Rate limit for each level; further lines are dropped and counted. Bounds
  /// the CPU time of logging under load, as a line takes a few microseconds.
  std::size_t lines_per_s = 400;
  /// Buffer size while the reader of standard output is slow; further lines are
  /// dropped and counted.
  std::size_t max_pending_bytes = 262'144;
};

/// Starts logging to standard output instead of standard error. Each line
/// starts with the time in milliseconds since the Unix epoch. Writing never
/// blocks. For single-threaded programs only. Call once, before the first log
/// line.
void StartStdoutLogging(const stdout_log_options& options);

/// Writes as many buffered bytes as standard output accepts without blocking.
/// Call it periodically and before the process exits.
void FlushStdoutLog();

/// Returns the number of log lines dropped since the start.
std::uint64_t DroppedLogLines();

/// Starts logging to standard error. Call once, before the first log line.
/// @param minimum Lines below this level are dropped.
void StartLogging(const char* program, log_level minimum);

}  // namespace pomelohall

#endif  // POMELOHALL_LOGGING_LOG_EVENT_H_
