#ifndef POMELOHALL_BENCH_CONTROL_DAEMON_H_
#define POMELOHALL_BENCH_CONTROL_DAEMON_H_

#include <cstddef>

namespace pomelohall::bench {

/// Costs of one daemon in a fleet of a given size.
struct daemon_cost {
  double bytes_per_record = 0;  ///< Heap bytes for a member record.
  double messages_per_s = 0;    ///< Sent when idle.
  double bytes_per_s = 0;       ///< Sent when idle, encoded.
  double event_ns = 0;          ///< CPU time for one member event.
  double ping_ns = 0;           ///< CPU time for one ping.
  double ack_ns = 0;            ///< CPU time of an aggregator for one ack.
  double full_sync_bytes = 0;   ///< Encoded member table for a joiner.
};

/// Runs the membership and commit code of one daemon with `members` records,
/// spread over six data centres (one for fewer than 60 members).
daemon_cost MeasureDaemon(std::size_t members);

/// Sizes of one configuration version of the design size.
struct image_cost {
  double image_bytes = 0;       ///< Heap bytes of the first image.
  double next_image_bytes = 0;  ///< Heap bytes added if one section changes.
  double full_state_bytes = 0;  ///< All sections, encoded.
  double delta_bytes = 0;       ///< One changed section, encoded.
  double head_bytes = 0;        ///< Head object, JSON.
  double section_bytes = 0;     ///< Mean of the section objects.
};

image_cost MeasureImage();

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CONTROL_DAEMON_H_
