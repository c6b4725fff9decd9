#ifndef POMELOHALL_TESTS_MATRIX_CALLS_JOURNAL_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_JOURNAL_H_

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
#include "world.h"

namespace pomelohall::matrix::calls {

/// One run of a request on a backend server.
struct execution {
  std::size_t request = 0;
  std::size_t try_number = 0;
  process_id backend = 0;
  instant sent_at;  ///< When its owner sent the first byte.
  instant at;
};

/// A request that the caller has to get done.
struct request_record {
  class_kind kind = class_kind::kLookup;
  key_source key_from = key_source::kNone;
  std::string key = {};
  bool poison = false;
  bool answered = false;
  bool convicted = false;  ///< The caller was told `poison_suspected`.

  bool IsKeyed() const { return key_from != key_source::kNone; }
};

/// What really happened, and the promises that it broke.
class journal {
 public:
  /// Adds a request and returns its number.
  std::size_t Add(request_record record);

  request_record& Request(std::size_t number) { return requests_[number]; }
  std::size_t RequestCount() const { return requests_.size(); }

  /// Returns the whole answer that belongs to a request.
  static std::string AnswerOf(std::size_t request);

  /// Records that a backend server runs a request.
  void OnExecution(const execution& run);

  /// Records that the caller was told that a try did not run.
  void OnToldNotRun(std::size_t request, std::size_t try_number);

  /// Records an answer that looked whole to the caller.
  void OnAnswer(std::size_t request, const std::string& body);

  /// From then on a backend server counts as leaving.
  void OnLeaving(process_id backend, instant now);

  /// Records that a fault of the scenario, not a request, stopped a server.
  void OnServerKilled(process_id backend, instant now);

  /// Checks at the end that idempotent requests were answered. An innocent
  /// one may be refused only if it was in flight on two servers that the
  /// scenario stopped; it cannot be told from a poison request then.
  void CheckAnswered();

  /// Checks the bound on servers lost to a poison request. Runs that were sent
  /// before the word of a crash could spread belong to that crash; allowed are
  /// two such groups, the one that made the request a suspect and the one in
  /// which it ran alone.
  /// @param crash_time From the start of a run to the crash of its server.
  /// @param spreading From a crash until every daemon knows of it.
  void CheckCrashes(duration crash_time, duration spreading);

  /// Returns how many servers were stopped while they ran a request.
  std::size_t KillsUnder(std::size_t request) const;

  void Broken(promise which, std::string detail);
  const std::vector<violation>& Violations() const { return violations_; }

 private:
  std::vector<request_record> requests_;
  std::vector<execution> executions_;
  std::map<std::size_t, std::set<std::size_t>> told_not_run_;
  std::map<process_id, instant> leaving_;
  std::vector<std::pair<process_id, instant>> kills_;
  std::vector<violation> violations_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_JOURNAL_H_
