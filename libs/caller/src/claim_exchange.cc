#include "claim_exchange.h"

#include <boost/system/error_code.hpp>
#include <utility>

#include "backend/buffered_body.h"
#include "caller/body_prefix.h"

namespace pomelohall {
namespace {

constexpr int kOk = 200;
// Maximum size of a grant response, which may contain a stored response with
// its header fields.
constexpr std::size_t kMaxGrantBytes = 2 * kMaxStoredBodyBytes;

outgoing_request ClaimRequest(const std::string& address, std::string body) {
  outgoing_request request;
  request.head.method = "POST";
  request.head.target = "/v1/claims";
  request.head.fields = {{"Host", address},
                         {"Content-Type", "application/cbor"}};
  request.head.framing = body_framing::kLength;
  request.head.length = body.size();
  request.body = std::make_shared<buffered_body>(
      std::make_shared<const std::string>(std::move(body)));
  return request;
}

}  // namespace

claim_exchange::claim_exchange(context_ptr context,
                               std::function<void(grant_result)> done)
    : context_(std::move(context)),
      done_(std::move(done)),
      timer_(context_->io) {}

void claim_exchange::Start(const std::string& address,
                           const claim_request& claim) {
  timer_.expires_after(context_->options.claim_timeout);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled) self->Finish({.verdict = grant_verdict::kUnavailable});
      });
  call_ = context_->peers.Start(
      address, ClaimRequest(address, EncodeClaim(claim)),
      {.on_sent = {},
       .on_response =
           [self = shared_from_this()](result<incoming_response> response) {
             self->OnResponse(std::move(response));
           }});
}

void claim_exchange::OnResponse(result<incoming_response> response) {
  if (!response || response->head.status != kOk || !response->body) {
    Finish({.verdict = grant_verdict::kUnavailable});
    return;
  }
  ReadBodyPrefix(response->body, kMaxGrantBytes,
                 [self = shared_from_this()](result<body_prefix> body) {
                   auto grant = body && body->complete
                                    ? DecodeGrant(*body->bytes)
                                    : Fail(error_kind::kProtocolError, "");
                   self->Finish(std::move(grant).value_or(
                       grant_result{.verdict = grant_verdict::kUnavailable}));
                 });
}

void claim_exchange::Finish(grant_result grant) {
  const auto done = std::exchange(done_, nullptr);
  if (!done) return;
  timer_.cancel();
  call_->Cancel();  // No effect after the response was read.
  done(std::move(grant));
}

}  // namespace pomelohall
