#include "logging/log_event.h"

#include <glog/logging.h>

#include <algorithm>

#include "line_output.h"

namespace pomelohall {
namespace {

bool NeedsQuotes(char c) {
  return c == ' ' || c == '"' || c == '=' || c == '\\' ||
         static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
}

google::LogSeverity Severity(log_level level) {
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
  if (!value.empty() && std::none_of(value.begin(), value.end(), NeedsQuotes)) {
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
  if (line_output* output = line_output::Installed()) {
    output->Write(level_, line_);
    return;
  }
  google::LogMessage("pomelohall", 0, Severity(level_)).stream() << line_;
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

void StartLineOutput(const line_output_options& options) {
  line_output::Install(options);
}

void FlushLineOutput() {
  if (line_output* output = line_output::Installed()) output->Flush();
}

std::uint64_t DroppedLines() {
  const line_output* output = line_output::Installed();
  return output == nullptr ? 0 : output->Dropped();
}

void StartLogging(const char* program, log_level minimum) {
  // VMs have no disks: glog must not open log files.
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = Severity(minimum);
  google::InitGoogleLogging(program);
}

}  // namespace pomelohall
