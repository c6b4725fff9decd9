#ifndef POMELOHALL_QUARANTINE_CRASH_HISTORY_H_
#define POMELOHALL_QUARANTINE_CRASH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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

/// A crash that one request may have caused.
struct suspected_crash {
  server_crash crash;
  /// Whether the request was on trial then: it alone is to blame.
  bool on_trial = false;

  bool operator==(const suspected_crash&) const = default;
};

/// A crash and the fingerprints of the requests that may have caused it.
struct crash_report {
  server_crash crash;
  std::vector<std::uint64_t> requests;
  /// The one of them that was on trial, if any.
  std::optional<std::uint64_t> trial = {};

  bool operator==(const crash_report&) const = default;
};

/// How a request may run.
enum class crash_verdict {
  kAllow,
  /// On trial: on the server that the caller's daemon selects by
  /// server_demand::trial, one such request at a time.
  kTrial,
  kRefuse,
};

/// Settings of a crash_history.
struct crash_history_options {
  /// Crashes that make a request a suspect: its daemons do not repeat it any
  /// more.
  std::size_t suspect_crashes = 2;
  /// Crashes within this time count as one for that: servers that end together
  /// say nothing about a request that all of them ran.
  std::int64_t separation_ms = 1'000;
  /// Crashes from which a request runs on trial only, however close together.
  /// The platform's bound on a request that crashes servers counts from its
  /// third crash.
  std::size_t trial_crashes = 3;
  /// Crashes on trial that make a request a culprit: it is refused from then
  /// on. The platform allows three late attempts; the third is left for daemons
  /// that do not know of the trials yet. One crash is not enough, as the server
  /// may have ended for another reason.
  std::size_t culprit_trials = 2;
  /// Time from a crash on trial until the next trial. Servers that crash one
  /// after the other for another reason do not make a culprit of a request that
  /// each of them ran.
  std::int64_t trial_pause_ms = 3'000;
  /// How long a crash counts.
  std::int64_t lifetime_ms = 600'000;
  /// Maximum number of requests; the ones with the fewest and earliest crashes
  /// are forgotten first.
  std::size_t max_requests = 4096;
  /// Maximum number of crashes of a request.
  std::size_t max_suspicions = 64;
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
/// Servers that end for other reasons leave the same traces as those that a
/// request crashes: requests that ran at several crashes, also repeats that
/// follow each other within milliseconds. So crashes alone do not make a
/// culprit; a request that ran at several of them is put on trial.
///
/// A request that crashes the servers that run it never completes, so one that
/// completes is cleared of all crashes that are known by then. Times of crashes
/// are of the clocks of the VMs, which may differ by seconds; verdicts do not
/// depend on them. Not thread-safe.
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
  void Add(std::uint64_t fingerprint,
           const std::vector<suspected_crash>& crashes,
           std::int64_t now_unix_ms);

  /// Clears a request: a server has run it to its end.
  void OnCompleted(std::uint64_t fingerprint);

  /// Clears a request that IsCleared() at another daemon.
  void OnClearedElsewhere(std::uint64_t fingerprint) { ClearAll(fingerprint); }

  /// Returns the crashes that a request may have caused.
  std::vector<suspected_crash> Crashes(std::uint64_t fingerprint) const;

  /// Returns whether a request that ran at enough crashes for a trial has
  /// completed since. Other daemons may not know that yet.
  bool IsCleared(std::uint64_t fingerprint) const;

  /// Returns whether a request is only to be sent again if its caller asks.
  bool IsSuspect(std::uint64_t fingerprint) const;

  /// Returns how a request may run now.
  crash_verdict Verdict(std::uint64_t fingerprint,
                        std::int64_t now_unix_ms) const;

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
    bool on_trial = false;
    /// When this daemon learned of it, by its clock.
    std::int64_t known_at_unix_ms = 0;
    bool cleared = false;
  };
  using suspicions = std::vector<suspicion>;

  struct cleared_request {
    std::uint64_t fingerprint = 0;
    std::int64_t since_unix_ms = 0;  ///< 0 until the next Expire().
  };

  /// Returns the number of crashes that the request is not cleared of.
  static std::size_t Count(const suspicions& known);
  /// Returns the number of those at which it was on trial.
  static std::size_t CountTrials(const suspicions& known);
  /// Returns whether a request ran at enough crashes to be of interest to
  /// others.
  bool IsSuspect(const suspicions& known) const;
  /// Counts crashes within `separation_ms` of each other once.
  std::size_t CountSeparate(std::vector<std::int64_t> times) const;
  bool IsExpired(const server_crash& crash, std::int64_t now_unix_ms) const;
  void AddSuspicion(std::uint64_t fingerprint, const suspected_crash& crash,
                    std::int64_t now_unix_ms);
  void AddReport(const crash_report& report, std::int64_t now_unix_ms);
  void Clear(std::uint64_t fingerprint, std::uint64_t crash_id);
  void ClearAll(std::uint64_t fingerprint);
  void EvictOne();
  void Notify();

  crash_history_options options_;
  std::unordered_map<std::uint64_t, suspicions> requests_;
  std::vector<crash_report> own_;         ///< The latest one last.
  std::vector<cleared_request> cleared_;  ///< The latest one last.
  /// What the records of the other daemons reported last.
  std::map<std::string, std::vector<crash_report>> reported_;
  std::function<void()> on_change_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_QUARANTINE_CRASH_HISTORY_H_
