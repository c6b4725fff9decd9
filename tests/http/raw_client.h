#ifndef POMELOHALL_TESTS_HTTP_RAW_CLIENT_H_
#define POMELOHALL_TESTS_HTTP_RAW_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "backend/http_message.h"

namespace pomelohall {

/// An answer as a test client sees it.
struct raw_response {
  int status = 0;  ///< 0: the connection ended before an answer.
  http_fields fields;
  std::string body;
  bool complete = false;  ///< The body ended as its framing says.

  /// Returns the value of a field, empty if it is absent.
  std::string Field(std::string_view name) const;
};

/// A blocking HTTP client that sends exactly the bytes it is given.
class raw_client {
 public:
  /// Connects to "ip:port"; the connection must succeed.
  explicit raw_client(const std::string& address);

  void Send(std::string_view bytes);
  /// Sends a request with a Host field; `fields` are whole lines with CRLF.
  void SendRequest(std::string_view method, std::string_view target,
                   std::string_view fields = {}, std::string_view body = {});
  /// Reads one answer. `to_head`: the answer of a HEAD request.
  raw_response Read(bool to_head = false);
  /// Sends a request and reads its answer.
  raw_response Call(std::string_view method, std::string_view target,
                    std::string_view fields = {}, std::string_view body = {});
  /// Reads exactly `count` bytes, or fewer at the end of the connection.
  std::string ReadBytes(std::size_t count);
  /// Returns whether the other side closed the connection; waits for it.
  bool WaitForClose();
  void Close();
  /// Limits the receive buffer, so that the sender feels a slow reader.
  void SetReceiveBuffer(int bytes);

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_HTTP_RAW_CLIENT_H_
