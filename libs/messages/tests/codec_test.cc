#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"
#include "messages/message.h"

namespace pomelohall {
namespace {

member_record SampleRecord() {
  return {
      .name = "plant-1",
      .region = "nordeste",
      .data_centre = "plant",
      .forward_address = "127.0.0.1:7001",
      .peer_address = "127.0.0.1:7002",
      .incarnation = 1'700'000'000'000,
      .sequence = 7,
      .state = member_state::kSuspect,
      .backend = {
          .service = "orders", .slots = 20, .state = backend_state::kReady}};
}

delta_message SampleDelta() {
  const configuration document{.services = {{"orders"}},
                               .classes = {{.name = "orders-read",
                                            .service = "orders",
                                            .kind = class_kind::kLookup,
                                            .target = {}}},
                               .routes = {{.path_prefix = "/orders",
                                           .method = "GET",
                                           .work_class = "orders-read"}}};
  const auto image = BuildImage(document, nullptr, "change-1");
  REQUIRE(image.has_value());
  return {MakeDelta(**image, 0)};
}

std::vector<peer_message> SampleMessages() {
  const std::string digest(64, 'a');
  return {hello_message{.cluster = "c", .member = "m", .data_centre = "d"},
          ping_message{.seq = 1},
          ping_ack_message{.seq = 1, .member = "m"},
          probe_request_message{.target = "t", .seq = 2},
          member_event_message{{SampleRecord()}},
          member_digest_message{.digest = "abc", .count = 3, .reply = true},
          member_sync_message{{SampleRecord(), SampleRecord()}, true},
          offer_message{.version = 9, .digest = digest, .committed = 8},
          pull_message{.base = 4},
          SampleDelta(),
          busy_message{},
          ack_message{.version = 9, .incarnation = 5, .in_force = 8},
          confirm_message{.version = 9, .round = 2},
          confirmed_message{.version = 9, .round = 2, .incarnation = 5},
          fresh_query_message{.id = 6},
          fresh_answer_message{.id = 6, .version = 9, .available = true},
          recover_query_message{.id = 7},
          recover_answer_message{
              .id = 7, .version = 9, .recovered = true, .member_count = 3},
          suspect_event_message{
              .service = "s", .fingerprint = 1, .state = 2, .id = 3},
          slo_window_message{.payload = std::string("\0\xff", 2)},
          reachability_message{
              .reader = "r", .incarnation = 1, .seq = 2, .unreachable = {"d"}}};
}

std::string Frame(const peer_message& body) {
  return EncodeEnvelope({.from = "plant-1", .incarnation = 5, .body = body});
}

void CheckRejected(std::string_view frame) {
  const auto decoded = DecodeEnvelope(frame);
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.error().kind == error_kind::kProtocolError);
}

}  // namespace

// Guards against a field that is only encoded or only decoded.
TEST_CASE("Codec_EveryMessage_RoundTrips") {
  const auto samples = SampleMessages();
  REQUIRE(samples.size() == std::variant_size_v<peer_message>);
  for (const auto& sample : samples) {
    const std::string frame = Frame(sample);
    const auto decoded = DecodeEnvelope(frame);
    INFO(MessageName(sample));
    REQUIRE(decoded.has_value());
    CHECK(decoded->from == "plant-1");
    CHECK(decoded->incarnation == 5);
    CHECK(decoded->body.index() == sample.index());
    CHECK(EncodeEnvelope(*decoded) == frame);
  }
}

TEST_CASE("Codec_Delta_KeepsDigests") {
  const delta_message sample = SampleDelta();
  const auto decoded = DecodeEnvelope(Frame(sample));
  REQUIRE(decoded.has_value());
  const auto& delta = std::get<delta_message>(decoded->body).delta;
  CHECK(delta.head == sample.delta.head);
  CHECK(ApplyDelta(*EmptyImage(), delta).has_value());
}

// Guards against an offer that exceeds the 60 bytes assumed in the design.
TEST_CASE("Codec_OfferAndRecord_KeepTheirSize") {
  CHECK(Frame(offer_message{.version = 99'999, .digest = std::string(64, 'a')})
            .size() <= 60);
  CHECK(Frame(member_event_message{{SampleRecord()}}).size() <= 150);
}

TEST_CASE("Codec_FrameCutShort_IsRefused") {
  for (const auto& sample : SampleMessages()) {
    const std::string frame = Frame(sample);
    for (std::size_t size = 0; size < frame.size(); ++size) {
      // All lengths of short frames, a sample of the lengths of long ones.
      if (frame.size() > 1000 && size % 97 != 0) continue;
      CheckRejected(frame.substr(0, size));
    }
    CheckRejected(frame + "\x01");
  }
}

TEST_CASE("Codec_UnknownMessageOrWrongType_IsRefused") {
  CheckRejected(std::string("\x84\x18\x63\x61m\x01\x01", 7));  // Kind 99.
  CheckRejected(std::string("\x84\x01\x61m\x01\x61x", 7));     // Text as seq.
  CheckRejected(std::string("\x84\x01\x05\x01\x01", 5));  // Number as from.
  CheckRejected(std::string("\x83\x01\x61m\x01", 5));     // No seq.
  CheckRejected(std::string("\xa0", 1));                  // A map.
}

// Guards against a small frame that makes the receiver allocate a large array,
// throw, or overflow the stack.
TEST_CASE("Codec_OversizedCountsAndNesting_AreRefused") {
  CheckRejected(
      std::string("\x84\x04\x61m\x01\x9b\xff\xff\xff\xff\xff\xff\xff"
                  "\xff",
                  14));
  CheckRejected(std::string("\x84\x04\x61m\x01\x9a\xff\xff\xff\xff", 10));
  CheckRejected(std::string("\x84\x13\x61m\x01\x5a\xff\xff\xff\xff", 10));
  CheckRejected(std::string(1'000'000, '\x81'));
  member_sync_message sync;
  sync.records.resize(kMaxRecordsPerMessage + 1);
  CheckRejected(Frame(sync));
  CheckRejected(Frame(probe_request_message{
      .target = std::string(kMaxTextBytes + 1, 'x'), .seq = 1}));
}

// Guards against exceptions and crashes on damaged frames: decoding returns a
// message or kProtocolError.
TEST_CASE("Codec_RandomDamage_NeverThrows") {
  random_source random(20'260'101);
  for (const auto& sample : SampleMessages()) {
    const std::string frame = Frame(sample);
    for (int i = 0; i < 200; ++i) {
      std::string damaged = frame;
      damaged[random.Below(damaged.size())] =
          static_cast<char>(random.Below(256));
      const auto decoded = DecodeEnvelope(damaged);
      if (!decoded) CHECK(decoded.error().kind == error_kind::kProtocolError);
    }
  }
}

}  // namespace pomelohall
