#ifndef POMELOHALL_TESTS_MATRIX_CALLS_KEY_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_KEY_PROCESS_H_

#include <map>
#include <memory>
#include <string>

#include "ledger/key_ledger.h"
#include "run_context.h"

namespace pomelohall::matrix::calls {

/// Process that grants idempotency keys: the home daemon of issued keys, with
/// the production key_ledger, or the platform for caller-chosen keys, with a
/// table of claims that are created and deleted conditionally.
class key_process {
 public:
  key_process(run_context& context, process_id self, key_source source);

  std::string Issue();

  /// Runs one operation. The result is meaningful only for a grant.
  grant_result Run(claim_op operation, const std::string& key,
                   const std::string& holder, const stored_response& answer);

  void OnRestart();

 private:
  grant_result RunIssued(claim_op operation, const std::string& key,
                         const std::string& holder,
                         const stored_response& answer);
  grant_result RunChosen(claim_op operation, const std::string& key,
                         const std::string& holder);

  run_context& context_;
  process_id self_;
  key_source source_;
  std::unique_ptr<key_ledger> ledger_;
  std::map<std::string, std::string> claims_;
  std::string last_holder_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_KEY_PROCESS_H_
