#ifndef POMELOHALL_CALLER_SRC_CALL_SESSION_H_
#define POMELOHALL_CALLER_SRC_CALL_SESSION_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "caller/call_server.h"
#include "caller/incoming_request.h"
#include "caller/write_turns.h"
#include "http1/request_parser.h"
#include "memory_budget.h"

namespace pomelohall {

class server_request;

// One connection of a call_server. Passes requests to the handler and writes
// the responses in request order. Pipelined GET and HEAD requests are handled
// concurrently; other requests wait until all earlier responses are written,
// because a caller retries requests whose response is missing when the
// connection closes, and only GET and HEAD are safe to repeat.
class call_session final : public turn_writer,
                           public std::enable_shared_from_this<call_session> {
 public:
  call_session(boost::asio::ip::tcp::socket socket,
               const call_server_options& options,
               std::shared_ptr<memory_budget> head_memory,
               call_handler& handler);

  void Start();
  // Closes the connection after the next response.
  void CloseAfterResponse() { draining_ = true; }
  // Writes large responses in turns from now on; null for none.
  void TakeTurns(std::shared_ptr<write_turns> turns) {
    turns_ = std::move(turns);
  }
  // Closes the connection after the responses in progress, or immediately if it
  // is idle.
  void Drain();
  void Close();
  void Sweep(instant now);
  bool Closed() const { return closed_; }
  // Whether a response is ready or being written, or bytes of one are not
  // acknowledged yet.
  bool IsSending() const;

  // turn_writer
  bool BeginTurn() override;
  std::optional<std::uint64_t> UnacknowledgedBytes() const override;

  // Called by server_request.
  void ReadBody(body_source::callback done);
  void WriteResponse(const server_request* request, incoming_response response,
                     std::function<void(response_write_result)> done);
  std::optional<response_progress> Progress(
      const server_request* request) const;
  bool TakeBackResponse(const server_request* request);
  bool DelaysLargeResponse(const server_request* request) const;
  void SetHoldsFollowing(const server_request* request, bool holds);
  void SetDisconnectHandler(const server_request* request,
                            std::function<void()> handler);

 private:
  using error_code = boost::system::error_code;

  // A request in progress, or the rejection of a malformed one.
  struct pending_response {
    std::shared_ptr<server_request> request;  // Null for a rejection.
    int minor_version = 1;
    std::size_t head_bytes = 0;  // Memory of the request's head.
    bool keep_alive = false;
    bool head_only = false;
    bool responded = false;
    bool waits_for_turn = false;  // See write_turns.
    bool has_turn = false;
    bool holds_following = false;
    std::function<void()> on_disconnect;
    incoming_response response;
    std::function<void(response_write_result)> on_written;
  };

  // Reading requests and detecting that the peer disconnected.
  void NextRequest();
  bool WantsInput() const;
  void WaitReadable();
  void OnReadable(error_code failure);
  void ReadInput();
  void OnInputEnd(error_code failure);
  bool MayParseHead() const;
  void ParseRequests();
  void ParseHead();
  void RaiseLimits();
  std::optional<error> HeadFault();
  bool HoldHeadMemory();
  void RejectRequest(const error& failure);
  std::optional<error> CheckHead() const;
  request_head TakeHead();
  void AcceptRequest();
  void StartRequest();
  bool MayPipeline() const;
  bool IsReadingHead() const;
  void Disconnected();

  // Reading the request body.
  void WriteContinue();
  void ParseBodyPart();
  void OnBodyFault(message_fault fault);
  void DeliverPart(result<body_part> part);
  bool IsReadingBody() const;

  // Returns whether the response is written in turns with those of other
  // connections.
  static bool IsLarge(const pending_response& entry);

  // Writing the response to the oldest request in progress.
  void WriteNextResponse();
  // Returns whether it may be written now; BeginTurn() may follow otherwise.
  bool AcquireTurn(pending_response& entry);
  void BuildHead(const response_head& head);
  void ReadResponsePart();
  void OnResponsePart(result<body_part> part);
  void OnResponseCutShort(const error& failure);
  void Write(body_part part, bool more);
  void WriteSome();
  void OnWritten(error_code failure, std::size_t bytes);
  void FinishResponse();
  void Linger();
  void ReadLinger();
  // Returns how many bytes the socket holds that are not acknowledged yet.
  std::optional<int> UnsentBytes() const;
  bool HasWriteProgress();

  boost::asio::ip::tcp::socket socket_;
  const call_server_options& options_;
  call_handler& handler_;
  std::shared_ptr<write_turns> turns_;
  std::string input_;  // Received bytes that are not parsed yet.
  // Has the request whose head or body is being read.
  std::optional<request_parser> parser_;
  std::deque<pending_response> pending_;  // In request order.
  std::size_t pending_head_bytes_ = 0;    // Of all requests in `pending_`.
  memory_share head_memory_;
  bool waiting_readable_ = false;
  // The parser holds a request that waits for the responses before it.
  bool deferred_ = false;
  bool draining_ = false;
  bool closed_ = false;
  instant last_progress_;

  std::unique_ptr<char[]> part_;
  std::size_t part_capacity_ = 0;
  body_source::callback pending_read_;
  bool continue_expected_ = false;
  bool writing_continue_ = false;

  std::string head_text_;     // Head of the response until it is being written.
  bool chunked_ = false;      // The response is written in chunks.
  std::string write_prefix_;  // Bytes before the part that is being written.
  std::array<boost::asio::const_buffer, 3> unwritten_;
  bool more_parts_ = false;  // The part being written is not the last one.
  std::uint64_t response_bytes_ = 0;
  bool writing_response_ = false;
  bool writing_ = false;
  bool reading_part_ = false;  // A read of the response body is pending.
  // A part of the response body that arrived during a write.
  std::optional<result<body_part>> next_part_;
  bool close_after_write_ = false;     // The current response is the last one.
  bool ends_with_connection_ = false;  // Only the close ends its body.
  bool response_started_ = false;      // Bytes of it have been written.
  bool response_replaced_ = false;     // It is an error response instead.
  int unsent_bytes_ = 0;
  std::optional<instant> linger_until_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_CALL_SESSION_H_
