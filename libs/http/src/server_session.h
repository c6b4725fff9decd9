#ifndef POMELOHALL_HTTP_SERVER_SESSION_H_
#define POMELOHALL_HTTP_SERVER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "http/http_message.h"
#include "http/http_responder.h"
#include "http1/request_parser.h"

namespace pomelohall {

class server_core;

/// One connection of the server. Handles one request at a time. All member
/// functions run on the I/O thread.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  server_session(boost::asio::ip::tcp::socket socket,
                 std::shared_ptr<server_core> core);

  void Start() { ReadRequest(); }
  /// Closes the connection if it is idle, otherwise once the response to the
  /// request in flight has been sent.
  void Stop();
  void Close();

  void SendResponse(http_response response);
  void BeginStream(const http_response& head);
  void WriteStream(const std::string& chunk);
  void FinishStream();
  void OnStreamClosed(std::function<void()> closed);

  boost::asio::any_io_executor Executor() { return tcp_stream_.get_executor(); }

 private:
  enum class session_state {
    kReadingRequest,
    kHandlingRequest,
    kWritingResponse,
    kStreamingResponse,
    kClosed
  };
  void ReadRequest();
  void ReadInput();
  void OnRead(const boost::system::error_code& code, std::size_t bytes);
  void ParseInput();
  std::optional<error> ParseBody();
  void HandleRequest();
  void RejectRequest(const error& failure);
  bool IsIdle() const;
  void WriteResponse(http_response response);
  void OnResponseWritten(const boost::system::error_code& code);
  void FlushStream();
  void OnStreamWritten(const boost::system::error_code& code);
  void CloseGracefully();
  void DiscardInput();

  boost::beast::tcp_stream tcp_stream_;
  boost::beast::flat_buffer buffer_;
  boost::asio::steady_timer linger_timer_;
  std::shared_ptr<server_core> core_;
  std::optional<request_parser> parser_;
  std::string request_body_;
  std::string response_head_;  // Of a stream as well.
  std::string response_body_;
  std::string pending_chunks_;    // chunks not passed to the socket
  std::string chunks_in_flight_;  // chunks of the write in flight
  std::string chunk_size_line_;   // of the write in flight
  std::function<void()> on_stream_closed_;
  bool stream_write_pending_ = false;
  bool stream_finished_ = false;
  bool keep_alive_ = false;
  bool is_head_request_ = false;
  session_state state_ = session_state::kReadingRequest;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_SERVER_SESSION_H_
