#ifndef POMELOHALL_TESTS_MATRIX_CALLS_KEY_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_KEY_PROCESS_H_

#include <map>
#include <memory>
#include <string>

#include "ledger/key_ledger.h"
#include "network.h"

namespace pomelohall::matrix::calls {

/// Where keys are claimed: the home of issued keys (real ledger), or the
/// platform for caller-chosen keys (a table of claims with conditional create
/// and delete).
class key_process {
 public:
  key_process(network& net, process_id self, key_source source);

  std::string Issue();

  /// Runs one operation; the returned answer matters for a grant only.
  grant_result Run(claim_op operation, const std::string& key,
                   const std::string& holder, const stored_response& answer);

  void OnRestart();

 private:
  grant_result RunIssued(claim_op operation, const std::string& key,
                         const std::string& holder,
                         const stored_response& answer);
  grant_result RunChosen(claim_op operation, const std::string& key,
                         const std::string& holder);

  network& net_;
  process_id self_;
  key_source source_;
  std::unique_ptr<key_ledger> ledger_;
  std::map<std::string, std::string> claims_;
  std::string last_holder_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_KEY_PROCESS_H_
