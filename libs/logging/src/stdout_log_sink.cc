#include "stdout_log_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <utility>

namespace pomelohall {
namespace {

constexpr std::array<std::string_view, 3> kLevelNames{"info", "warning",
                                                      "error"};
// Write() flushes the buffer when it reaches this size.
constexpr std::size_t kFlushThresholdBytes = 8192;

std::unique_ptr<stdout_log_sink>& InstalledSink() {
  static std::unique_ptr<stdout_log_sink> sink;
  return sink;
}

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

stdout_log_sink::stdout_log_sink(const stdout_log_options& options)
    : options_(options), window_start_(std::chrono::steady_clock::now()) {
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void stdout_log_sink::Install(const stdout_log_options& options) {
  InstalledSink() = std::make_unique<stdout_log_sink>(options);
}

stdout_log_sink* stdout_log_sink::Installed() { return InstalledSink().get(); }

bool stdout_log_sink::ConsumeRateLimit(log_level level) {
  const auto now = std::chrono::steady_clock::now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    lines_ = {};
  }
  return lines_[static_cast<std::size_t>(level)]++ < options_.lines_per_s;
}

void stdout_log_sink::Write(log_level level, std::string_view line) {
  if (level < options_.minimum) return;
  if (!ConsumeRateLimit(level) ||
      pending_.size() + line.size() > options_.max_pending_bytes) {
    ++dropped_;
    return;
  }
  pending_ += "ts=" + std::to_string(UnixMillis()) + " level=";
  pending_ += kLevelNames[static_cast<std::size_t>(level)];
  pending_ += ' ';
  pending_ += line;
  pending_ += '\n';
  if (pending_.size() >= kFlushThresholdBytes) Flush();
}

void stdout_log_sink::Flush() {
  if (pending_.empty()) return;
  const auto written = ::write(STDOUT_FILENO, pending_.data(), pending_.size());
  // If the reader is slow or gone, the lines stay buffered up to
  // max_pending_bytes.
  if (written > 0) pending_.erase(0, static_cast<std::size_t>(written));
}

}  // namespace pomelohall
