#ifndef POMELOHALL_BENCH_CALL_POISON_H_
#define POMELOHALL_BENCH_CALL_POISON_H_

#include <cstddef>
#include <cstdint>

namespace pomelohall::bench {

/// Which request is taken for the cause of a server crash and refused.
enum class crash_rule {
  kNone,         ///< Baseline: no request is refused.
  kFirstCrash,   ///< The only request on a crashed server.
  kSecondCrash,  ///< The same, if it was a suspect before.
};

struct poison_results {
  std::size_t servers_lost = 0;  ///< Crashed by one poison request in 60 s.
  /// Harmless requests refused for 10 min, each because it was the only one in
  /// flight when its server was killed for another reason.
  std::size_t innocent_requests_refused = 0;
  std::size_t innocent_requests = 0;  ///< In flight on a killed server.
};

/// Simulates a service of 40 servers and a caller that resends a request every
/// 300 ms for 60 s; the request crashes every server that runs it.
poison_results SimulatePoisonRequest(crash_rule rule, std::uint64_t seed);

/// Returns the number of calls to the lowest of `levels` chained services per
/// call to the first one, if every call to the lowest one fails.
/// @param budget Whether the services use the production retry policy and the
///     attempt header; otherwise each level retries twice.
double RetryAmplification(std::size_t levels, bool budget);

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CALL_POISON_H_
