#ifndef POMELOHALL_BASE_TIME_H_
#define POMELOHALL_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace pomelohall {

/// A time span in microseconds.
using duration = std::chrono::microseconds;

/// A point on the monotonic clock. State machines receive it as an argument and
/// never read a clock themselves.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Reads the monotonic clock. Only code that does I/O calls this.
inline instant MonotonicNow() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

/// Reads the time of day in milliseconds. It may jump, and differs between VMs.
/// Only code that does I/O calls this.
inline std::int64_t UnixMillisNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the time for which the machine was suspended since its start. The
/// monotonic clock does not count it.
inline duration TotalSuspendedTime() {
  const auto read = [](clockid_t clock) {
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec));
  };
  const auto running = read(CLOCK_MONOTONIC);
  return read(CLOCK_BOOTTIME) - running;
}

/// Longest time span that is accepted from another program. Sums and multiples
/// of such spans do not overflow.
constexpr duration kMaxForeignDuration = std::chrono::hours(24 * 366);

/// Returns `span` in milliseconds as a floating point number.
inline double ToMillis(duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_TIME_H_
