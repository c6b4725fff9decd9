#include "endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <cstdint>
#include <sstream>
#include <string>

namespace pomelohall {
result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address) {
  const auto fail = [address] {
    return Fail(error_kind::kInvalidRequest,
                "invalid address \"" + std::string(address) +
                    "\": expected an IP address and a port, for example "
                    "127.0.0.1:8080");
  };
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return fail();
  const std::string_view port_text = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (parsed.ec != std::errc() || port_text.empty() ||
      parsed.ptr != port_text.data() + port_text.size()) {
    return fail();
  }
  std::string_view ip = address.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  boost::system::error_code code;
  const auto parsed_ip = boost::asio::ip::make_address(std::string(ip), code);
  if (code) return fail();
  return boost::asio::ip::tcp::endpoint(parsed_ip, port);
}

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace pomelohall
