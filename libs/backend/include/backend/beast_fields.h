#ifndef POMELOHALL_BACKEND_BEAST_FIELDS_H_
#define POMELOHALL_BACKEND_BEAST_FIELDS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "backend/http_message.h"

namespace pomelohall {

// Includes Beast, which adds seconds to the compile time of each source file:
// include it only where HTTP is parsed or written.

/// Maximum size of a message header, in bytes.
inline constexpr std::size_t kMaxHeaderBytes = 16UL * 1024;
/// Maximum size of a body part, in bytes.
inline constexpr std::size_t kBodyPartBytes = 64UL * 1024;

inline std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

inline boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

/// Copies the fields of a parsed message except Content-Length and
/// Transfer-Encoding, which delimit the body.
http_fields CopyFields(const boost::beast::http::fields& fields);

/// Adds `fields` to an outgoing message.
void AddFields(const http_fields& fields, boost::beast::http::fields& message);

/// Parses "ip:port"; nothing if it is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view address);

/// Returns whether the peer closed an idle connection or sent unsolicited
/// bytes.
bool IsStale(boost::asio::ip::tcp::socket& socket);

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_BEAST_FIELDS_H_
