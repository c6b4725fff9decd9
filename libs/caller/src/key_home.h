#ifndef POMELOHALL_CALLER_SRC_KEY_HOME_H_
#define POMELOHALL_CALLER_SRC_KEY_HOME_H_

#include <functional>
#include <string>

#include "claim_codec.h"
#include "ledger/key_ledger.h"
#include "service_context.h"

namespace pomelohall {

// Asks the home of an idempotency key: this daemon, another one, or the
// platform for keys that callers chose. Part of the context.
class key_home {
 public:
  explicit key_home(service_context& context) : context_(context) {}

  // `done` may be called before Grant() returns.
  void Grant(const context_ptr& context, const std::string& key,
             const std::string& holder, std::function<void(grant_result)> done);
  void Complete(const context_ptr& context, const std::string& key,
                const std::string& holder, stored_response answer);
  // `done` is called when the home has answered or did not in time.
  void Release(const context_ptr& context, const std::string& key,
               const std::string& holder, std::function<void()> done);

  // Answers a claim of another daemon.
  grant_result Apply(const claim_request& claim);

 private:
  void Ask(const context_ptr& context, const issued_key& home,
           const claim_request& claim, std::function<void(grant_result)> done);
  void ClaimOnPlatform(const context_ptr& context, const std::string& key,
                       const std::string& holder,
                       const std::function<void(grant_result)>& done);
  void CheckClaim(const context_ptr& context, const std::string& name,
                  const std::string& holder,
                  std::function<void(grant_result)> done);
  void DeleteClaim(const context_ptr& context, const std::string& key,
                   const std::string& holder, std::function<void()> done);

  service_context& context_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_KEY_HOME_H_
