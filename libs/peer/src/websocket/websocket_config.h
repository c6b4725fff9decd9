#ifndef POMELOHALL_PEER_WEBSOCKET_CONFIG_H_
#define POMELOHALL_PEER_WEBSOCKET_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>
#include <websocketpp/transport/asio/security/none.hpp>

namespace pomelohall {

/// Configuration of websocketpp for links between daemons. The client and the
/// server role share it, so that dialled and accepted connections have the same
/// type. A single thread runs all connections, so locks and strands are
/// compiled out.
struct websocket_config : public websocketpp::config::core {
  using type = websocket_config;
  using concurrency_type = websocketpp::concurrency::none;
  using elog_type = websocketpp::log::stub;
  using alog_type = websocketpp::log::stub;
  using rng_type =
      websocketpp::random::random_device::int_generator<std::uint32_t,
                                                        concurrency_type>;
  static constexpr bool enable_multithreading = false;  // NOLINT

  struct transport_config : public core::transport_config {
    using concurrency_type = type::concurrency_type;
    using elog_type = type::elog_type;
    using alog_type = type::alog_type;
    using request_type = type::request_type;
    using response_type = type::response_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static constexpr bool enable_multithreading = false;  // NOLINT
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;

  // Most control frames are smaller than 200 bytes; with the default of 16 KiB
  // this buffer would take up most of the memory of a link.
  static constexpr std::size_t connection_read_buffer_size = 4096;  // NOLINT
};

using websocket_server = websocketpp::server<websocket_config>;
using websocket_client = websocketpp::client<websocket_config>;
using websocket_connection = websocketpp::connection<websocket_config>;

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_WEBSOCKET_CONFIG_H_
