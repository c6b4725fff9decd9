#include "client_core.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "client_call.h"

namespace pomelohall {
namespace {

// Nothing may be readable on an idle connection: unexpected data is a protocol
// violation, and end of stream means that the peer has closed it.
bool IsOpenAndIdle(client_connection& connection) {
  char byte = 0;
  const auto received = ::recv(connection.stream.socket().native_handle(),
                               &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

client_connection_ptr client_core::NewConnection() const {
  return std::make_unique<client_connection>(io_);
}

client_connection_ptr client_core::TakeIdle(const std::string& address) {
  auto& connections = idle_[address];
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (IsOpenAndIdle(*connection)) return connection;
  }
  return nullptr;
}

void client_core::ReturnIdle(const std::string& address,
                             client_connection_ptr connection) {
  auto& connections = idle_[address];
  if (closed_ || connections.size() >= options_.max_idle_per_address) return;
  connection->stream.expires_never();
  connections.push_back(std::move(connection));
}

void client_core::Close() {
  closed_ = true;
  idle_.clear();
  const auto calls = calls_;
  for (const auto& call : calls) call->Cancel();
}

}  // namespace pomelohall
