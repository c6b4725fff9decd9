#ifndef POMELOHALL_CALLER_SRC_CLAIM_CODEC_H_
#define POMELOHALL_CALLER_SRC_CLAIM_CODEC_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "ledger/key_ledger.h"

namespace pomelohall {

// Operations on an idempotency key, sent to the daemon that issued the key (its
// home).
enum class claim_op { kGrant, kComplete, kRelease };

// Body of `POST /v1/claims`. Encoded as CBOR, because a stored response may
// contain arbitrary bytes.
struct claim_request {
  claim_op op = claim_op::kGrant;
  std::string key;
  std::string holder;
  stored_response response;  // For kComplete.
};

std::string EncodeClaim(const claim_request& claim);
// Fails with `kInvalidRequest`.
result<claim_request> DecodeClaim(std::string_view bytes);

std::string EncodeGrant(const grant_result& grant);
// Fails with `kProtocolError`.
result<grant_result> DecodeGrant(std::string_view bytes);

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_CLAIM_CODEC_H_
