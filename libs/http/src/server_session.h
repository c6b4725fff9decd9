#ifndef POMELOHALL_HTTP_SERVER_SESSION_H_
#define POMELOHALL_HTTP_SERVER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "beast_message.h"
#include "http/http_responder.h"

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
  using stream_head =
      boost::beast::http::response<boost::beast::http::empty_body>;
  using stream_serializer =
      boost::beast::http::response_serializer<boost::beast::http::empty_body>;
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ReadRequest();
  void OnRead(const boost::system::error_code& code);
  void HandleRequest();
  void RejectRequest(const boost::system::error_code& code);
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
  beast_response response_;
  std::optional<stream_head> stream_head_;
  std::optional<stream_serializer> stream_serializer_;
  std::string pending_chunks_;    // chunks not passed to the socket
  std::string chunks_in_flight_;  // chunks of the write in flight
  std::function<void()> on_stream_closed_;
  bool stream_write_pending_ = false;
  bool stream_finished_ = false;
  bool keep_alive_ = false;
  bool is_head_request_ = false;
  session_state state_ = session_state::kReadingRequest;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_SERVER_SESSION_H_
