#ifndef POMELOHALL_BENCH_CALL_POISON_H_
#define POMELOHALL_BENCH_CALL_POISON_H_

#include <cstddef>
#include <cstdint>

namespace pomelohall::bench {

/// How crashes are judged.
enum class crash_rule {
  kNone,         ///< Baseline: every request is sent on.
  kFirstCrash,   ///< Alone on a crashed server: culprit at once.
  kSecondCrash,  ///< Alone on a crashed server: culprit if a suspect before.
};

struct poison_figures {
  std::size_t servers_lost = 0;  ///< To one poison request in 60 s.
  /// Requests refused for 10 min, of those in flight when servers that ran one
  /// request each were killed.
  std::size_t innocents_refused = 0;
  std::size_t innocents = 0;
};

/// One caller resends a request that crashes every server that runs it, every
/// 300 ms for 60 s, over 40 servers.
poison_figures RunPoison(crash_rule rule, std::uint64_t seed);

/// Returns how often the lowest of 16 levels is called per call of the first
/// one, if every call there fails.
/// @param budget With the real retry policy and the attempt header; without,
///     each level retries twice.
double RetryAmplification(std::size_t levels, bool budget);

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CALL_POISON_H_
