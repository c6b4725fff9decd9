#ifndef POMELOHALL_SLO_SLO_WINDOW_H_
#define POMELOHALL_SLO_SLO_WINDOW_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/error.h"
#include "slo/slo_histogram.h"

namespace pomelohall {

/// Length of a window in seconds. Window n covers the Unix times from
/// n * 10 to n * 10 + 10.
inline constexpr std::int64_t kSloWindowSeconds = 10;

/// Request counts and latencies of one class.
struct slo_counts {
  std::uint64_t requests = 0;
  std::uint64_t met = 0;  ///< Requests that met their target; <= requests.
  slo_histogram latency;

  /// Adds the counts of another daemon or window.
  void Add(const slo_counts& other) {
    requests += other.requests;
    met += other.met;
    latency.Add(other.latency);
  }
};

/// One window of one daemon. Windows without requests are reported too, to show
/// that the time was observed.
struct slo_window {
  std::string member;             ///< Name of the entry daemon.
  std::uint64_t incarnation = 0;  ///< Incarnation of its process.
  std::int64_t window = 0;        ///< Unix time / kSloWindowSeconds.
  std::map<std::string, slo_counts> classes;
};

/// Encodes the window as CBOR, the payload of the `slo_window` message.
std::string EncodeSloWindow(const slo_window& window);

/// Decodes the output of EncodeSloWindow(). Fails with `kProtocolError` if the
/// payload is malformed or its counts are inconsistent.
result<slo_window> DecodeSloWindow(std::string_view payload);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_WINDOW_H_
