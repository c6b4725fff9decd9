#include "line_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <utility>

namespace pomelohall {
namespace {

constexpr std::array<std::string_view, 3> kLevelNames{"info", "warning",
                                                      "error"};
// Pending lines are written at once above this size, and by Flush() below it.
constexpr std::size_t kWriteBytes = 8192;

std::unique_ptr<line_output>& Slot() {
  static std::unique_ptr<line_output> installed;
  return installed;
}

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

line_output::line_output(const line_output_options& options)
    : options_(options), second_(std::chrono::steady_clock::now()) {
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void line_output::Install(const line_output_options& options) {
  Slot() = std::make_unique<line_output>(options);
}

line_output* line_output::Installed() { return Slot().get(); }

bool line_output::Allows(log_level level) {
  const auto now = std::chrono::steady_clock::now();
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    lines_ = {};
  }
  return lines_[static_cast<std::size_t>(level)]++ < options_.lines_per_s;
}

void line_output::Write(log_level level, std::string_view line) {
  if (level < options_.minimum) return;
  if (!Allows(level) ||
      pending_.size() + line.size() > options_.max_pending_bytes) {
    ++dropped_;
    return;
  }
  pending_ += "ts=" + std::to_string(UnixMillis()) + " level=";
  pending_ += kLevelNames[static_cast<std::size_t>(level)];
  pending_ += ' ';
  pending_ += line;
  pending_ += '\n';
  if (pending_.size() >= kWriteBytes) Flush();
}

void line_output::Flush() {
  if (pending_.empty()) return;
  const auto written = ::write(STDOUT_FILENO, pending_.data(), pending_.size());
  // A reader that is slow or gone: the lines stay pending, up to their bound.
  if (written > 0) pending_.erase(0, static_cast<std::size_t>(written));
}

}  // namespace pomelohall
