#ifndef POMELOHALL_SIDECAR_SRC_ROUTED_REQUEST_H_
#define POMELOHALL_SIDECAR_SRC_ROUTED_REQUEST_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "backend/exchange.h"
#include "caller/body_tools.h"
#include "caller/incoming_request.h"
#include "request_router.h"

namespace pomelohall {

// One request of a caller, from its header to the end of its answer.
class routed_request : public std::enable_shared_from_this<routed_request> {
 public:
  routed_request(request_router& router,
                 std::shared_ptr<incoming_request> request);

  void Start();

 private:
  // Before the first offer.
  bool SelectRoute();
  void ReadBody();
  void OnBody(result<body_prefix> start);
  void SetTimes();

  // Offers to backend servers.
  void OfferNext();
  bool MayOffer() const;
  // Whether the present offer is refused rather than kept waiting.
  bool IsImpatient() const;
  duration MaxWait() const;
  void Offer(const server_choice& choice);
  outgoing_request BuildRequest() const;
  void OfferToPeer(const server_choice& choice);
  void OfferToGate(const server_choice& choice);
  void OnAnswer(result<incoming_response> answer);
  void OnPeerAnswer(result<incoming_response> answer);
  void OnRefused(const error& failure);
  void OnBroken(const error& failure);
  void EndOffer(send_outcome outcome);
  bool TakeRepeat(run_state ran);
  bool ShouldRepeat(int status);

  // The answer.
  void ReadAnswer(incoming_response answer);
  void OnAnswerBody(const result<body_prefix>& start);
  void Deliver();
  void Fail(const error& failure);
  void Answer(incoming_response answer, const char* reason);
  void OnTimeout();
  void OnCallerGone();
  void Finish(int status, const std::string& reason);

  request_router& router_;
  const std::shared_ptr<incoming_request> request_;
  const std::shared_ptr<route_table> table_;
  request_head head_;
  std::string attempt_id_;
  const route_rule* route_ = nullptr;
  std::string service_;
  instant received_;
  instant target_at_;
  instant give_up_at_;
  duration left_at_start_{0};
  std::shared_ptr<const std::string> body_;    // Whole body, if it is small.
  std::shared_ptr<class prefixed_body> rest_;  // A large body, sent once.

  server_demand demand_;
  std::optional<server_choice> offer_;
  std::shared_ptr<exchange> sent_;
  std::size_t offers_ = 0;
  std::uint32_t sends_ = 0;  // Offers that reached a backend server.
  std::optional<error> last_failure_;
  bool may_have_run_ = false;

  std::optional<incoming_response> answer_;
  bool answer_is_whole_ = false;               // It is in memory to its end.
  std::optional<incoming_response> fallback_;  // Failure of an earlier offer.
  boost::asio::steady_timer timer_;
  bool delivering_ = false;
  bool finished_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ROUTED_REQUEST_H_
