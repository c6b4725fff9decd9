#ifndef POMELOHALL_SLO_SLO_OBJECT_READER_H_
#define POMELOHALL_SLO_SLO_OBJECT_READER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "slo/slo_histogram.h"

namespace pomelohall {

/// One window of one member, as stored in an object.
struct slo_object_row {
  struct class_row {
    std::string name;
    std::uint64_t requests = 0;
    std::uint64_t met = 0;
  };

  std::string member;
  std::uint64_t incarnation = 0;
  std::int64_t window = 0;
  bool assumed = false;  ///< Stands in for a lost window of a vanished member.
  std::vector<class_row> classes;
};

/// The parsed spec of an object with plural `slowindows`.
struct slo_object_content {
  std::string data_centre;
  std::int64_t minute = 0;
  std::vector<slo_object_row> rows;
  std::map<std::int64_t, std::uint64_t> expected;  ///< Members per window.
  std::map<std::string, slo_histogram> latencies;
};

/// Parses a spec written by slo_aggregator. Returns nullopt if it is
/// malformed.
std::optional<slo_object_content> ReadSloObject(std::string_view spec);

}  // namespace pomelohall

#endif  // POMELOHALL_SLO_SLO_OBJECT_READER_H_
