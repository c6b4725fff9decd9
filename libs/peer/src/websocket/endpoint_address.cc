#include "websocket/endpoint_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

namespace pomelohall {
namespace {

std::optional<std::uint16_t> ParsePort(const std::string& text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  if (text.empty() || error != std::errc() || rest != end) return std::nullopt;
  return port;
}

std::string WithoutBrackets(const std::string& host) {
  if (host.size() < 2 || host.front() != '[' || host.back() != ']') return host;
  return host.substr(1, host.size() - 2);
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const auto port = ParsePort(address.substr(colon + 1));
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(
      WithoutBrackets(address.substr(0, colon)), error);
  if (!port || error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, *port);
}

std::string FormatPeerEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  if (endpoint.address().is_v6()) return "[" + ip + "]:" + port;
  return ip + ":" + port;
}

}  // namespace pomelohall
