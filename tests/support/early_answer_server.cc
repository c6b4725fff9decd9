#include "early_answer_server.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <string_view>
#include <thread>
#include <utility>

namespace pomelohall {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// With less than a few segments of the loopback interface, transfers stall.
constexpr int kReceiveBufferBytes = 256 * 1024;
// If no more of an upload arrives for this long, its sender waits.
constexpr milliseconds kQuietTime{15};
constexpr milliseconds kMaxQuietWait{500};

int QueuedBytes(tcp::socket& socket, unsigned long queue) {
  int bytes = 0;
  ::ioctl(socket.native_handle(), queue, &bytes);
  return bytes;
}

// Waits until the answer has arrived and the sender of the upload waits.
void WaitUntilQuiet(tcp::socket& socket) {
  int last = -1;
  milliseconds waited{0};
  for (; waited < kMaxQuietWait; waited += kQuietTime) {
    const int unread = QueuedBytes(socket, SIOCINQ);
    if (unread == last && QueuedBytes(socket, SIOCOUTQ) == 0) return;
    last = unread;
    std::this_thread::sleep_for(kQuietTime);
  }
}

// Reads a request body up to its end, or up to the end of the connection.
void ReadUpload(tcp::socket& socket, const std::string& header,
                std::string received) {
  constexpr std::string_view kLength = "Content-Length: ";
  constexpr std::string_view kLastChunk = "0\r\n\r\n";
  const auto at = header.find(kLength);
  const bool has_length = at != std::string::npos;
  const std::size_t length =
      has_length ? std::stoul(header.substr(at + kLength.size())) : 0;
  std::array<char, 64UL * 1024> bytes{};
  error_code failure;
  while (!failure && (has_length ? received.size() < length
                                 : !received.ends_with(kLastChunk))) {
    const auto count = socket.read_some(boost::asio::buffer(bytes), failure);
    received.append(bytes.data(), count);
  }
}

}  // namespace

early_answer_server::early_answer_server(script respond)
    : respond_(std::move(respond)),
      server_(
          [this](tcp::socket& socket, const std::string& received,
                 std::size_t header_bytes) {
            Serve(socket, received, header_bytes);
          },
          kReceiveBufferBytes) {}

void early_answer_server::Serve(tcp::socket& socket,
                                const std::string& received,
                                std::size_t header_bytes) {
  error_code failure;
  const auto header = received.substr(0, header_bytes);
  const auto answer = respond_(header);
  if (answer.end == answer_end::kClose) {
    ReadUpload(socket, header, received.substr(header_bytes));
  }
  boost::asio::write(socket, boost::asio::buffer(answer.bytes), failure);
  if (answer.end != answer_end::kReset) {
    socket.shutdown(tcp::socket::shutdown_send, failure);
  }
  if (answer.end != answer_end::kClose) WaitUntilQuiet(socket);
  if (answer.end == answer_end::kReset ||
      answer.end == answer_end::kEndThenReset) {
    socket.set_option(boost::asio::socket_base::linger(true, 0), failure);
  } else {
    ReadToEnd(socket);
  }
  socket.close(failure);
  ++ended_;
}

}  // namespace pomelohall
