#include "key_claim_client.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "backend/buffered_body.h"
#include "base/digest.h"
#include "caller/body_prefix.h"
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

bool IsHeldBy(const stored_object& object, const std::string& holder) {
  const auto spec = nlohmann::json::parse(object.spec, nullptr, false);
  return spec.is_object() && spec.value("holder", nlohmann::json()) == holder;
}

// Returns a callback that runs `done` on the I/O thread.
object_store::object_callback PostToIoThread(
    const context_ptr& context,
    std::function<void(result<stored_object>)> done) {
  return [context, done = std::move(done)](result<stored_object> object) {
    boost::asio::post(context->io, [context, done, object = std::move(object)] {
      done(object);
    });
  };
}

}  // namespace

void key_claim_client::Grant(const context_ptr& context, const std::string& key,
                             const std::string& holder,
                             std::function<void(grant_result)> done) {
  const auto issued = ParseIssuedKey(key);
  if (!issued) {
    ClaimOnPlatform(context, key, holder, done);
    return;
  }
  SendClaim(
      context, *issued, {claim_op::kGrant, key, holder, {}},
      [this, context, key, holder, done = std::move(done)](grant_result grant) {
        if (grant.verdict == grant_verdict::kUnavailable) {
          // An earlier attempt with this key may have run, so this must
          // not end as "not run". The grant may have taken effect, too.
          Release(context, key, holder, [] {});
          grant.verdict = grant_verdict::kOutcomeUnknown;
        }
        done(std::move(grant));
      });
}

void key_claim_client::Complete(const context_ptr& context,
                                const std::string& key,
                                const std::string& holder,
                                stored_response response) {
  // A key that no daemon issued is claimed on the platform. That claim remains,
  // but the response is not stored there.
  const auto issued = ParseIssuedKey(key);
  if (!issued) return;
  SendClaim(context, *issued,
            {claim_op::kComplete, key, holder, std::move(response)},
            [](const grant_result&) {});
}

void key_claim_client::Release(const context_ptr& context,
                               const std::string& key,
                               const std::string& holder,
                               std::function<void()> done) {
  const auto issued = ParseIssuedKey(key);
  if (!issued) {
    DeleteClaim(context, key, holder, std::move(done));
    return;
  }
  SendClaim(context, *issued, {claim_op::kRelease, key, holder, {}},
            [done = std::move(done)](const grant_result&) { done(); });
}

grant_result key_claim_client::HandleClaim(const claim_request& claim) {
  const auto now = MonotonicNow();
  switch (claim.op) {
    case claim_op::kGrant:
      return context_.ledger.Grant(claim.key, claim.holder, now);
    case claim_op::kComplete:
      context_.ledger.Complete(claim.key, claim.holder, claim.response, now);
      break;
    case claim_op::kRelease:
      context_.ledger.Release(claim.key, claim.holder, now);
      break;
  }
  return {};
}

void key_claim_client::SendClaim(const context_ptr& context,
                                 const issued_key& home,
                                 const claim_request& claim,
                                 std::function<void(grant_result)> done) {
  if (home.member == context_.options.member) {
    const bool ours = home.incarnation == context_.options.incarnation;
    done(ours ? HandleClaim(claim) : grant_result{});
    return;
  }
  const auto address = context_.options.find_member
                           ? context_.options.find_member(home.member)
                           : std::nullopt;
  if (!address || address->incarnation != home.incarnation) {
    // The key table of the home is lost or unreachable: the outcome is unknown.
    done({});
    return;
  }
  std::make_shared<claim_exchange>(context, std::move(done))
      ->Start(address->forward_address, claim);
}

void key_claim_client::ClaimOnPlatform(
    const context_ptr& context, const std::string& key,
    const std::string& holder, const std::function<void(grant_result)>& done) {
  if (context_.options.claims == nullptr) {
    done({.verdict = grant_verdict::kUnavailable});
    return;
  }
  const auto object = ClaimObject(key, holder);
  context_.options.claims->Create(
      object,
      PostToIoThread(context, [this, context, name = object.name, holder,
                               done](const result<stored_object>& created) {
        if (created) {
          done({.verdict = grant_verdict::kGranted});
        } else if (created.error().kind == error_kind::kConflict) {
          CheckClaimHolder(context, name, holder, done);
        } else {
          done({.verdict = grant_verdict::kUnavailable});
        }
      }));
}

// The platform client may have repeated a create request whose response was
// lost, so the conflicting claim can belong to the same holder.
void key_claim_client::CheckClaimHolder(
    const context_ptr& context, const std::string& name,
    const std::string& holder, std::function<void(grant_result)> done) {
  context_.options.claims->Get(
      std::string(kClaimsPlural), name,
      PostToIoThread(context, [holder, done = std::move(done)](
                                  const result<stored_object>& found) {
        const bool ours = found && IsHeldBy(*found, holder);
        done({.verdict = ours ? grant_verdict::kGranted
                              : grant_verdict::kOutcomeUnknown});
      }));
}

void key_claim_client::DeleteClaim(const context_ptr& context,
                                   const std::string& key,
                                   const std::string& holder,
                                   std::function<void()> done) {
  if (context_.options.claims == nullptr) {
    done();
    return;
  }
  context_.options.claims->Get(
      std::string(kClaimsPlural), Sha256Hex(key),
      PostToIoThread(context, [this, context, holder, done = std::move(done)](
                                  const result<stored_object>& found) {
        if (!found || !IsHeldBy(*found, holder)) {
          done();
          return;
        }
        context_.options.claims->Delete(
            *found,
            PostToIoThread(context,
                           [done](const result<stored_object>&) { done(); }));
      }));
}

}  // namespace pomelohall
