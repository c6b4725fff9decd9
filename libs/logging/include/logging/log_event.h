#ifndef POMELOHALL_LOGGING_LOG_EVENT_H_
#define POMELOHALL_LOGGING_LOG_EVENT_H_

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

/// Starts logging to standard error. Call once, before any log line.
/// @param minimum Lines below this level are dropped.
void StartLogging(const char* program, log_level minimum);

}  // namespace pomelohall

#endif  // POMELOHALL_LOGGING_LOG_EVENT_H_
