#include "websocket/peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace pomelohall {
namespace {

// TCP_USER_TIMEOUT: the kernel closes the connection if sent data stays
// unacknowledged for this long. Needed because a peer whose VM disappears sends
// no TCP reset.
constexpr unsigned int kTcpUserTimeoutMs = 10'000;

constexpr std::size_t kMaskingKeyBytes = 4;

// RFC 6455, section 5.2: the length takes 1, 3 or 9 bytes after the opcode.
std::size_t HeaderSize(std::size_t payload) {
  if (payload < 126) return 2;
  return payload < 65'536 ? 4 : 10;
}

}  // namespace

peer_link::peer_link(websocket_connection::ptr connection, bool dialled,
                     std::string peer_address)
    : address(std::move(peer_address)),
      connection_(std::move(connection)),
      dialled_(dialled) {}

bool peer_link::Send(const std::string& frame, std::size_t max_queue_bytes) {
  if (state != link_state::kOpen) return false;
  if (connection_->get_buffered_amount() + frame.size() > max_queue_bytes) {
    return false;
  }
  if (connection_->send(frame, websocketpp::frame::opcode::binary)) {
    return false;
  }
  unwritten_.push_back(static_cast<std::uint32_t>(frame.size()));
  unwritten_bytes_ += frame.size();
  last_traffic = clock::now();
  return true;
}

link_traffic peer_link::TakeWritten() {
  link_traffic written;
  const std::size_t buffered = connection_->get_buffered_amount();
  while (!unwritten_.empty()) {
    const std::size_t payload = unwritten_.front();
    if (unwritten_bytes_ - payload < buffered) break;
    unwritten_.pop_front();
    unwritten_bytes_ -= payload;
    ++written.frames;
    written.bytes += SentSize(payload);
  }
  return written;
}

std::uint64_t peer_link::QueuedFrames() { return unwritten_.size(); }

void peer_link::Close(websocketpp::close::status::value code,
                      const std::string& reason) {
  if (state == link_state::kClosing) return;
  state = link_state::kClosing;
  state_since = clock::now();
  websocketpp::lib::error_code error;
  connection_->close(code, reason, error);
  if (error) Abort();
}

void peer_link::Abort() {
  boost::system::error_code ignored;
  connection_->get_raw_socket().close(ignored);
}

std::uint64_t peer_link::ReceivedSize(std::size_t payload) const {
  // Frames sent by the dialling side are masked (RFC 6455, section 5.1).
  return payload + HeaderSize(payload) + (dialled_ ? 0 : kMaskingKeyBytes);
}

std::uint64_t peer_link::SentSize(std::size_t payload) const {
  return payload + HeaderSize(payload) + (dialled_ ? kMaskingKeyBytes : 0);
}

bool peer_link::ClosedCleanly() const {
  namespace status = websocketpp::close::status;
  const auto is_planned = [](status::value code) {
    return code == status::normal || code == status::going_away;
  };
  return is_planned(connection_->get_local_close_code()) &&
         is_planned(connection_->get_remote_close_code());
}

bool peer_link::PeerViolatedProtocol() const {
  namespace status = websocketpp::close::status;
  const auto code = connection_->get_local_close_code();
  return code == status::message_too_big || code == status::protocol_error ||
         code == status::invalid_payload;
}

boost::asio::ip::address peer_link::LocalIp() const {
  boost::system::error_code ignored;
  return connection_->get_raw_socket().local_endpoint(ignored).address();
}

boost::asio::ip::address peer_link::RemoteIp() const {
  boost::system::error_code ignored;
  return connection_->get_raw_socket().remote_endpoint(ignored).address();
}

void peer_link::ConfigureSocket() {
  auto& socket = connection_->get_raw_socket();
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  // Asio has no socket option class for TCP_USER_TIMEOUT.
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
}

}  // namespace pomelohall
