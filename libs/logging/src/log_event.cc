#include "logging/log_event.h"

#include <glog/logging.h>

#include <algorithm>

#include "stdout_log_sink.h"

namespace pomelohall {
namespace {

bool RequiresQuoting(char c) {
  return c == ' ' || c == '"' || c == '=' || c == '\\' ||
         static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
}

google::LogSeverity ToGlogSeverity(log_level level) {
  switch (level) {
    case log_level::kInfo:
      return google::GLOG_INFO;
    case log_level::kWarning:
      return google::GLOG_WARNING;
    case log_level::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

}  // namespace

std::string EscapeLogValue(std::string_view value) {
  if (!value.empty() &&
      std::none_of(value.begin(), value.end(), RequiresQuoting)) {
    return std::string(value);
  }
  std::string text = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text.push_back('\\');
      text.push_back(c);
    } else if (c == '\n') {
      text += "\\n";
    } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7F) {
      text.push_back('?');
    } else {
      text.push_back(c);
    }
  }
  text.push_back('"');
  return text;
}

log_event::log_event(log_level level, std::string_view name)
    : level_(level), line_("event=" + std::string(name)) {}

log_event::~log_event() {
  if (stdout_log_sink* sink = stdout_log_sink::Installed()) {
    sink->Write(level_, line_);
    return;
  }
  google::LogMessage("pomelohall", 0, ToGlogSeverity(level_)).stream() << line_;
}

log_event& log_event::With(std::string_view key, std::string_view value) {
  line_ += " " + std::string(key) + "=" + EscapeLogValue(value);
  return *this;
}

log_event& log_event::With(std::string_view key, std::int64_t value) {
  const std::string text = std::to_string(value);
  return With(key, std::string_view{text});
}

log_event& log_event::With(std::string_view key, std::uint64_t value) {
  const std::string text = std::to_string(value);
  return With(key, std::string_view{text});
}

void StartStdoutLogging(const stdout_log_options& options) {
  stdout_log_sink::Install(options);
}

void FlushStdoutLog() {
  if (stdout_log_sink* sink = stdout_log_sink::Installed()) sink->Flush();
}

std::uint64_t DroppedLogLines() {
  const stdout_log_sink* sink = stdout_log_sink::Installed();
  return sink == nullptr ? 0 : sink->Dropped();
}

void StartLogging(const char* program, log_level minimum) {
  // VMs have no disks, so glog must not open log files.
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = ToGlogSeverity(minimum);
  google::InitGoogleLogging(program);
}

}  // namespace pomelohall
