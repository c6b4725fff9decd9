#ifndef POMELOHALL_CALLER_SRC_CALL_SESSION_H_
#define POMELOHALL_CALLER_SRC_CALL_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "caller/call_server.h"
#include "caller/incoming_request.h"

namespace pomelohall {

class server_request;

// One connection of an call_server. Reads requests and gives them to the
// handler; writes their answers in the order of the requests. A caller may send
// further GET and HEAD requests before it has its answer: they are handled at
// once, while other requests wait until all answers before them are written. A
// caller sends a request again if the connection closes before its answer, so
// only requests that may be repeated run ahead.
class call_session final : public std::enable_shared_from_this<call_session> {
 public:
  call_session(boost::asio::ip::tcp::socket socket,
               const call_server_options& options, call_handler& handler);

  void Start();
  // The next answer ends the connection.
  void CloseAfterAnswer() { draining_ = true; }
  // Answers from now on end the connection; an idle connection is closed.
  void Drain();
  void Close();
  void Sweep(instant now);
  bool Closed() const { return closed_; }

  // Called by the requests in progress.
  void ReadBody(body_source::callback done);
  void WriteAnswer(const server_request* request, incoming_answer answer,
                   std::function<void(answer_written)> done);
  void SetDisconnectHandler(const server_request* request,
                            std::function<void()> handler);

 private:
  using parser_type =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;
  using message_type =
      boost::beast::http::response<boost::beast::http::buffer_body>;
  using serializer_type =
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>;
  using error_code = boost::system::error_code;

  // A request in progress, or the refusal of one that cannot be read.
  struct pending_answer {
    std::shared_ptr<server_request> request;  // Null for a refusal.
    unsigned version = 11;
    bool keep_alive = false;
    bool head_only = false;
    bool answered = false;
    std::function<void()> on_disconnect;
    incoming_answer answer;
    std::function<void(answer_written)> on_answered;
  };

  // Waiting for a request, and noticing that the other side has gone.
  void NextRequest();
  void Watch();
  void OnWatched(error_code failure);
  void ReadAhead();
  void ParseAhead();
  void ReadHeader();
  void OnHeader(error_code failure);
  void RejectHeader(const error_code& failure);
  void RefuseRequest(incoming_answer answer);
  std::optional<error> CheckHeader() const;
  request_head TakeHead() const;
  void NewParser();
  void AcceptRequest();
  void StartRequest(request_head head);
  bool MayRunAhead() const;
  void Disconnected();

  // The request's body.
  void WriteContinue();
  void ReadPart();
  error_code ParseBuffered();
  void OnPart(error_code failure);
  void DeliverPart(result<body_part> part);
  bool BodyRead() const;

  // The answer to the first request in progress.
  void WriteFirst();
  void BuildMessage(const answer_head& head);
  void ReadAnswerPart();
  void OnAnswerPart(result<body_part> part);
  void Write(body_part part, bool more);
  void WriteSome();
  void OnWritten(error_code failure);
  void FinishAnswer();
  void Linger();
  void ReadLinger();
  bool WriteMoved();

  boost::asio::ip::tcp::socket socket_;
  const call_server_options& options_;
  call_handler& handler_;
  boost::beast::flat_buffer buffer_;
  std::optional<parser_type> parser_;
  std::deque<pending_answer> pending_;  // In the order of the requests.
  bool watching_ = false;
  bool reading_header_ = false;
  // The parser holds a request that waits for the answers before it.
  bool deferred_ = false;
  bool draining_ = false;
  bool closed_ = false;
  instant last_progress_;

  std::unique_ptr<char[]> part_;
  std::size_t part_capacity_ = 0;
  body_source::callback pending_read_;
  bool continue_expected_ = false;
  bool continue_writing_ = false;

  message_type message_;
  std::optional<serializer_type> serializer_;
  std::uint64_t answer_bytes_ = 0;
  bool answering_ = false;
  bool writing_ = false;
  bool closing_ = false;  // The answer that is being written is the last one.
  int unsent_bytes_ = 0;
  std::optional<instant> linger_until_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SRC_CALL_SESSION_H_
