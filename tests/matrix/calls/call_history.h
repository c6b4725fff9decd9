#ifndef POMELOHALL_TESTS_MATRIX_CALLS_CALL_HISTORY_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_CALL_HISTORY_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../matrix.h"
#include "base/time.h"
#include "model/configuration.h"
#include "scenario.h"
#include "simulation.h"

namespace pomelohall::matrix::calls {

/// One execution of a request on a backend server.
struct execution {
  std::size_t request = 0;
  std::size_t attempt_number = 0;
  process_id backend = 0;
  instant sent_at;  ///< When the owner sent the first byte.
  instant at;
};

/// A request of the caller and what the caller knows about it.
struct request_record {
  class_kind kind = class_kind::kLookup;
  key_source key_from = key_source::kNone;
  std::string key = {};
  bool poison = false;
  bool answered = false;
  bool refused_as_poison = false;  ///< The caller got `poison_suspected`.

  bool HasKey() const { return key_from != key_source::kNone; }
};

/// Records what the processes did and checks it against the guarantees.
class call_history {
 public:
  /// Adds a request and returns its number.
  std::size_t Add(request_record record);

  request_record& Request(std::size_t number) { return requests_[number]; }
  std::size_t RequestCount() const { return requests_.size(); }

  /// Returns the complete answer expected for a request.
  static std::string ExpectedAnswer(std::size_t request);

  /// Records that a backend server starts to execute a request.
  void OnExecution(const execution& run);

  /// Records that an error told the caller that an attempt did not run.
  void OnReportedNotRun(std::size_t request, std::size_t attempt_number);

  /// Records an answer that appeared complete to the caller.
  void OnAnswer(std::size_t request, const std::string& body);

  /// Records that a backend server starts to drain.
  void OnDraining(process_id backend, instant now);

  /// Records that a server was stopped by an injected fault, not by a request.
  void OnServerKilled(process_id backend, instant now);

  /// Checks at the end that all idempotent requests were answered. A request
  /// that is not poison may be refused as such only if it was in flight on two
  /// servers stopped by injected faults, as it cannot be distinguished from a
  /// poison request then.
  void CheckAnswered();

  /// Checks the bound on server crashes caused by a poison request. Executions
  /// sent before all daemons could know of a crash are grouped with that crash.
  /// Two groups are allowed: the one that made the request a suspect, and the
  /// one in which it ran alone.
  /// @param crash_time Time from the start of an execution to the crash.
  /// @param propagation_time Time from a crash until every daemon knows of it.
  void CheckCrashes(duration crash_time, duration propagation_time);

  /// Returns how many executions of a request were interrupted by a fault that
  /// stopped the server.
  std::size_t KillsDuring(std::size_t request) const;

  void ReportViolation(guarantee which, std::string detail);
  const std::vector<violation>& Violations() const { return violations_; }

 private:
  std::vector<request_record> requests_;
  std::vector<execution> executions_;
  std::map<std::size_t, std::set<std::size_t>> reported_not_run_;
  std::map<process_id, instant> draining_since_;
  std::vector<std::pair<process_id, instant>> kills_;
  std::vector<violation> violations_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_CALL_HISTORY_H_
