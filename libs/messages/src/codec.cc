#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <type_traits>
#include <utility>

#include "cbor_check.h"
#include "field_reader.h"
#include "field_writer.h"
#include "messages/message.h"

namespace pomelohall {
namespace {

using nlohmann::json;

// The kind of a message is its index in peer_message. Append new messages, so
// that the existing kinds stay the same.
constexpr std::array<std::string_view, std::variant_size_v<peer_message>>
    kMessageNames{"hello",         "ping",          "ping_ack",
                  "probe_request", "member_event",  "member_digest",
                  "member_sync",   "offer",         "pull",
                  "delta",         "busy",          "ack",
                  "confirm",       "confirmed",     "fresh_query",
                  "fresh_answer",  "recover_query", "recover_answer",
                  "suspect_event", "slo_window",    "reachability"};

// Number of array elements before the fields of the body: kind, from,
// incarnation.
constexpr std::size_t kHeaderFields = 3;

// `VisitFields(io, message)` visits the fields of a message in the order of
// their encoding. `io` is a field_writer, with a const message, or a
// field_reader.
template <typename M, typename Type>
concept possibly_const = std::is_same_v<std::remove_const_t<M>, Type>;

template <typename Io, possibly_const<member_record> M>
void VisitFields(Io& io, M& m) {
  io.Text(m.name);
  io.Text(m.region);
  io.Text(m.data_centre);
  io.Text(m.forward_address);
  io.Text(m.peer_address);
  io.Number(m.incarnation);
  io.Number(m.sequence);
  io.EnumValue(m.state, member_state::kLeft);
  io.Text(m.backend.service);
  io.Number(m.backend.slots);
  io.EnumValue(m.backend.state, backend_state::kGone);
}

template <typename Io, typename Records>
void VisitRecords(Io& io, Records& records) {
  io.List(records, kMaxRecordsPerMessage,
          [](auto& nested, auto& record) { VisitFields(nested, record); });
}

template <typename Io, possibly_const<config_head> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.version);
  io.Text(m.change_id);
  io.Digest(m.digest);
  for (auto& section : m.sections) {
    io.Digest(section.digest);
    io.Number(section.changed_at);
  }
  io.List(m.recent_change_ids, kRecentChangeIds,
          [](auto& nested, auto& id) { nested.Text(id); });
}

void VisitSection(field_writer& io, const config_delta::item& item) {
  io.Number(static_cast<std::uint64_t>(item.index));
  io.Bytes(*item.bytes);
}

void VisitSection(field_reader& io, config_delta::item& item) {
  std::uint64_t index = 0;
  std::string bytes;
  io.Number(index);
  io.Bytes(bytes);
  if (index >= kSectionCount || bytes.size() > kMaxSectionBytes) {
    return io.SetInvalid();
  }
  item.index = static_cast<std::size_t>(index);
  item.bytes = std::make_shared<const std::string>(std::move(bytes));
}

template <typename Io, possibly_const<hello_message> M>
void VisitFields(Io& io, M& m) {
  io.Text(m.cluster);
  io.Text(m.member);
  io.Number(m.incarnation);
  io.Text(m.data_centre);
  io.Number(m.protocol);
}

template <typename Io, possibly_const<ping_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.seq);
}

template <typename Io, possibly_const<ping_ack_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.seq);
  io.Text(m.member);
}

template <typename Io, possibly_const<probe_request_message> M>
void VisitFields(Io& io, M& m) {
  io.Text(m.target);
  io.Number(m.seq);
}

template <typename Io, possibly_const<member_event_message> M>
void VisitFields(Io& io, M& m) {
  VisitRecords(io, m.records);
}

template <typename Io, possibly_const<member_digest_message> M>
void VisitFields(Io& io, M& m) {
  io.Bytes(m.digest);
  io.Number(m.count);
  io.Flag(m.reply);
}

template <typename Io, possibly_const<member_sync_message> M>
void VisitFields(Io& io, M& m) {
  VisitRecords(io, m.records);
  io.Flag(m.complete);
}

template <typename Io, possibly_const<offer_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.version);
  io.Digest(m.digest);
  io.Number(m.committed);
}

template <typename Io, possibly_const<pull_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.base);
}

template <typename Io, possibly_const<delta_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.delta.base);
  VisitFields(io, m.delta.head);
  io.List(m.delta.items, kSectionCount,
          [](auto& nested, auto& item) { VisitSection(nested, item); });
}

template <typename Io, possibly_const<busy_message> M>
void VisitFields(Io& /*io*/, M& /*m*/) {}

template <typename Io, possibly_const<ack_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.version);
  io.Number(m.incarnation);
  io.Number(m.in_force);
}

template <typename Io, possibly_const<confirm_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.version);
  io.Number(m.round);
}

template <typename Io, possibly_const<confirmed_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.version);
  io.Number(m.round);
  io.Number(m.incarnation);
}

template <typename Io, possibly_const<fresh_query_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.id);
}

template <typename Io, possibly_const<fresh_answer_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.id);
  io.Number(m.version);
  io.Flag(m.available);
}

template <typename Io, possibly_const<recover_query_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.id);
}

template <typename Io, possibly_const<recover_answer_message> M>
void VisitFields(Io& io, M& m) {
  io.Number(m.id);
  io.Number(m.version);
  io.Flag(m.recovered);
  io.Number(m.member_count);
}

template <typename Io, possibly_const<suspect_event_message> M>
void VisitFields(Io& io, M& m) {
  io.Text(m.service);
  io.Number(m.fingerprint);
  io.Number(m.state);
  io.Number(m.id);
}

template <typename Io, possibly_const<slo_window_message> M>
void VisitFields(Io& io, M& m) {
  io.Bytes(m.payload);
}

template <typename Io, possibly_const<reachability_message> M>
void VisitFields(Io& io, M& m) {
  io.Text(m.reader);
  io.Number(m.incarnation);
  io.Number(m.seq);
  io.List(m.unreachable, kMaxDataCentresPerMessage,
          [](auto& nested, auto& name) { nested.Text(name); });
}

template <std::size_t Index>
std::optional<peer_message> ReadBody(const json& frame) {
  std::variant_alternative_t<Index, peer_message> body;
  field_reader reader(frame, kHeaderFields);
  VisitFields(reader, body);
  if (!reader.Done()) return std::nullopt;
  return peer_message(std::in_place_index<Index>, std::move(body));
}

using body_reader = std::optional<peer_message> (*)(const json&);

template <std::size_t... Index>
constexpr std::array<body_reader, sizeof...(Index)> MakeBodyReaders(
    std::index_sequence<Index...> /*indexes*/) {
  return {&ReadBody<Index>...};
}

constexpr auto kBodyReaders = MakeBodyReaders(
    std::make_index_sequence<std::variant_size_v<peer_message>>());

struct frame_header {
  std::uint64_t kind = 0;
  envelope message;  // Without its body.
};

result<frame_header> ReadHeader(const json& frame) {
  frame_header header;
  field_reader reader(frame);
  reader.Number(header.kind);
  reader.Text(header.message.from);
  reader.Number(header.message.incarnation);
  if (!reader.Ok()) {
    return Fail(error_kind::kProtocolError,
                "the frame does not start with kind, sender and incarnation");
  }
  if (header.kind >= kBodyReaders.size()) {
    return Fail(error_kind::kProtocolError,
                "unknown message kind " + std::to_string(header.kind));
  }
  return header;
}

}  // namespace

std::string_view MessageName(const peer_message& message) {
  return kMessageNames[message.index()];
}

std::string EncodeEnvelope(const envelope& message) {
  field_writer writer;
  writer.Number(static_cast<std::uint64_t>(message.body.index()));
  writer.Text(message.from);
  writer.Number(message.incarnation);
  std::visit([&writer](const auto& body) { VisitFields(writer, body); },
             message.body);
  std::string frame;
  json::to_cbor(std::move(writer).Take(), frame);
  return frame;
}

result<envelope> DecodeEnvelope(std::string_view frame) {
  if (!IsAcceptableCbor(frame)) {
    return Fail(error_kind::kProtocolError,
                "the frame of " + std::to_string(frame.size()) +
                    " bytes is not exactly one valid CBOR item");
  }
  const json value = json::from_cbor(frame.begin(), frame.end(), true, false);
  auto header = ReadHeader(value);
  if (!header) return tl::unexpected(header.error());
  auto body = kBodyReaders[header->kind](value);
  if (!body) {
    return Fail(error_kind::kProtocolError,
                "message " + std::string(kMessageNames[header->kind]) +
                    " has a field that is missing, of the wrong type or above "
                    "its limit");
  }
  header->message.body = std::move(*body);
  return std::move(header->message);
}

}  // namespace pomelohall
