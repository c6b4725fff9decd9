#ifndef POMELOHALL_HTTP_CLIENT_CORE_H_
#define POMELOHALL_HTTP_CLIENT_CORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/http_client.h"

namespace pomelohall {

class client_call;

/// A client connection and its read buffer.
struct client_connection {
  explicit client_connection(boost::asio::io_context& io) : stream(io) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
};

using client_connection_ptr = std::unique_ptr<client_connection>;

/// Holds the idle connections and the calls in flight of a client.
class client_core : public std::enable_shared_from_this<client_core> {
 public:
  client_core(boost::asio::io_context& io, http_client_options options)
      : io_(io), options_(options) {}

  const http_client_options& Options() const { return options_; }
  boost::asio::io_context& Io() { return io_; }
  bool IsClosed() const { return closed_; }

  client_connection_ptr NewConnection() const;
  /// Returns an idle connection that is still open, or null.
  client_connection_ptr TakeIdle(const std::string& address);
  void ReturnIdle(const std::string& address, client_connection_ptr connection);

  void Add(const std::shared_ptr<client_call>& call) { calls_.insert(call); }
  void Remove(const std::shared_ptr<client_call>& call) { calls_.erase(call); }
  /// Cancels all calls and closes all connections.
  void Close();

 private:
  boost::asio::io_context& io_;
  http_client_options options_;
  std::map<std::string, std::vector<client_connection_ptr>> idle_;
  std::set<std::shared_ptr<client_call>> calls_;
  bool closed_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_CLIENT_CORE_H_
