#ifndef POMELOHALL_HTTP_SERVER_CORE_H_
#define POMELOHALL_HTTP_SERVER_CORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/error.h"
#include "http/http_responder.h"
#include "http/http_server.h"

namespace pomelohall {

class server_session;

/// Accepts connections and owns their sessions until they close.
class server_core : public std::enable_shared_from_this<server_core> {
 public:
  server_core(boost::asio::io_context& io, http_server_options options,
              http_handler handler);

  result<void> Listen();
  std::string Address() const;

  /// See http_server::Stop().
  void Stop(std::function<void()> stopped);
  /// Closes the listener and all sessions immediately.
  void Abort();

  const http_server_options& Options() const { return options_; }
  const http_handler& Handler() const { return handler_; }
  bool IsStopping() const { return stopping_; }

  /// Called by a session when it has closed.
  void Remove(const std::shared_ptr<server_session>& session);

 private:
  void Accept();
  void OnAccept(const boost::system::error_code& code,
                boost::asio::ip::tcp::socket socket);
  void RetryAccept();
  void StopAccepting();
  void NotifyIfStopped();

  http_server_options options_;
  http_handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::set<std::shared_ptr<server_session>> sessions_;
  std::function<void()> on_stopped_;
  bool stopping_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP_SERVER_CORE_H_
