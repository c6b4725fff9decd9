#ifndef POMELOHALL_TOOLS_LOAD_LOAD_CALL_H_
#define POMELOHALL_TOOLS_LOAD_LOAD_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "backend/connection_pool.h"
#include "base/time.h"
#include "load_report.h"
#include "load_settings.h"

namespace pomelohall {

/// One call. Checks every byte of the response body.
class load_call : public std::enable_shared_from_this<load_call> {
 public:
  /// @param id Random id on which the request and the expected response depend.
  /// @param due Scheduled start, from which the latency is measured.
  load_call(connection_pool& pool, const load_settings& settings,
            std::uint64_t id, instant due, load_report& report,
            std::function<void()> done);

  void Start(const std::string& address);

 private:
  void SendKeyRequest();
  void OnKeyResponse(result<incoming_response> response);
  void SendRequest();
  outgoing_request BuildRequest() const;
  void OnResponse(result<incoming_response> response);
  void OnErrorResponse(const incoming_response& response);
  void ReadNextPart();
  void OnPart(const result<body_part>& part);
  bool MatchesExpectedBody(std::string_view bytes) const;
  std::uint64_t ExpectedBytes() const;
  void Finish(const std::string& failure);

  connection_pool& pool_;
  const load_settings& settings_;
  const std::uint64_t id_;
  const instant due_;
  load_report& report_;
  std::function<void()> done_;
  std::string address_;
  std::string target_;
  std::string key_;
  std::shared_ptr<exchange> call_;
  std::shared_ptr<body_source> body_;
  std::string failure_;  // Of an error response whose body is being read.
  std::uint64_t received_bytes_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TOOLS_LOAD_LOAD_CALL_H_
