#ifndef POMELOHALL_SIDECAR_SRC_ROUTED_REQUEST_H_
#define POMELOHALL_SIDECAR_SRC_ROUTED_REQUEST_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "backend/exchange.h"
#include "base/name_table.h"
#include "caller/body_prefix.h"
#include "caller/incoming_request.h"
#include "quota/quota_account.h"
#include "request_router.h"

namespace pomelohall {

// What a request in progress waits for.
enum class request_wait {
  kRequestBody,      // The rest of the request.
  kMember,           // The head of the answer.
  kAnswerBody,       // The rest of the answer.
  kLink,             // The answer is queued for the network link.
  kEarlierResponse,  // Responses to earlier requests of the connection.
  kCaller,           // The caller reads the answer.
};

inline constexpr name_table<request_wait, 6> kRequestWaitNames{{{
    {request_wait::kRequestBody, "body"},
    {request_wait::kMember, "member"},
    {request_wait::kAnswerBody, "answer_body"},
    {request_wait::kLink, "link"},
    {request_wait::kEarlierResponse, "earlier_response"},
    {request_wait::kCaller, "caller"},
}}};

// A request of a caller, from its header to the end of its answer. Offers it to
// one backend server after another until one of them runs it, and retries
// failures as far as the retry budget allows.
class routed_request : public std::enable_shared_from_this<routed_request> {
 public:
  routed_request(request_router& router,
                 std::shared_ptr<incoming_request> request);

  void Start();
  // Applies the limits of the router's stop.
  void LimitToStop();
  // Returns the address of the other daemon that has the request; empty if none
  // has it.
  std::string PeerAddress() const;
  // Times out if a large response of the connection waits for this one.
  void EndIfDelaying();
  // Times out unless the response has been started or is small.
  void EndIfUnanswered();
  request_wait CurrentWait() const;
  // Logs what the request waits for.
  void LogUnanswered() const;

 private:
  // Preparation before the first offer.
  bool SelectRoute();
  // Checks the API key and sets the tenant. Returns false after a refusal.
  bool Authenticate();
  void FailWithoutKey();
  void ReadBody();
  void OnBody(result<body_prefix> start);
  // Handles the decision about the quota of the tenant.
  void OnQuota(quota_decision decision, const body_prefix& body);
  // Selects the destination and makes the first offer.
  void Place(const body_prefix& body);
  void FailWithoutRoute();
  // Fails by what the configuration says, or lacks.
  // @param if_outdated Reason if there may be a newer configuration.
  void FailByConfig(const config_currency& currency, const error& failure,
                    const char* if_outdated);
  void SetDeadlines();
  void StartTimer();
  void StartTimer(instant at);

  // Versions of servers during a roll-out.
  void LeaveCanary();
  void OnReachedServer();
  bool AllowsVersionOf(const server_choice& choice) const;
  // Ends the count of the request at the server of its last offer.
  void ReleaseServer();

  // Offers to backend servers.
  // Returns how the crashes of the request allow it to run now.
  crash_verdict Verdict() const;
  void OfferNext();
  bool MayOffer() const;
  // The planner of this request's kind.
  offer_planner& Planner() const;
  // Whether the current offer accepts only a short wait.
  bool IsShortWait() const;
  duration MaxWait() const;
  void Offer(const server_choice& choice);
  outgoing_request BuildRequest() const;
  void OfferToPeer(const server_choice& choice);
  void OfferToLocalServer(const server_choice& choice);
  void OnResponse(result<incoming_response> answer);
  void OnPeerAnswer(result<incoming_response> answer);
  void FailAsRequestFault(const error& failure);
  void OnRefused(const error& failure);
  void OnUnknownOutcome(const error& failure);
  void EndOffer(send_outcome outcome);
  // Records the time that the daemon of the current offer added to it.
  void RecordDelay(const response_head& head);
  bool AcquireRetry(run_state ran);
  bool ShouldRetry(int status);

  // Handling of the answer.
  void ReadAnswer(incoming_response answer);
  // Whether the answer is to be read completely because the daemon stops.
  bool NeedsStopMemory() const;
  void ReadAnswerAtStop();
  void ReleaseStopMemory();
  // Continues with memory that the answer has waited for. Returns false if the
  // request needs none any more.
  bool OnStopMemory(std::uint64_t bytes);
  void ReadAnswerBody();
  void OnResponseBody(const result<body_prefix>& start);
  void Deliver();
  void Fail(const error& failure);
  void Answer(incoming_response answer, const char* reason);
  void OnTimeout();
  void OnCallerDisconnected();
  void Finish(int status, const std::string& reason);

  request_router& router_;
  const std::shared_ptr<incoming_request> request_;
  const std::shared_ptr<route_table> table_;
  request_head head_;
  std::string attempt_id_;
  const route_rule* route_ = nullptr;
  const tenant* tenant_ = nullptr;  // Null if it has none.
  bool has_token_ = false;          // Counts in the quota of the tenant.
  int priority_ = 0;                // That of the tenant before the route's.
  std::string service_;
  instant received_at_;
  instant target_at_;
  // Before the caller's deadline, so that the answer arrives in time.
  instant deadline_;
  // When a request without an answer gets one of this daemon.
  instant timeout_at_;
  duration initial_time_left_{0};
  std::shared_ptr<const std::string> body_;  // Complete body, if it is small.
  // A large body; it can be sent only once.
  std::shared_ptr<body_source> request_body_;  // Null without a body.
  std::shared_ptr<class prefixed_body> streamed_body_;

  std::uint64_t fingerprint_ = 0;  // See FingerprintOf().
  server_demand demand_;
  std::optional<server_choice> offer_;
  instant offered_at_;
  std::shared_ptr<exchange> sent_;
  offer_plan plan_;
  // Version of the server that the request is counted at.
  std::optional<std::string> counted_version_;
  std::size_t offers_ = 0;
  std::size_t busy_refusals_ = 0;  // Offers refused for lack of capacity.
  std::uint32_t sends_ = 0;        // Offers that reached a backend server.
  std::optional<error> last_failure_;
  bool may_have_run_ = false;
  // A backend server refused the request although it had a free slot.
  bool refused_by_server_ = false;

  std::optional<incoming_response> answer_;
  bool answer_is_complete_ = false;  // The whole answer is in memory.
  // Size of the body of the answer, if it tells one.
  std::optional<std::uint64_t> answer_bytes_;
  std::optional<instant> answered_at_;  // When the answer could be written.
  // The answer is of the backend server on this VM, which nothing has paced
  // yet.
  bool answer_is_local_ = false;
  // Memory that is reserved for the answer while the daemon stops.
  std::uint64_t stop_memory_ = 0;
  bool awaits_stop_memory_ = false;
  // Failed answer of an earlier offer.
  std::optional<incoming_response> fallback_;
  boost::asio::steady_timer timer_;
  bool last_read_done_ = false;  // See OnTimeout().
  bool delivering_ = false;
  bool finished_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ROUTED_REQUEST_H_
