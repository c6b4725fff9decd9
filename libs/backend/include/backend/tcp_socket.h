#ifndef POMELOHALL_BACKEND_TCP_SOCKET_H_
#define POMELOHALL_BACKEND_TCP_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

#include "backend/http_message.h"

namespace pomelohall {

/// Maximum size of a body part, in bytes.
inline constexpr std::size_t kBodyPartBytes = 64UL * 1024;

/// Parses "ip:port"; nothing if it is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view address);

/// Returns whether the peer closed an idle connection or sent unsolicited
/// bytes.
bool IsStale(boost::asio::ip::tcp::socket& socket);

/// Returns whether the peer has ended its side of a connection that has not
/// been lost since.
bool IsEndedByPeer(boost::asio::ip::tcp::socket& socket);

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_TCP_SOCKET_H_
