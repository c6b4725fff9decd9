#include "backend_stub/announcer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "backend/buffered_body.h"
#include "backend/connection_pool.h"

namespace pomelohall {
namespace {

// A third of the daemon's lease duration, so that the lease survives the loss
// of one renewal.
constexpr auto kRenewalInterval = std::chrono::seconds(1);

// Reads and discards the rest of a body, then calls `done`.
void ReadToEnd(std::shared_ptr<body_source> body, std::function<void()> done) {
  auto* const source = body.get();
  source->Read([body = std::move(body),
                done = std::move(done)](const result<body_part>& part) {
    if (part && !part->last) {
      ReadToEnd(body, done);
    } else {
      done();
    }
  });
}

}  // namespace

class announcer::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context& io, announcement initial)
      : announcement_(std::move(initial)), pool_(io, {}), timer_(io) {}

  void Renew() {
    Send("PUT", [] {});
    timer_.expires_after(kRenewalInterval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code cancelled) {
          if (!cancelled) self->Renew();
        });
  }

  void SetState(const std::string& state, std::function<void()> done) {
    announcement_.state = state;
    Send("PUT", std::move(done));
  }

  void Withdraw(std::function<void()> done) {
    timer_.cancel();
    Send("DELETE", std::move(done));
  }

  void Stop() { timer_.cancel(); }

 private:
  void Send(const std::string& method, std::function<void()> done);
  std::string BuildBody() const;

  announcement announcement_;
  connection_pool pool_;
  boost::asio::steady_timer timer_;
};

std::string announcer::impl::BuildBody() const {
  const nlohmann::json body{{"service", announcement_.service},
                            {"address", announcement_.address},
                            {"slots", announcement_.slots},
                            {"connections", announcement_.connections},
                            {"incarnation", announcement_.incarnation},
                            {"state", announcement_.state}};
  return body.dump();
}

void announcer::impl::Send(const std::string& method,
                           std::function<void()> done) {
  outgoing_request request;
  request.head.method = method;
  request.head.target = "/v1/backend";
  request.head.fields = {{"Host", announcement_.daemon}};
  if (method == "PUT") {
    const auto body = std::make_shared<const std::string>(BuildBody());
    request.head.fields.push_back({"Content-Type", "application/json"});
    request.head.framing = body_framing::kLength;
    request.head.length = body->size();
    request.body = std::make_shared<buffered_body>(body);
  }
  pool_.Start(
      announcement_.daemon, std::move(request),
      {.on_sent = {},
       .on_response = [self = shared_from_this(), done = std::move(done)](
                          const result<incoming_response>& response) {
         if (response && response->body) {
           ReadToEnd(response->body, done);
         } else if (done) {
           done();
         }
       }});
}

announcer::announcer(boost::asio::io_context& io, announcement initial)
    : impl_(std::make_shared<impl>(io, std::move(initial))) {}

announcer::~announcer() { impl_->Stop(); }

void announcer::Start() { impl_->Renew(); }

void announcer::SetState(const std::string& state, std::function<void()> done) {
  impl_->SetState(
      state, done ? std::move(done) : [] {});
}

void announcer::Withdraw(std::function<void()> done) {
  impl_->Withdraw(std::move(done));
}

}  // namespace pomelohall
