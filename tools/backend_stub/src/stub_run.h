#ifndef POMELOHALL_BACKEND_STUB_SRC_STUB_RUN_H_
#define POMELOHALL_BACKEND_STUB_SRC_STUB_RUN_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "backend_stub/stub_server.h"

namespace pomelohall {

// One request that a stub_server runs. Occupies a slot until its response is
// written or its processing ends early.
class stub_run final : public std::enable_shared_from_this<stub_run> {
 public:
  stub_run(std::shared_ptr<stub_state> state,
           std::shared_ptr<incoming_request> request, std::string_view action);
  ~stub_run();

  void Start();

 private:
  void ReadBody();
  void Process();
  void Respond();
  incoming_response BuildResponse();
  duration ProcessingTime() const;

  const std::shared_ptr<stub_state> state_;
  const std::shared_ptr<incoming_request> request_;
  const std::string action_;
  std::string body_;
  boost::asio::steady_timer timer_;
  bool cancelled_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_STUB_SRC_STUB_RUN_H_
