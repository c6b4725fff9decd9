#include "load_call.h"

#include <string_view>
#include <utility>

#include "backend/buffered_body.h"
#include "backend_stub/pattern.h"

namespace pomelohall {
namespace {

constexpr int kOk = 200;
// `{"key": "..."}` holds the key between its third and fourth quotation mark.
constexpr std::string_view kKeyStart = ":\"";

std::string CallId(std::uint64_t id) { return "load-" + std::to_string(id); }

}  // namespace

load_call::load_call(connection_pool& pool, const load_settings& settings,
                     std::uint64_t id, instant due, load_report& report,
                     std::function<void()> done)
    : pool_(pool),
      settings_(settings),
      id_(id),
      due_(due),
      report_(report),
      done_(std::move(done)) {
  const auto id_text = std::to_string(id_);
  target_ = settings_.path;
  if (target_.empty() || target_.back() != '/') target_ += '/';
  if (settings_.download_bytes > 0) {
    target_ += "bytes?n=" + std::to_string(settings_.download_bytes) +
               "&seed=" + id_text;
  } else {
    target_ += "echo?id=" + id_text;
  }
}

void load_call::Start(const std::string& address) {
  address_ = address;
  if (settings_.keys) {
    SendKeyRequest();
  } else {
    SendRequest();
  }
}

void load_call::SendKeyRequest() {
  outgoing_request request;
  request.head.method = "POST";
  request.head.target = "/v1/keys";
  request.head.fields = {{"Host", address_}};
  request.head.framing = body_framing::kNone;
  call_ = pool_.Start(address_, std::move(request),
                      {.on_sent = {},
                       .on_response = [self = shared_from_this()](
                                          result<incoming_response> answer) {
                         self->OnKey(std::move(answer));
                       }});
}

void load_call::OnKey(result<incoming_response> answer) {
  if (!answer || !answer->body) {
    Finish("no_key");
    return;
  }
  body_ = answer->body;
  body_->Read([self = shared_from_this()](const result<body_part>& part) {
    const auto start =
        part ? part->bytes.find(kKeyStart) : std::string_view::npos;
    if (start == std::string_view::npos || !part->last) {
      self->Finish("no_key");
      return;
    }
    const auto key = part->bytes.substr(start + kKeyStart.size());
    self->key_ = std::string(key.substr(0, key.find('"')));
    self->SendRequest();
  });
}

outgoing_request load_call::BuildRequest() const {
  outgoing_request request;
  auto& head = request.head;
  head.target = target_;
  head.fields = {{"Host", address_}, {std::string(kCallIdField), CallId(id_)}};
  for (const auto& line : settings_.headers) {
    const auto colon = line.find(": ");
    if (colon == std::string::npos) continue;
    head.fields.push_back({line.substr(0, colon), line.substr(colon + 2)});
  }
  if (settings_.deadline_ms > 0) {
    SetField(head.fields, kDeadlineField,
             std::to_string(settings_.deadline_ms));
  }
  if (!key_.empty()) SetField(head.fields, kIdempotencyKeyField, key_);
  const bool post = settings_.keys || settings_.body_bytes > 0;
  head.method = post ? "POST" : "GET";
  if (settings_.body_bytes == 0) return request;
  std::string body(settings_.body_bytes, '\0');
  FillPattern(id_, 0, body);
  head.framing = body_framing::kLength;
  head.length = body.size();
  request.body = std::make_shared<buffered_body>(
      std::make_shared<const std::string>(std::move(body)));
  return request;
}

void load_call::SendRequest() {
  call_ = pool_.Start(address_, BuildRequest(),
                      {.on_sent = {},
                       .on_response = [self = shared_from_this()](
                                          result<incoming_response> answer) {
                         self->OnAnswer(std::move(answer));
                       }});
}

void load_call::OnAnswer(result<incoming_response> answer) {
  if (!answer) {
    const bool crossed = answer.error().kind == error_kind::kAnswerMismatch;
    Finish(crossed ? kWrongCallId
                   : std::string(GetErrorInfo(answer.error().kind).name));
    return;
  }
  const auto* error = FindField(answer->head.fields, kErrorField);
  if (error != nullptr) {
    failure_ = *error;
  } else if (answer->head.status != kOk) {
    failure_ = "status_" + std::to_string(answer->head.status);
  }
  body_ = answer->body;
  if (body_) {
    ReadPart();
  } else {
    Finish(failure_);
  }
}

void load_call::ReadPart() {
  body_->Read([self = shared_from_this()](const result<body_part>& part) {
    self->OnPart(part);
  });
}

void load_call::OnPart(const result<body_part>& part) {
  if (!part) {
    Finish("cut_short");
    return;
  }
  if (failure_.empty() && !Matches(part->bytes)) {
    call_->Cancel();
    Finish(kWrongBody);
    return;
  }
  received_bytes_ += part->bytes.size();
  if (!part->last) {
    ReadPart();
  } else if (failure_.empty() && received_bytes_ != ExpectedBytes()) {
    Finish(kWrongBody);
  } else {
    Finish(failure_);
  }
}

std::uint64_t load_call::ExpectedBytes() const {
  if (settings_.download_bytes > 0) return settings_.download_bytes;
  if (settings_.body_bytes > 0) return settings_.body_bytes;
  return target_.size() + 1;  // The target and a line feed.
}

bool load_call::Matches(std::string_view bytes) const {
  if (settings_.download_bytes > 0 || settings_.body_bytes > 0) {
    return MatchesPattern(id_, received_bytes_, bytes);
  }
  const auto text = target_ + "\n";
  const std::string_view expected = text;
  return received_bytes_ <= expected.size() &&
         expected.substr(received_bytes_, bytes.size()) == bytes;
}

void load_call::Finish(const std::string& failure) {
  if (failure.empty()) {
    report_.AddOk(MonotonicNow() - due_, received_bytes_);
  } else {
    report_.AddError(failure);
  }
  body_ = nullptr;
  call_ = nullptr;
  std::exchange(done_, nullptr)();
}

}  // namespace pomelohall
