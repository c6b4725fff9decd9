#include "backend_stub/stub_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "backend/http_message.h"
#include "base/http_limits.h"
#include "caller/error_response.h"
#include "generated_body.h"
#include "stub_run.h"

namespace pomelohall {
namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr auto kSweepInterval = std::chrono::seconds(1);

std::string_view LastSegment(std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  return path.substr(path.rfind('/') + 1);
}

std::uint64_t QueryNumber(std::string_view target, std::string_view name) {
  return ParseNumber(QueryValue(target, name)).value_or(0);
}

duration QueryMillis(std::string_view target, std::string_view name) {
  return std::chrono::milliseconds(QueryNumber(target, name));
}

void EchoCallId(const incoming_request& request, incoming_response& response) {
  if (const auto* id = FindField(request.Head().fields, kCallIdField)) {
    SetField(response.head.fields, kCallIdField, *id);
  }
}

}  // namespace

std::string QueryValue(std::string_view target, std::string_view name,
                       std::string_view fallback) {
  const auto query_start = target.find('?');
  auto rest = query_start == std::string_view::npos
                  ? std::string_view()
                  : target.substr(query_start + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
  return std::string(fallback);
}

struct stub_server::timers {
  explicit timers(boost::asio::io_context& io) : sweep(io) {}
  boost::asio::steady_timer sweep;
};

stub_server::stub_server(boost::asio::io_context& io, stub_options options)
    : state_(std::make_shared<stub_state>(
          stub_state{.io = io, .options = std::move(options)})),
      // Daemons add fields to a header that is as long as callers may send it.
      server_(io,
              {.address = state_->options.address,
               .max_header_bytes =
                   call_server_options().max_header_bytes + kMeshHeadAllowance},
              *this),
      timers_(std::make_unique<timers>(io)) {}

stub_server::~stub_server() = default;

result<void> stub_server::Listen() {
  auto listening = server_.Listen();
  if (listening) ScheduleSweep();
  return listening;
}

void stub_server::ScheduleSweep() {
  timers_->sweep.expires_after(kSweepInterval);
  timers_->sweep.async_wait([this, weak_state = std::weak_ptr(state_)](
                                boost::system::error_code cancelled) {
    if (cancelled || weak_state.expired()) return;
    server_.Sweep(MonotonicNow());
    ScheduleSweep();
  });
}

void stub_server::Stop(std::function<void()> done) {
  server_.Stop([this, done = std::move(done)] {
    timers_->sweep.cancel();
    done();
  });
}

std::uint64_t stub_server::Executions(const std::string& key) const {
  const auto found = state_->executions.find(key);
  return found == state_->executions.end() ? 0 : found->second;
}

void stub_server::OnRequest(std::shared_ptr<incoming_request> request) {
  const auto& head = request->Head();
  const auto action = LastSegment(head.target);
  if (HandleControlRequest(*request, action)) return;
  if (state_->options.on_crash &&
      FindField(head.fields, "X-Test-Crash") != nullptr) {
    state_->options.on_crash();
    return;
  }
  if (state_->running >= state_->options.slots) {
    Reject(*request);
    return;
  }
  if (const auto* key = FindField(head.fields, kIdempotencyKeyField)) {
    ++state_->executions[*key];
  }
  ++state_->runs;
  std::make_shared<stub_run>(state_, std::move(request), action)->Start();
}

void stub_server::Reject(incoming_request& request) {
  auto response =
      MakeTextResponse(kServiceUnavailable, "text/plain", "no free slot\n");
  SetField(response.head.fields, kOutcomeField,
           std::string(RunStateName(run_state::kNotRun)));
  EchoCallId(request, response);
  request.Respond(std::move(response), nullptr);
}

bool stub_server::HandleControlRequest(incoming_request& request,
                                       std::string_view action) {
  std::string body;
  if (action == "load") {
    const auto load = state_->options.report_zero_load ? 0 : state_->running;
    body = "{\"running\": " + std::to_string(load) +
           ", \"slots\": " + std::to_string(state_->options.slots) + "}\n";
  } else if (action == "executions") {
    const auto key = QueryValue(request.Head().target, "key");
    body = std::to_string(Executions(key)) + "\n";
  } else {
    return false;
  }
  auto response = MakeTextResponse(kOk, "application/json", std::move(body));
  EchoCallId(request, response);
  request.Respond(std::move(response), nullptr);
  return true;
}

stub_run::stub_run(std::shared_ptr<stub_state> state,
                   std::shared_ptr<incoming_request> request,
                   std::string_view action)
    : state_(std::move(state)),
      request_(std::move(request)),
      action_(action),
      timer_(state_->io) {
  ++state_->running;
}

stub_run::~stub_run() { --state_->running; }

void stub_run::Start() {
  request_->SetDisconnectHandler([run = weak_from_this()] {
    const auto self = run.lock();
    if (!self) return;
    ++self->state_->cancelled;
    self->cancelled_ = true;
    self->timer_.cancel();
  });
  if (request_->Body()) {
    ReadBody();
  } else {
    Process();
  }
}

void stub_run::ReadBody() {
  request_->Body()->Read([self = shared_from_this()](result<body_part> part) {
    if (!part) {
      ++self->state_->cancelled;
      return;
    }
    self->body_.append(part->bytes);
    if (part->last) {
      self->Process();
    } else {
      self->ReadBody();
    }
  });
}

duration stub_run::ProcessingTime() const {
  const auto service_time = std::chrono::duration_cast<duration>(
      state_->options.service_time / state_->options.speed);
  if (action_ != "sleep") return service_time;
  return service_time + QueryMillis(request_->Head().target, "ms");
}

void stub_run::Process() {
  const auto time = ProcessingTime();
  if (time == duration{0}) {
    Respond();
    return;
  }
  timer_.expires_after(time);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled && !self->cancelled_) self->Respond();
      });
}

incoming_response stub_run::BuildResponse() {
  const auto& target = request_->Head().target;
  if (action_ != "bytes") {
    auto text = request_->Head().framing == body_framing::kNone
                    ? target + "\n"
                    : std::move(body_);
    return MakeTextResponse(kOk, "application/octet-stream", std::move(text));
  }
  incoming_response response;
  response.head.fields = {{"Content-Type", "application/octet-stream"}};
  response.head.framing = body_framing::kChunked;
  response.body = std::make_shared<generated_body>(
      state_->io, QueryNumber(target, "seed"), QueryNumber(target, "n"),
      QueryMillis(target, "chunk_delay_ms"), [] {});
  return response;
}

void stub_run::Respond() {
  auto response = BuildResponse();
  EchoCallId(*request_, response);
  request_->Respond(std::move(response),
                    [self = shared_from_this()](response_write_result) {});
}

}  // namespace pomelohall
