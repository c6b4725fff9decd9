#ifndef POMELOHALL_BENCH_CONTROL_DAEMON_H_
#define POMELOHALL_BENCH_CONTROL_DAEMON_H_

#include <cstddef>

namespace pomelohall::bench {

/// Costs of one daemon in a fleet of a given size.
struct daemon_cost {
  double bytes_per_record = 0;  ///< Heap bytes for a member record.
  double messages_per_s = 0;    ///< Sent at rest.
  double bytes_per_s = 0;       ///< Sent at rest, encoded.
  double event_ns = 0;          ///< CPU time for one member event.
  double ping_ns = 0;           ///< CPU time for one ping.
  double ack_ns = 0;            ///< CPU time for one ack, aggregator.
  double full_sync_bytes = 0;   ///< Encoded table for a joiner.
};

/// Runs the decision code of one daemon against `members` records, spread over
/// six data centres (one for fewer than 60 members).
daemon_cost MeasureDaemon(std::size_t members);

/// Costs of one version of the design capacity.
struct image_cost {
  double image_bytes = 0;       ///< Heap bytes of the first image.
  double next_image_bytes = 0;  ///< Heap bytes of a successor (one section).
  double full_state_bytes = 0;  ///< Encoded.
  double delta_bytes = 0;       ///< Encoded, one section changed.
  double head_bytes = 0;        ///< JSON.
  double section_bytes = 0;     ///< Mean.
};

image_cost MeasureImage();

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CONTROL_DAEMON_H_
