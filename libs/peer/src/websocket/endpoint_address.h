#ifndef POMELOHALL_PEER_ENDPOINT_ADDRESS_H_
#define POMELOHALL_PEER_ENDPOINT_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace pomelohall {

/// Parses "ip:port" or "[ipv6]:port" with a port of 0 to 65535. Host names are
/// rejected: a DNS lookup could block the transport's thread.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

/// Returns "ip:port" or "[ipv6]:port".
std::string FormatPeerEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_ENDPOINT_ADDRESS_H_
