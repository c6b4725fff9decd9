#ifndef POMELOHALL_HTTP_ENDPOINT_H_
#define POMELOHALL_HTTP_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "base/error.h"

namespace pomelohall {

/// Parses "ip:port" or "[ipv6]:port". Fails with `kInvalidRequest`.
result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

/// Returns "ip:port", with brackets around an IPv6 address.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_ENDPOINT_H_
