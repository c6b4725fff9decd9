#include "load_call.h"

#include <string_view>
#include <utility>

#include "backend/buffered_body.h"
#include "backend_stub/pattern.h"

namespace pomelohall {
namespace {

constexpr int kOk = 200;
// Precedes the key in the response `{"key":"..."}`. The key ends at the next
// quotation mark.
constexpr std::string_view kKeySeparator = ":\"";

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
                                          result<incoming_response> response) {
                         self->OnKeyResponse(std::move(response));
                       }});
}

void load_call::OnKeyResponse(result<incoming_response> response) {
  if (!response || !response->body) {
    Finish("no_key");
    return;
  }
  body_ = response->body;
  body_->Read([self = shared_from_this()](const result<body_part>& part) {
    const auto separator =
        part ? part->bytes.find(kKeySeparator) : std::string_view::npos;
    if (separator == std::string_view::npos || !part->last) {
      self->Finish("no_key");
      return;
    }
    const auto key = part->bytes.substr(separator + kKeySeparator.size());
    self->key_ = std::string(key.substr(0, key.find('"')));
    self->SendRequest();
  });
}

outgoing_request load_call::BuildRequest() const {
  outgoing_request request;
  auto& head = request.head;
  head.target = target_;
  head.fields = {{"Host", address_}, {std::string(kCallIdField), CallId(id_)}};
  for (const auto& header : settings_.headers) {
    const auto colon = header.find(": ");
    if (colon == std::string::npos) continue;
    head.fields.push_back({header.substr(0, colon), header.substr(colon + 2)});
  }
  if (settings_.deadline_ms > 0) {
    SetField(head.fields, kDeadlineField,
             std::to_string(settings_.deadline_ms));
  }
  if (!key_.empty()) SetField(head.fields, kIdempotencyKeyField, key_);
  const bool is_post = settings_.keys || settings_.body_bytes > 0;
  head.method = is_post ? "POST" : "GET";
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
                                          result<incoming_response> response) {
                         self->OnResponse(std::move(response));
                       }});
}

void load_call::OnResponse(result<incoming_response> response) {
  if (!response) {
    const bool wrong_call_id =
        response.error().kind == error_kind::kAnswerMismatch;
    Finish(wrong_call_id
               ? kWrongCallId
               : std::string(GetErrorInfo(response.error().kind).name));
    return;
  }
  const auto* error = FindField(response->head.fields, kErrorField);
  if (error != nullptr) {
    failure_ = *error;
  } else if (response->head.status != kOk) {
    failure_ = "status_" + std::to_string(response->head.status);
  }
  body_ = response->body;
  if (body_) {
    ReadNextPart();
  } else {
    Finish(failure_);
  }
}

void load_call::ReadNextPart() {
  body_->Read([self = shared_from_this()](const result<body_part>& part) {
    self->OnPart(part);
  });
}

void load_call::OnPart(const result<body_part>& part) {
  if (!part) {
    Finish("cut_short");
    return;
  }
  if (failure_.empty() && !MatchesExpectedBody(part->bytes)) {
    call_->Cancel();
    Finish(kWrongBody);
    return;
  }
  received_bytes_ += part->bytes.size();
  if (!part->last) {
    ReadNextPart();
  } else if (failure_.empty() && received_bytes_ != ExpectedBytes()) {
    Finish(kWrongBody);
  } else {
    Finish(failure_);
  }
}

std::uint64_t load_call::ExpectedBytes() const {
  if (settings_.download_bytes > 0) return settings_.download_bytes;
  if (settings_.body_bytes > 0) return settings_.body_bytes;
  return target_.size() + 1;  // The server echoes the target and a line feed.
}

bool load_call::MatchesExpectedBody(std::string_view bytes) const {
  if (settings_.download_bytes > 0 || settings_.body_bytes > 0) {
    return MatchesPattern(id_, received_bytes_, bytes);
  }
  const auto echo = target_ + "\n";
  const std::string_view expected = echo;
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
