#ifndef POMELOHALL_HTTP_CLIENT_CALL_H_
#define POMELOHALL_HTTP_CLIENT_CALL_H_

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "client_core.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "http1/response_parser.h"

namespace pomelohall {

/// One request of the client, from connecting to the completion callback.
class client_call : public std::enable_shared_from_this<client_call> {
 public:
  client_call(std::shared_ptr<client_core> core, std::string address,
              http_request request, instant deadline);

  /// @param on_body Receives the body in chunks; if empty, `done` receives the
  ///     complete body.
  void Start(http_client::body_callback on_body, http_client::callback done);
  void Cancel();

 private:
  void Connect();
  void OnConnected(const boost::system::error_code& code);
  void Write();
  void OnWritten(const boost::system::error_code& code);
  void ReadResponse();
  void OnRead(const boost::system::error_code& code, std::size_t bytes);
  void ParseHead();
  void OnHead();
  void ParseBody();
  // Returns false once the call has ended, or Cancel() is about to end it.
  bool IsActive() const { return done_ && !core_->IsClosed(); }
  // Returns false if the rest of the body is not wanted.
  bool DeliverContent(std::string_view content);
  std::string ReceivedBytes() const;
  void Succeed();
  void OnError(const boost::system::error_code& code);
  void OnBrokenResponse(message_fault fault);
  bool CanRetry(const boost::system::error_code& code) const;
  error ToError(const boost::system::error_code& code) const;
  void Finish(result<http_response> response);

  std::shared_ptr<client_core> core_;
  std::string address_;
  http_request request_;
  std::string head_text_;  // Written again if the request is repeated.
  instant deadline_;
  http_client::body_callback on_body_;
  http_client::callback done_;
  client_connection_ptr connection_;
  std::optional<response_parser> parser_;
  std::string body_;
  bool connection_reused_ = false;
  bool write_started_ = false;
  boost::system::error_code write_failure_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_CLIENT_CALL_H_
