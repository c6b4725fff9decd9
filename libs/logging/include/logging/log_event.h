#ifndef POMELOHALL_LOGGING_LOG_EVENT_H_
#define POMELOHALL_LOGGING_LOG_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelohall {

/// Severity of a log line.
enum class log_level { kInfo, kWarning, kError };

/// One structured log line: `event=NAME key=value ...`. The line is written to
/// standard error when the object is destroyed. Values with spaces, quotes or
/// control characters are quoted and escaped, so that a line stays one line.
///
/// Use:
/// @code
/// log_event(log_level::kInfo, "config_in_force").With("version", version);
/// @endcode
class log_event {
 public:
  /// @param name Stable name of the event, snake_case.
  log_event(log_level level, std::string_view name);
  ~log_event();

  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;

  /// Appends `key=value`. Keys are stable and snake_case.
  log_event& With(std::string_view key, std::string_view value);
  log_event& With(std::string_view key, std::int64_t value);
  log_event& With(std::string_view key, std::uint64_t value);

 private:
  log_level level_;
  std::string line_;
};

/// Quotes and escapes a value where needed, as in log lines.
std::string EscapeLogValue(std::string_view value);

/// Limits of the lines on standard output.
struct line_output_options {
  log_level minimum = log_level::kInfo;  ///< Lines below are dropped.
  /// Lines of each level in a second; those above are counted and dropped.
  /// Bounds the processor time that logging takes under load: a line costs a
  /// few microseconds.
  std::size_t lines_per_s = 400;
  /// Bytes held while the reader of standard output is slow; lines beyond are
  /// counted and dropped.
  std::size_t max_pending_bytes = 262'144;
};

/// Starts logging to standard output instead of standard error, in lines that
/// start with the time in milliseconds since the epoch. Writing never blocks.
/// Call once, before any log line; for programs with one thread.
void StartLineOutput(const line_output_options& options);

/// Writes what is pending as far as standard output takes it. To be called
/// often, and before the process ends.
void FlushLineOutput();

/// Returns how many lines were dropped since the start.
std::uint64_t DroppedLines();

/// Starts logging to standard error. Call once, before any log line.
/// @param minimum Lines below this level are dropped.
void StartLogging(const char* program, log_level minimum);

}  // namespace pomelohall

#endif  // POMELOHALL_LOGGING_LOG_EVENT_H_
