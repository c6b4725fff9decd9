#ifndef POMELOHALL_QUARANTINE_CRASH_HISTORY_H_
#define POMELOHALL_QUARANTINE_CRASH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelohall {

/// A crash of a backend server.
struct server_crash {
  std::uint64_t id = 0;  ///< Of the start of the server that ended.
  std::int64_t at_unix_ms = 0;

  bool operator==(const server_crash&) const = default;
};

/// A crash and the fingerprints of the requests that may have caused it.
struct crash_report {
  server_crash crash;
  std::vector<std::uint64_t> requests;

  bool operator==(const crash_report&) const = default;
};

/// Settings of a crash_history.
struct crash_history_options {
  /// Crashes that make a request a culprit: it is refused from then on.
  std::size_t culprit_crashes = 3;
  /// Crashes that make it a suspect: it is not repeated any more.
  std::size_t suspect_crashes = 2;
  /// Crashes within this time count as one: servers that end together, for
  /// example with their VMs, say nothing about a request that all of them ran.
  std::int64_t separation_ms = 1'000;
  /// How long a crash counts.
  std::int64_t lifetime_ms = 600'000;
  /// Maximum number of requests; the ones with the fewest and earliest crashes
  /// are forgotten first.
  std::size_t max_requests = 4096;
  /// Maximum number of crashes of the server beside this daemon that are
  /// reported to others, and of requests of each.
  std::size_t max_reports = 8;
  std::size_t max_reported_requests = 64;
  /// Maximum number of cleared requests that are reported, and for how long.
  std::size_t max_cleared_requests = 32;
  std::int64_t cleared_lifetime_ms = 60'000;
};

/// Which requests may have crashed backend servers, by fingerprint. Each daemon
/// reports the crashes of the server beside it; the other daemons learn them
/// from its record and with requests that come again.
///
/// A request that crashes the servers that run it never completes, so one that
/// completes is cleared of all crashes that are known by then. Times are of the
/// clocks of the VMs, which may differ by seconds. Not thread-safe.
class crash_history {
 public:
  explicit crash_history(crash_history_options options = {});

  /// Records a crash of the server beside this daemon. To be called with the
  /// reports of an earlier process of this daemon as well.
  void OnCrash(const crash_report& report, std::int64_t now_unix_ms);

  /// Applies the reports in the record of another daemon. A request that is no
  /// longer reported for a crash that still is has been cleared of it there.
  /// @param cleared ClearedRequests() of that daemon.
  void OnReported(const std::string& member,
                  const std::vector<crash_report>& reports,
                  const std::vector<std::uint64_t>& cleared,
                  std::int64_t now_unix_ms);

  /// Adds crashes that another daemon knows for a request.
  void Add(std::uint64_t fingerprint, const std::vector<server_crash>& crashes,
           std::int64_t now_unix_ms);

  /// Clears a request: a server has run it to its end.
  void OnCompleted(std::uint64_t fingerprint);

  /// Returns the crashes that a request may have caused.
  std::vector<server_crash> Crashes(std::uint64_t fingerprint) const;

  /// Returns whether a request is only to be sent again if its caller asks.
  bool IsSuspect(std::uint64_t fingerprint) const {
    return Count(fingerprint) >= options_.suspect_crashes;
  }

  /// Returns whether a request must not run any more.
  bool IsCulprit(std::uint64_t fingerprint) const {
    return Count(fingerprint) >= options_.culprit_crashes;
  }

  /// Returns the crashes of the server beside this daemon, for its record.
  std::vector<crash_report> OwnReports() const;

  /// Returns the requests that ran at several crashes and have completed here
  /// lately, for the record of this daemon: others may not have seen any of
  /// them complete.
  std::vector<std::uint64_t> ClearedRequests() const;

  /// Called when OwnReports() or ClearedRequests() has changed in a way that
  /// others should know.
  void SetObserver(std::function<void()> observer) {
    on_change_ = std::move(observer);
  }

  /// Forgets crashes that have expired. To be called about once a second.
  void Expire(std::int64_t now_unix_ms);

  std::size_t RequestCount() const { return requests_.size(); }
  std::size_t CulpritCount() const;

 private:
  struct suspicion {
    server_crash crash;
    bool cleared = false;
  };

  struct cleared_request {
    std::uint64_t fingerprint = 0;
    std::int64_t since_unix_ms = 0;  ///< 0 until the next Expire().
  };

  std::size_t Count(std::uint64_t fingerprint) const;
  /// Returns the crashes that the request is not cleared of.
  std::size_t Count(const std::vector<suspicion>& suspicions) const;
  /// Counts crashes within `separation_ms` of each other once.
  std::size_t CountSeparate(std::vector<std::int64_t> times) const;
  bool IsExpired(const server_crash& crash, std::int64_t now_unix_ms) const;
  void AddSuspicion(std::uint64_t fingerprint, const server_crash& crash);
  void Clear(std::uint64_t fingerprint, std::uint64_t crash_id);
  void ClearAll(std::uint64_t fingerprint);
  void EvictOne();
  void Notify();

  crash_history_options options_;
  std::unordered_map<std::uint64_t, std::vector<suspicion>> requests_;
  std::vector<crash_report> own_;         ///< The latest one last.
  std::vector<cleared_request> cleared_;  ///< The latest one last.
  /// What the records of the other daemons reported last.
  std::map<std::string, std::vector<crash_report>> reported_;
  std::function<void()> on_change_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_QUARANTINE_CRASH_HISTORY_H_
