#include "peer_config_sync.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "caller/body_prefix.h"
#include "caller/error_response.h"
#include "config_codec.h"
#include "logging/log_event.h"
#include "mesh/config_difference.h"
#include "message_body.h"

namespace pomelohall {
namespace {

// Approximate size of a route in a difference.
constexpr double kBytesPerRoute = 170;
// Differences of up to this number of routes are always sent: they occupy a
// slow link for milliseconds.
constexpr std::size_t kMaxRoutesOfShortDifference = 100;
// A digest takes about 1.3 kB.
constexpr std::size_t kMaxDigestBytes = 16UL * 1024;
// Objects in the store are at most 1 MiB.
constexpr std::size_t kMaxDifferenceBytes = 2UL * 1024 * 1024;

std::optional<config_confirmation> FindConfirmation(const http_fields& fields,
                                                    instant sent_at) {
  const auto* field = FindField(fields, kMeshConfirmedField);
  if (field == nullptr) return std::nullopt;
  return DecodeConfirmation(*field, sent_at);
}

}  // namespace

peer_config_sync::peer_config_sync(boost::asio::io_context& io,
                                   connection_pool& peers,
                                   active_config& config, config_reader& reader,
                                   peer_config_sync_options options)
    : peers_(peers),
      config_(config),
      reader_(reader),
      options_(std::move(options)),
      timer_(io) {}

void peer_config_sync::AddState(http_fields& fields) const {
  SetField(fields, kMeshVersionField, std::to_string(config_.Version()));
  const auto& confirmation = reader_.Confirmation();
  if (confirmation.revision.IsKnown()) {
    SetField(fields, kMeshConfirmedField,
             EncodeConfirmation(confirmation, MonotonicNow()));
  }
}

void peer_config_sync::OnPeerState(const http_fields& fields,
                                   const std::string& address,
                                   std::optional<instant> sent_at) {
  const auto* field = FindField(fields, kMeshVersionField);
  const auto version = field == nullptr ? 0 : ParseNumber(*field).value_or(0);
  if (version == 0 || version < config_.Version()) return;
  if (version > config_.Version()) {
    OnNewerVersion(version, address);
    return;
  }
  // Without a time, the revision still tells of a restored store.
  if (const auto confirmation =
          FindConfirmation(fields, sent_at.value_or(instant()))) {
    reader_.OnConfirmed(*confirmation);
  }
}

config_currency peer_config_sync::Currency() const {
  const auto confirmed_at = reader_.Confirmation().at;
  const auto age = MonotonicNow() - confirmed_at;
  // A read of the store does not refute a newer version at another daemon: a
  // restored store may have an older one for a moment.
  const bool newer_seen = newest_version_ > config_.Version();
  return {.age = age,
          .newest_version = newest_version_,
          .may_be_outdated = newer_seen || age > options_.max_config_delay};
}

void peer_config_sync::OnNewerVersion(std::uint64_t version,
                                      const std::string& address) {
  const auto now = MonotonicNow();
  newest_version_ = std::max(newest_version_, version);
  if (IsFetching() || now < next_fetch_ || address.empty()) return;
  EndFetch();
  next_fetch_ = now + options_.min_fetch_interval;
  log_event(log_level::kInfo, "config_outdated")
      .With("version", config_.Version())
      .With("peer_version", version)
      .With("peer", address);
  Fetch(address, version);
}

void peer_config_sync::Ask(const std::string& address) {
  if (!fetch_) Fetch(address, config_.Version());
}

void peer_config_sync::Fetch(const std::string& address,
                             std::uint64_t version) {
  expected_version_ = version;
  responding_ = false;
  auto digest = EncodeDigest(config_.Digest());
  outgoing_request request;
  request.head.method = "POST";
  request.head.target = "/";
  request.head.fields = {
      {"Host", address},
      {std::string(kMeshFetchField), std::to_string(config_.Version())},
      {options_.attempt_id_field, "config-" + std::to_string(++fetches_)}};
  request.head.framing = body_framing::kLength;
  request.head.length = digest.size();
  request.body = ToBody(std::move(digest));
  fetch_ = peers_.Start(address, std::move(request),
                        {.on_sent = nullptr,
                         .on_response = [this, sent_at = MonotonicNow()](
                                            result<incoming_response> answer) {
                           OnResponse(std::move(answer), sent_at);
                         }});
  StartTimer();
}

void peer_config_sync::StartTimer() {
  // The end of the previous one may be queued already.
  timeouts_.End();
  timer_.expires_after(options_.silence_timeout);
  timer_.async_wait(timeouts_.Bind([this](boost::system::error_code cancelled) {
    if (!cancelled) OnFailure("the peer is silent");
  }));
}

void peer_config_sync::EndFetch() {
  timer_.cancel();
  timeouts_.End();
  if (const auto fetch = std::exchange(fetch_, nullptr)) fetch->Cancel();
}

void peer_config_sync::Stop() { EndFetch(); }

void peer_config_sync::OnResponse(result<incoming_response> answer,
                                  instant sent_at) {
  if (!answer) {
    OnFailure(answer.error().message);
    return;
  }
  if (!answer->body) {
    OnFailure("the answer of the peer has no body");
    return;
  }
  StartTimer();
  responding_ = true;
  const int status = answer->head.status;
  const auto confirmation = FindConfirmation(answer->head.fields, sent_at);
  ReadBodyPrefix(
      answer->body, kMaxDifferenceBytes,
      [this, status, confirmation](const result<body_prefix>& start) {
        if (!start) {
          OnFailure(start.error().message);
        } else if (status != 200 || !start->complete) {
          OnFailure(
              "the peer's answer is an error or too large; its status is " +
              std::to_string(status));
        } else {
          OnDifference(*start->bytes, confirmation);
        }
      },
      [this, call = fetches_] {
        if (fetch_ && call == fetches_) StartTimer();
      });
}

void peer_config_sync::OnDifference(
    const std::string& text,
    const std::optional<config_confirmation>& confirmation) {
  const auto message = DecodeUpdate(text);
  if (!message) {
    OnFailure("the answer of the peer is malformed");
    return;
  }
  const auto version = message->difference.version;
  if (version <= config_.Version()) {
    EndFetch();
    if (confirmation && version == config_.Version()) {
      reader_.OnConfirmed(*confirmation);
    }
    return;
  }
  auto config = ApplyDifference(config_.Config(), message->difference);
  if (!config) {
    OnFailure("the peer's difference does not fit the active configuration");
    return;
  }
  EndFetch();
  log_event(log_level::kInfo, "config_fetched")
      .With("version", config->version)
      .With("bytes", static_cast<std::uint64_t>(text.size()))
      .With("changed_routes",
            static_cast<std::uint64_t>(message->difference.routes.size()));
  config_.OnFetched(std::move(*config), message->revision);
  if (confirmation) reader_.OnConfirmed(*confirmation);
}

void peer_config_sync::OnFailure(const std::string& reason) {
  EndFetch();
  log_event(log_level::kInfo, "config_fetch_failed").With("reason", reason);
  if (expected_version_ > config_.Version()) reader_.Refresh();
}

void peer_config_sync::Serve(const std::shared_ptr<incoming_request>& request) {
  const auto body = request->Body();
  if (!body) {
    Answer(*request, std::nullopt);
    return;
  }
  ReadBodyPrefix(
      body, kMaxDigestBytes, [this, request](const result<body_prefix>& start) {
        if (!start) return;  // The peer has disconnected.
        Answer(*request,
               start->complete ? DecodeDigest(*start->bytes) : std::nullopt);
      });
}

void peer_config_sync::Answer(incoming_request& request,
                              const std::optional<config_digest>& digest) {
  if (!digest) {
    request.Respond(
        MakeErrorResponse({error_kind::kInvalidRequest, "no digest"}), nullptr);
    return;
  }
  auto difference =
      ComputeDifference(config_.Config(), config_.Digest(), *digest);
  if (!ReserveLink(difference.routes.size())) {
    request.Respond(
        MakeErrorResponse({error_kind::kOverloaded,
                           "the link is occupied by other differences",
                           run_state::kNotRun}),
        nullptr);
    return;
  }
  auto text = EncodeUpdate(
      {.revision = config_.Revision(), .difference = std::move(difference)});
  incoming_response answer;
  answer.head.status = 200;
  if (const auto* id =
          FindField(request.Head().fields, options_.attempt_id_field)) {
    answer.head.fields.push_back({options_.attempt_id_field, *id});
  }
  AddState(answer.head.fields);
  answer.head.framing = body_framing::kLength;
  answer.head.length = text.size();
  answer.body = ToBody(std::move(text));
  request.Respond(std::move(answer), nullptr);
}

bool peer_config_sync::ReserveLink(std::size_t routes) {
  if (options_.bytes_per_second <= 0 || routes <= kMaxRoutesOfShortDifference) {
    return true;
  }
  const auto now = MonotonicNow();
  const auto free_at = std::max(link_free_at_, now);
  if (free_at - now > options_.max_link_wait) return false;
  const std::chrono::duration<double> time(
      static_cast<double>(routes) * kBytesPerRoute / options_.bytes_per_second);
  link_free_at_ = free_at + std::chrono::duration_cast<duration>(time);
  return true;
}

}  // namespace pomelohall
