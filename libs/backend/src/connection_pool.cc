#include "backend/connection_pool.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "backend/tcp_socket.h"
#include "client_connection.h"
#include "client_exchange.h"

namespace pomelohall {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// The listening socket of a crashing process may still accept connections for a
// moment. A connection that stays open this long was accepted by a live
// process.
constexpr auto kProbeHoldTime = std::chrono::milliseconds(5);

void SetOption(asio::ip::tcp::socket& socket, int level, int name, int value) {
  // Errors are ignored: without the option, a dead peer is only detected later.
  static_cast<void>(
      ::setsockopt(socket.native_handle(), level, name, &value, sizeof value));
}

// Without these options, a connection to a VM that lost power stays open for
// minutes.
void EnableDeadPeerDetection(asio::ip::tcp::socket& socket, duration timeout) {
  if (timeout.count() <= 0) return;
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(millis.count()));
  // One second is the minimum of TCP_KEEPIDLE and TCP_KEEPINTVL.
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

void CloseSocket(asio::ip::tcp::socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

// Checks whether a connection opens and stays open.
class connect_probe : public std::enable_shared_from_this<connect_probe> {
 public:
  connect_probe(asio::io_context& io, std::function<void(probe_result)> done)
      : socket_(io), timer_(io), done_(std::move(done)) {}

  void Start(const asio::ip::tcp::endpoint& endpoint, duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code failure) {
      if (!failure) self->Finish(probe_result::kUnclear);
    });
    socket_.async_connect(endpoint,
                          [self = shared_from_this()](error_code failure) {
                            self->OnConnected(failure);
                          });
  }

 private:
  void OnConnected(error_code failure) {
    if (failure) {
      Finish(failure == asio::error::connection_refused
                 ? probe_result::kRefused
                 : probe_result::kUnclear);
      return;
    }
    timer_.expires_after(kProbeHoldTime);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled) self->Finish(probe_result::kAccepted);
    });
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](error_code cancelled) {
                         if (!cancelled) self->Finish(probe_result::kUnclear);
                       });
  }

  void Finish(probe_result result) {
    if (const auto done = std::exchange(done_, nullptr)) {
      timer_.cancel();
      CloseSocket(socket_);
      done(result);
    }
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::function<void(probe_result)> done_;
};

}  // namespace

class connection_pool::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io, pool_options options)
      : io_(io), options_(std::move(options)) {}

  std::shared_ptr<exchange> Start(const std::string& address,
                                  outgoing_request request,
                                  exchange_events events);
  void Probe(const std::string& address,
             std::function<void(probe_result)> done);
  void Sweep(instant now);
  void CloseIdle();
  std::size_t OpenConnections(const std::string& address) const;

 private:
  using exchange_ptr = std::shared_ptr<client_exchange>;
  struct host_connections {
    std::vector<client_connection_ptr> idle;  // Most recently used last.
    std::deque<exchange_ptr> waiting;
    std::size_t open = 0;
  };
  bool RunOnIdleConnection(host_connections& host, const exchange_ptr& call);
  bool IsExpired(client_connection& connection, instant now) const;
  void Connect(const std::string& address, const exchange_ptr& call);
  void OnConnected(const client_connection_ptr& connection,
                   const exchange_ptr& call, const error_code& failure);
  void Run(const exchange_ptr& call, client_connection_ptr connection);
  void Release(client_connection_ptr connection, bool reusable);
  void Close(const client_connection_ptr& connection);
  void Queue(host_connections& host, const std::string& address,
             const exchange_ptr& call);
  void OnWaitedTooLong(const std::string& address, const exchange_ptr& call);
  void StartWaitingCalls(const std::string& address);
  void SweepIdle(host_connections& host, instant now);

  asio::io_context& io_;
  const pool_options options_;
  std::map<std::string, host_connections> hosts_;
  std::unordered_map<client_exchange*, std::weak_ptr<client_exchange>> running_;
};

std::shared_ptr<exchange> connection_pool::impl::Start(
    const std::string& address, outgoing_request request,
    exchange_events events) {
  auto release = [pool = weak_from_this()](client_connection_ptr connection,
                                           bool reusable) {
    if (!connection) return;
    if (const auto self = pool.lock()) {
      self->Release(std::move(connection), reusable);
    } else {
      CloseSocket(connection->socket);
    }
  };
  auto call = std::make_shared<client_exchange>(
      std::move(request), std::move(events), options_, std::move(release));
  auto& host = hosts_[address];
  if (RunOnIdleConnection(host, call)) return call;
  if (host.open < options_.max_connections) {
    Connect(address, call);
  } else {
    Queue(host, address, call);
  }
  return call;
}

void connection_pool::impl::Queue(host_connections& host,
                                  const std::string& address,
                                  const exchange_ptr& call) {
  host.waiting.push_back(call);
  if (options_.max_wait == duration::max()) return;
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(options_.max_wait);
  timer->async_wait(
      [pool = weak_from_this(), address, call, timer](error_code cancelled) {
        const auto self = pool.lock();
        if (self && !cancelled) self->OnWaitedTooLong(address, call);
      });
}

void connection_pool::impl::OnWaitedTooLong(const std::string& address,
                                            const exchange_ptr& call) {
  const auto host = hosts_.find(address);
  if (host == hosts_.end()) return;
  // Without effect if the call has got a connection meanwhile.
  if (std::erase(host->second.waiting, call) == 0 || call->Done()) return;
  call->FailUnsent({error_kind::kOverloaded,
                    "all connections to " + address + " are in use",
                    run_state::kNotRun});
}

bool connection_pool::impl::RunOnIdleConnection(host_connections& host,
                                                const exchange_ptr& call) {
  while (!host.idle.empty()) {
    auto connection = std::move(host.idle.back());
    host.idle.pop_back();
    if (IsExpired(*connection, MonotonicNow())) {
      CloseSocket(connection->socket);
      --host.open;
      continue;
    }
    // Posted, because Start() must return the exchange before its first event.
    asio::post(io_, [self = shared_from_this(), call, connection] {
      self->Run(call, connection);
    });
    return true;
  }
  return false;
}

bool connection_pool::impl::IsExpired(client_connection& connection,
                                      instant now) const {
  auto limit = options_.idle_timeout;
  if (connection.peer_idle_timeout.count() > 0) {
    limit = std::min(limit, connection.peer_idle_timeout);
  }
  return now - connection.idle_since >= limit || IsStale(connection.socket);
}

void connection_pool::impl::Run(const exchange_ptr& call,
                                client_connection_ptr connection) {
  if (call->Done()) {
    Release(std::move(connection), true);
    return;
  }
  running_[call.get()] = call;
  call->Run(std::move(connection));
}

void connection_pool::impl::Connect(const std::string& address,
                                    const exchange_ptr& call) {
  auto connection = std::make_shared<client_connection>(io_, address);
  ++hosts_[address].open;
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    asio::post(io_, [self = shared_from_this(), connection, call] {
      self->OnConnected(connection, call, asio::error::invalid_argument);
    });
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(options_.connect_timeout);
  timer->async_wait([connection](error_code cancelled) {
    // The connect handler reports the failure.
    if (!cancelled) CloseSocket(connection->socket);
  });
  connection->socket.async_connect(
      *endpoint,
      [self = shared_from_this(), connection, call, timer](error_code failure) {
        timer->cancel();
        // Only the timer closes a connecting socket.
        if (!connection->socket.is_open()) failure = asio::error::timed_out;
        self->OnConnected(connection, call, failure);
      });
}

void connection_pool::impl::OnConnected(const client_connection_ptr& connection,
                                        const exchange_ptr& call,
                                        const error_code& failure) {
  if (failure) {
    Close(connection);
    call->FailUnsent(
        {options_.connect_error,
         "cannot connect to " + connection->address + ": " + failure.message(),
         run_state::kNotRun});
    StartWaitingCalls(connection->address);
    return;
  }
  error_code ignored;
  connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(connection->socket, options_.dead_peer_timeout);
  Run(call, connection);
}

void connection_pool::impl::Release(client_connection_ptr connection,
                                    bool reusable) {
  const auto address = connection->address;
  // A connection with bytes beyond the response cannot be reused.
  if (reusable && connection->buffer.size() == 0) {
    connection->idle_since = MonotonicNow();
    // A daemon keeps connections to all other daemons, and most are idle, so
    // the memory of their buffers is released.
    connection->buffer.shrink_to_fit();
    hosts_[address].idle.push_back(std::move(connection));
  } else {
    Close(connection);
  }
  StartWaitingCalls(address);
}

void connection_pool::impl::Close(const client_connection_ptr& connection) {
  CloseSocket(connection->socket);
  --hosts_[connection->address].open;
}

void connection_pool::impl::StartWaitingCalls(const std::string& address) {
  auto& host = hosts_[address];
  while (!host.waiting.empty()) {
    const auto call = host.waiting.front();
    if (call->Done()) {
      host.waiting.pop_front();
      continue;
    }
    if (host.idle.empty() && host.open >= options_.max_connections) return;
    host.waiting.pop_front();
    if (!RunOnIdleConnection(host, call)) Connect(address, call);
  }
}

void connection_pool::impl::Sweep(instant now) {
  for (auto& [address, host] : hosts_) SweepIdle(host, now);
  std::erase_if(hosts_, [](const auto& entry) {
    return entry.second.open == 0 && entry.second.waiting.empty();
  });
  std::vector<exchange_ptr> calls;
  for (const auto& [key, call] : running_) {
    if (auto alive = call.lock()) calls.push_back(std::move(alive));
  }
  std::erase_if(running_, [](const auto& entry) {
    const auto call = entry.second.lock();
    return !call || call->Done();
  });
  for (const auto& call : calls) call->CheckProgress(now);
}

void connection_pool::impl::SweepIdle(host_connections& host, instant now) {
  std::erase_if(host.idle, [&](const client_connection_ptr& connection) {
    if (!IsExpired(*connection, now)) return false;
    CloseSocket(connection->socket);
    --host.open;
    return true;
  });
}

void connection_pool::impl::CloseIdle() {
  for (auto& [address, host] : hosts_) {
    for (const auto& connection : host.idle) CloseSocket(connection->socket);
    host.open -= host.idle.size();
    host.idle.clear();
  }
}

void connection_pool::impl::Probe(const std::string& address,
                                  std::function<void(probe_result)> done) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    asio::post(io_, [done = std::move(done)] { done(probe_result::kUnclear); });
    return;
  }
  std::make_shared<connect_probe>(io_, std::move(done))
      ->Start(*endpoint, options_.connect_timeout);
}

std::size_t connection_pool::impl::OpenConnections(
    const std::string& address) const {
  const auto found = hosts_.find(address);
  return found == hosts_.end() ? 0 : found->second.open;
}

connection_pool::connection_pool(asio::io_context& io, pool_options options)
    : impl_(std::make_shared<impl>(io, std::move(options))) {}

connection_pool::~connection_pool() { impl_->CloseIdle(); }

std::shared_ptr<exchange> connection_pool::Start(const std::string& address,
                                                 outgoing_request request,
                                                 exchange_events events) {
  return impl_->Start(address, std::move(request), std::move(events));
}

void connection_pool::Probe(const std::string& address,
                            std::function<void(probe_result)> done) {
  impl_->Probe(address, std::move(done));
}

void connection_pool::Sweep(instant now) { impl_->Sweep(now); }

void connection_pool::CloseIdle() { impl_->CloseIdle(); }

std::size_t connection_pool::OpenConnections(const std::string& address) const {
  return impl_->OpenConnections(address);
}

}  // namespace pomelohall
