#ifndef POMELOHALL_BACKEND_SRC_CLIENT_EXCHANGE_H_
#define POMELOHALL_BACKEND_SRC_CLIENT_EXCHANGE_H_

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "backend/connection_pool.h"
#include "backend/exchange.h"
#include "client_connection.h"
#include "http1/response_parser.h"

namespace pomelohall {

// One call on a pooled connection: writes the request, reads the response, and
// is the source of the response body.
class client_exchange final
    : public exchange,
      public body_source,
      public std::enable_shared_from_this<client_exchange> {
 public:
  // Returns the connection to the pool, which closes it unless `reusable`.
  using release_callback =
      std::function<void(client_connection_ptr, bool reusable)>;

  client_exchange(outgoing_request request, exchange_events events,
                  const pool_options& options, release_callback release);

  // Sends the request on an open connection.
  void Run(client_connection_ptr connection);
  // Fails a call for which no connection could be opened.
  void FailUnsent(error failure);
  // Fails the call if it made no progress for the progress timeout.
  void CheckProgress(instant now);
  // Returns whether the call has ended and no event will follow.
  bool Done() const { return done_; }

  // exchange
  void Cancel() override;
  // body_source: the response body.
  void Read(callback done) override;

 private:
  void BuildHead();
  void ReadRequestPart();
  void OnRequestPart(result<body_part> part);
  void Write(body_part part, bool more);
  void OnWritten(boost::system::error_code failure, std::size_t bytes,
                 bool more);
  void ReadHeader();
  void ParseHeader();
  void OnHeader();
  result<response_head> CopyHead() const;
  // Which request a response belongs to.
  enum class response_owner {
    kThisCall,
    kOtherCall,
    kUnknown,  // It may be a repeated response to an earlier request.
  };
  response_owner FindOwner() const;
  bool IsRefusal() const;
  bool IsJoined() const;
  void SkipResponse();
  void SkipBody();
  bool IsReusable() const;
  void DeliverResponse(response_head head);
  // Reads from the connection and calls `next`.
  using step = void (client_exchange::*)();
  void ReadMore(step next);
  void OnEnd(step next);
  // Parses body bytes into the part until it is full.
  void ParsePart();
  void PreparePart();
  void DeliverPart(result<body_part> part);
  void Fail(error failure);
  void OnConnectionLost(const boost::system::error_code& failure);
  void OnBrokenResponse(message_fault fault);
  void Finish(bool reusable);
  run_state CurrentRunState() const;

  outgoing_request request_;
  exchange_events events_;
  const pool_options options_;
  release_callback release_;
  client_connection_ptr connection_;
  std::string echo_value_;
  std::string head_text_;     // Head of the request until it is being written.
  std::string write_prefix_;  // Bytes before the part that is being written.
  std::optional<response_parser> parser_;
  std::size_t written_bytes_ = 0;
  bool writing_ = false;
  boost::system::error_code write_failure_;  // No write follows it.
  // What to do at the end of the connection, once the write that may have taken
  // its error has completed.
  step step_at_end_ = nullptr;
  std::unique_ptr<char[]> part_;
  std::size_t part_capacity_ = 0;
  std::size_t part_size_ = 0;
  callback pending_read_;
  instant last_progress_;
  // Whether no bytes of an earlier response can arrive on the connection: it
  // has carried no other request, and sent nothing before this one.
  bool connection_is_fresh_ = false;
  bool sending_started_ = false;
  bool request_written_ = false;
  bool response_started_ = false;
  bool refused_ = false;  // The response is a refusal.
  std::size_t skipped_responses_ = 0;
  bool done_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_SRC_CLIENT_EXCHANGE_H_
