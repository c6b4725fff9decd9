#ifndef POMELOHALL_TESTS_HTTP_RAW_CLIENT_H_
#define POMELOHALL_TESTS_HTTP_RAW_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "backend/http_message.h"

namespace pomelohall {

/// A response as received by a raw_client.
struct raw_response {
  int status = 0;  ///< 0: closed before the response header.
  http_fields fields;
  std::string body;
  /// The body ended as its framing requires, within the maximum size.
  bool complete = false;

  /// Returns the value of a field, empty if it is absent.
  std::string Field(std::string_view name) const;
};

/// A blocking HTTP client that sends the given bytes unchanged, for malformed
/// requests.
class raw_client {
 public:
  /// Connects to "ip:port"; the connection must succeed.
  explicit raw_client(const std::string& address);
  /// Connects with a limited receive buffer. Unlike with SetReceiveBuffer(),
  /// the server is never told a larger window than the buffer holds, which
  /// makes transfers stall. For reads at a given rate.
  raw_client(const std::string& address, int receive_buffer_bytes);

  void Send(std::string_view bytes);
  /// Sends a request with a Host field; `fields` are lines that end with CRLF.
  void SendRequest(std::string_view method, std::string_view target,
                   std::string_view fields = {}, std::string_view body = {});
  /// Maximum size of a body.
  static constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024;

  /// Reads one response.
  /// @param to_head Whether it responds to a HEAD request and has no body.
  raw_response Read(bool to_head = false);
  /// Sends a request and reads its response.
  raw_response Call(std::string_view method, std::string_view target,
                    std::string_view fields = {}, std::string_view body = {});
  /// Reads exactly `count` bytes, or fewer at the end of the connection.
  std::string ReadBytes(std::size_t count);
  /// Returns whether bytes have been received that were not read.
  bool HasInput();
  /// Waits until the other side closes the connection. Returns true, for use in
  /// CHECK().
  bool WaitForClose();
  void Close();
  /// Limits the receive buffer, so that a slow reader blocks the sender.
  void SetReceiveBuffer(int bytes);

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  /// A failed Send() may have taken the error that ended the connection.
  boost::system::error_code send_failure_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TESTS_HTTP_RAW_CLIENT_H_
