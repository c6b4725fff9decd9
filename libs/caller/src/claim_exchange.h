#ifndef POMELOHALL_CALLER_SRC_CLAIM_EXCHANGE_H_
#define POMELOHALL_CALLER_SRC_CLAIM_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "backend/exchange.h"
#include "claim_codec.h"
#include "service_context.h"

namespace pomelohall {

// Sends one claim to the home of a key and reports the response. Any failure is
// reported as `kUnavailable`; the claim may still have taken effect, and the
// same holder must release it to undo it.
class claim_exchange : public std::enable_shared_from_this<claim_exchange> {
 public:
  claim_exchange(context_ptr context, std::function<void(grant_result)> done);

  // `address` is the forward address of the home daemon.
  void Start(const std::string& address, const claim_request& claim);

 private:
  void OnResponse(result<incoming_response> response);
  void Finish(grant_result grant);

  const context_ptr context_;
  std::function<void(grant_result)> done_;
  std::shared_ptr<exchange> call_;
  boost::asio::steady_timer timer_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_CLAIM_EXCHANGE_H_
