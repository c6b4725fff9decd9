#include "key_home.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "backend/buffered_body.h"
#include "base/digest.h"
#include "caller/body_tools.h"
#include "claim_exchange.h"

namespace pomelohall {
namespace {

constexpr std::string_view kClaimsPlural = "claims";

stored_object ClaimObject(const std::string& key, const std::string& holder) {
  return {.plural = std::string(kClaimsPlural),
          .name = Sha256Hex(key),
          .resource_version = {},
          .spec = nlohmann::json{{"holder", holder}}.dump()};
}

bool HeldBy(const stored_object& object, const std::string& holder) {
  const auto spec = nlohmann::json::parse(object.spec, nullptr, false);
  return spec.is_object() && spec.value("holder", nlohmann::json()) == holder;
}

// Brings the answer of the platform back to the I/O thread.
object_store::object_callback OnIoThread(
    const context_ptr& context,
    std::function<void(result<stored_object>)> done) {
  return [context, done = std::move(done)](result<stored_object> answer) {
    boost::asio::post(context->io, [context, done, answer = std::move(answer)] {
      done(answer);
    });
  };
}

}  // namespace

void key_home::Grant(const context_ptr& context, const std::string& key,
                     const std::string& holder,
                     std::function<void(grant_result)> done) {
  const auto issued = ParseIssuedKey(key);
  if (!issued) {
    ClaimOnPlatform(context, key, holder, done);
    return;
  }
  Ask(context, *issued, {claim_op::kGrant, key, holder, {}},
      [this, context, key, holder,
       done = std::move(done)](grant_result answer) {
        if (answer.verdict == grant_verdict::kUnavailable) {
          // An earlier sending of the request may have run, so this must not
          // end as "not run". The grant itself may have taken effect.
          Release(context, key, holder, [] {});
          answer.verdict = grant_verdict::kOutcomeUnknown;
        }
        done(std::move(answer));
      });
}

void key_home::Complete(const context_ptr& context, const std::string& key,
                        const std::string& holder, stored_response answer) {
  // A claim on the platform stays, without the answer.
  const auto issued = ParseIssuedKey(key);
  if (!issued) return;
  Ask(context, *issued, {claim_op::kComplete, key, holder, std::move(answer)},
      [](const grant_result&) {});
}

void key_home::Release(const context_ptr& context, const std::string& key,
                       const std::string& holder, std::function<void()> done) {
  const auto issued = ParseIssuedKey(key);
  if (!issued) {
    DeleteClaim(context, key, holder, std::move(done));
    return;
  }
  Ask(context, *issued, {claim_op::kRelease, key, holder, {}},
      [done = std::move(done)](const grant_result&) { done(); });
}

grant_result key_home::Apply(const claim_request& claim) {
  const auto now = MonotonicNow();
  switch (claim.op) {
    case claim_op::kGrant:
      return context_.ledger.Grant(claim.key, claim.holder, now);
    case claim_op::kComplete:
      context_.ledger.Complete(claim.key, claim.holder, claim.answer, now);
      break;
    case claim_op::kRelease:
      context_.ledger.Release(claim.key, claim.holder, now);
      break;
  }
  return {};
}

void key_home::Ask(const context_ptr& context, const issued_key& home,
                   const claim_request& claim,
                   std::function<void(grant_result)> done) {
  if (home.member == context_.options.member) {
    const bool ours = home.incarnation == context_.options.incarnation;
    done(ours ? Apply(claim) : grant_result{});
    return;
  }
  const auto address = context_.options.find_member
                           ? context_.options.find_member(home.member)
                           : std::nullopt;
  if (!address || address->incarnation != home.incarnation) {
    // The table of the home is gone or out of reach: nobody knows the outcome.
    done({});
    return;
  }
  std::make_shared<claim_exchange>(context, std::move(done))
      ->Start(address->forward_address, claim);
}

void key_home::ClaimOnPlatform(const context_ptr& context,
                               const std::string& key,
                               const std::string& holder,
                               const std::function<void(grant_result)>& done) {
  if (context_.options.claims == nullptr) {
    done({.verdict = grant_verdict::kUnavailable});
    return;
  }
  const auto object = ClaimObject(key, holder);
  context_.options.claims->Create(
      object, OnIoThread(context, [this, context, name = object.name, holder,
                                   done](const result<stored_object>& answer) {
        if (answer) {
          done({.verdict = grant_verdict::kGranted});
        } else if (answer.error().kind == error_kind::kConflict) {
          CheckClaim(context, name, holder, done);
        } else {
          done({.verdict = grant_verdict::kUnavailable});
        }
      }));
}

// The client of the platform may have repeated a creation whose answer was
// lost: the claim in the way can be our own.
void key_home::CheckClaim(const context_ptr& context, const std::string& name,
                          const std::string& holder,
                          std::function<void(grant_result)> done) {
  context_.options.claims->Get(
      std::string(kClaimsPlural), name,
      OnIoThread(context, [holder, done = std::move(done)](
                              const result<stored_object>& found) {
        const bool ours = found && HeldBy(*found, holder);
        done({.verdict = ours ? grant_verdict::kGranted
                              : grant_verdict::kOutcomeUnknown});
      }));
}

void key_home::DeleteClaim(const context_ptr& context, const std::string& key,
                           const std::string& holder,
                           std::function<void()> done) {
  if (context_.options.claims == nullptr) {
    done();
    return;
  }
  context_.options.claims->Get(
      std::string(kClaimsPlural), Sha256Hex(key),
      OnIoThread(context, [this, context, holder, done = std::move(done)](
                              const result<stored_object>& found) {
        if (!found || !HeldBy(*found, holder)) {
          done();
          return;
        }
        context_.options.claims->Delete(
            *found, OnIoThread(context, [done](const result<stored_object>&) {
              done();
            }));
      }));
}

}  // namespace pomelohall
