#ifndef POMELOHALL_CALLER_SRC_KEY_CLAIM_CLIENT_H_
#define POMELOHALL_CALLER_SRC_KEY_CLAIM_CLIENT_H_

#include <functional>
#include <string>

#include "claim_codec.h"
#include "ledger/key_ledger.h"
#include "service_context.h"

namespace pomelohall {

// Claims idempotency keys at their home: the daemon that issued the key, which
// can be this one, or the platform for keys that callers chose. Owned by the
// service_context.
class key_claim_client {
 public:
  explicit key_claim_client(service_context& context) : context_(context) {}

  // `done` may be called before Grant() returns.
  void Grant(const context_ptr& context, const std::string& key,
             const std::string& holder, std::function<void(grant_result)> done);
  void Complete(const context_ptr& context, const std::string& key,
                const std::string& holder, stored_response response);
  // Calls `done` when the home has responded or the request timed out.
  void Release(const context_ptr& context, const std::string& key,
               const std::string& holder, std::function<void()> done);

  // Handles a claim for a key that this daemon issued.
  grant_result HandleClaim(const claim_request& claim);

 private:
  void SendClaim(const context_ptr& context, const issued_key& home,
                 const claim_request& claim,
                 std::function<void(grant_result)> done);
  void ClaimOnPlatform(const context_ptr& context, const std::string& key,
                       const std::string& holder,
                       const std::function<void(grant_result)>& done);
  void CheckClaimHolder(const context_ptr& context, const std::string& name,
                        const std::string& holder,
                        std::function<void(grant_result)> done);
  void DeleteClaim(const context_ptr& context, const std::string& key,
                   const std::string& holder, std::function<void()> done);

  service_context& context_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_KEY_CLAIM_CLIENT_H_
