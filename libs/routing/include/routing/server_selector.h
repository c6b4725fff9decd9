#ifndef POMELOHALL_ROUTING_SERVER_SELECTOR_H_
#define POMELOHALL_ROUTING_SERVER_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/random.h"
#include "base/time.h"
#include "routing/server_health.h"
#include "routing/snapshot.h"

namespace pomelohall {

/// Settings of a server_selector.
struct selector_options {
  std::string local_data_centre;
  std::string local_region;
  /// Added to the score of a server in another data centre of the region. Twice
  /// the 0.5 ms one-way latency between data centres.
  duration data_centre_penalty{1'000};
  /// Added to the score of a server in another region.
  duration region_penalty{20'000};
  server_health_options health = {};
};

/// Result of an attempt on a server.
struct attempt_result {
  /// From the first byte sent to the end of the response, or to the failure.
  duration latency{0};
  run_state ran = run_state::kRan;
  bool ok = true;  ///< A complete response arrived.
  /// Set if `ok` is false and the cause is known.
  std::optional<error_kind> error = std::nullopt;
};

/// Selects the backend server of a call: power of two choices by score,
/// preferring the local data centre. Ejects failing servers. Not thread-safe;
/// one instance per I/O thread.
class server_selector {
 public:
  server_selector(selector_options options, std::uint64_t seed);
  server_selector(const server_selector&) = delete;
  server_selector& operator=(const server_selector&) = delete;

  /// Replaces the snapshot. The health of a server is kept while the server
  /// stays in the snapshot with the same incarnation.
  void Update(snapshot_ptr next, instant now);

  /// Returns a server of `service`, or `kNoBackendServer` if the service is
  /// unknown or every reachable server is excluded, ejected or draining.
  /// @param excluded_members Owners that this call has already tried.
  result<server_entry> Pick(std::string_view service,
                            std::span<const std::string> excluded_members,
                            instant now);

  /// Counts an attempt as outstanding. Must be called for every attempt on a
  /// server returned by Pick(), followed by exactly one OnFinish().
  void OnStart(const std::string& member, instant now);

  /// Records the result of an attempt. Members that are not in the snapshot are
  /// ignored.
  void OnFinish(const std::string& member, const attempt_result& outcome,
                instant now);

  /// Returns the number of servers of `service` that are ejected at `now`.
  std::size_t EjectedCount(std::string_view service, instant now) const;

 private:
  /// A server of a service in the current snapshot.
  struct candidate {
    const server_entry* entry = nullptr;
    server_health* health = nullptr;
    duration penalty{0};
  };
  struct service_candidates {
    std::vector<candidate> local;
    std::vector<candidate> remote;
  };

  struct scored_candidate {
    const candidate* server = nullptr;
    double score = 0;
  };

  duration PenaltyOf(const server_entry& entry) const;
  duration MeanLatency(const service_entry& service, instant now) const;
  server_health& HealthOf(const server_entry& entry, duration initial,
                          instant now);
  void RemoveAbsentServers();
  scored_candidate BestOfTwo(const std::vector<candidate>& candidates,
                             std::span<const std::string> excluded,
                             instant now);
  const candidate* PickRandomUsable(const std::vector<candidate>& candidates,
                                    std::span<const std::string> excluded,
                                    const candidate* skipped, instant now);
  bool MayEject(const std::string& member, instant now) const;
  static double ScoreOf(const candidate& server, instant now);

  selector_options options_;
  random_source random_;
  snapshot_ptr snapshot_;
  /// Entries have stable addresses; `candidate` points to them.
  std::unordered_map<std::string, server_health> health_;
  std::map<std::string, service_candidates, std::less<>> services_;
  std::unordered_map<std::string, std::string> service_of_member_;
  bool first_update_ = true;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ROUTING_SERVER_SELECTOR_H_
