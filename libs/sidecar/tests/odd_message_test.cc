#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "config_codec.h"
#include "crash_codec.h"
#include "fake_watched_store.h"
#include "load_codec.h"
#include "member_codec.h"
#include "member_observer.h"
#include "member_publisher.h"
#include "odd_json.h"

namespace pomelohall {
namespace {

const std::string kRecord =
    R"({"address":"10.0.0.1:7600","data_centre":"near","incarnation":5,
        "link_mbps":100.0,
        "server":{"instance":"i-1","service":"shop","slots":18},
        "departed":[{"instance":"i-0","latest_start_unix_ms":77,
                     "withdrawn":true}],
        "crashes":[{"id":"ab12","at":99,"requests":["c3","d4"],"trial":"d4"}],
        "cleared":["e5"]})";

std::string WithValue(std::string text, const std::string& from,
                      const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against a record that attracts all requests, makes its member the
// reader of its data centre, or names an address that cannot be connected to.
TEST_CASE("MemberCodec_ValueOutOfRange_IsRefused", "[sidecar]") {
  REQUIRE(DecodeMember("x", kRecord));
  for (const auto& text :
       {WithValue(kRecord, "10.0.0.1:7600", "a"),
        WithValue(kRecord, "10.0.0.1:7600", "10.0.0.1"),
        WithValue(kRecord, "7600", "0"),
        WithValue(kRecord, "7600", "65536"),
        WithValue(kRecord, "7600", "-1"),
        WithValue(kRecord, "7600", "1e3"),
        WithValue(kRecord, "10.0.0.1", "10.0.0.256"),
        WithValue(kRecord, "18", "9223372036854775808"),
        WithValue(kRecord, "18", "18446744073709551615"),
        WithValue(kRecord, "18", "18446744073709551616"),
        WithValue(kRecord, "18", "1e308"),
        WithValue(kRecord, "18", "-1"),
        WithValue(kRecord, "100.0", "1e308"),
        WithValue(kRecord, "100.0", "-1"),
        WithValue(kRecord, "100.0", "\"fast\""),
        WithValue(kRecord, "\"i-1\"", R"("i\r\nX: y")"),
        WithValue(kRecord, "5,", "\"5\","),
        WithValue(kRecord, "5,", "-5,"),
        WithValue(kRecord, "\"i-0\"", "\"\""),
        WithValue(kRecord, "\"i-0\"", "\"" + std::string(300, 'i') + "\""),
        WithValue(kRecord, "77", "7.5"),
        WithValue(kRecord, "true", "1"),
        WithValue(kRecord, "99", "-1"),
        WithValue(kRecord, "ab12", "xy"),
        WithValue(kRecord, "e5", "zz"),
        WithValue(kRecord, "\"trial\":\"d4\"", "\"trial\":1"),
        WithValue(kRecord, "\"c3\"", "3"),
        WithValue(kRecord, "c3", "11112222333344445")}) {
    INFO(text);
    CHECK_FALSE(DecodeMember("x", text));
  }
}

// Guards against a header field of another program that ends a daemon or counts
// as a crash.
TEST_CASE("CrashCodec_MalformedField_IsRefused", "[sidecar]") {
  const std::vector<suspected_crash> crashes{
      {.crash = {.id = 0xab12, .at_unix_ms = 99}},
      {.crash = {.id = ~0ULL, .at_unix_ms = 0}, .on_trial = true}};
  CHECK(DecodeCrashes(EncodeCrashes(crashes)) == crashes);
  for (const char* text :
       {"", ",", "ab12", ":", "ab12:", ":99", "ab12:-1", "ab12:99,", "xy:1",
        "ab12:trial", "ab12::trial", "ab12:99:", "ab12:99:guilty",
        "ab12:18446744073709551615", "11112222333344445:1"}) {
    INFO(text);
    CHECK_FALSE(DecodeCrashes(text));
  }
  std::string many = "1:1";
  for (int i = 0; i < 100; ++i) many += ",1:1";
  CHECK_FALSE(DecodeCrashes(many));
}

// Guards against a stack overflow and against exceptions.
TEST_CASE("MemberCodec_DeeplyNested_IsRefused", "[sidecar]") {
  const auto deep = Nested(200'000);
  CHECK_FALSE(DecodeMember("x", deep));
  CHECK_FALSE(DecodeMember("x", WithValue(kRecord, "\"near\"", deep)));
  CHECK_FALSE(DecodeMember("x", WithValue(kRecord, "18", deep)));
}

// Guards against a report of load whose times are negative after conversion, or
// whose sums overflow.
TEST_CASE("LoadCodec_ValueOutOfRange_IsRefused", "[sidecar]") {
  REQUIRE(DecodeHeldTime("1500") == std::chrono::microseconds(1500));
  for (const auto* text : {"", "-1", "1.5", "x", "1500 ",
                           "99999999999999999999999", "9223372036854775807"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeHeldTime(text));
  }
  CHECK(EncodeHeldTime(std::chrono::microseconds(-3)) == "0");
  REQUIRE(DecodeLoad("1,2,18,1000,0"));
  for (const char* text :
       {"18446744073709551615,2,18,1000,0", "1,18446744073709551615,18,1000,0",
        "1,2,18446744073709551615,1000,0", "1,2,18,18446744073709551615,0",
        "1,2,18,9223372036854775807,0", "1,2,18,1000,9223372036854775807"}) {
    INFO(text);
    CHECK_FALSE(DecodeLoad(text));
  }
}

std::string UpdateText() {
  config_update update;
  update.revision = {.era = 1, .number = 9};
  update.difference.version = 12;
  update.difference.limits = {.max_header_bytes = 16384,
                              .max_body_bytes = 1000,
                              .header_timeout = std::chrono::seconds(3),
                              .idle_timeout = std::chrono::seconds(15)};
  update.difference.routes = {
      {.name = "a",
       .host = "h.example",
       .path_prefix = "/a/",
       .kind = request_kind::kSafe,
       .timeout = std::chrono::milliseconds(1500),
       .latency_target = std::chrono::milliseconds(800),
       .priority = 1,
       .destinations = {{.service = "s1", .weight = 90}},
       .max_servers = 2}};
  return EncodeUpdate(update);
}

// Guards against a message of another daemon whose numbers overflow a duration
// or an integer.
TEST_CASE("ConfigCodec_ValueOutOfRange_IsRefused", "[sidecar]") {
  const auto valid = UpdateText();
  REQUIRE(DecodeUpdate(valid));
  for (const auto& text :
       {WithValue(valid, "1500000", "9223372036854775807"),
        WithValue(valid, "1500000", "-1"), WithValue(valid, "1500000", "1e308"),
        WithValue(valid, "800000", "-9223372036854775808"),
        WithValue(valid, "15000000", "9223372036854775807"),
        WithValue(valid, "\"priority\":1", "\"priority\":1e300"),
        WithValue(valid, "\"servers\":2", "\"servers\":4294967297"),
        WithValue(valid, "\"servers\":2", "\"servers\":0"),
        WithValue(valid, "90", "1e308"), WithValue(valid, "90", "-1"),
        WithValue(valid, "90", "1e999")}) {
    INFO(text);
    CHECK_FALSE(DecodeUpdate(text));
  }
}

// Guards against routes and limits under which no request can be served, and
// against a route without a service, which the route table cannot hold.
TEST_CASE("ConfigCodec_UnusableValue_IsRefused", "[sidecar]") {
  const auto valid = UpdateText();
  for (const auto& text :
       {WithValue(valid, R"([["s1",90.0]])", "[]"),
        WithValue(valid, "\"s1\"", "\"\""), WithValue(valid, "1500000", "0"),
        WithValue(valid, "16384", "0"), WithValue(valid, "16384", "-1"),
        WithValue(valid, "16384", "0.5")}) {
    INFO(text);
    CHECK_FALSE(DecodeUpdate(text));
  }
}

// Guards against a stack overflow and against exceptions.
TEST_CASE("ConfigCodec_DeeplyNested_IsRefused", "[sidecar]") {
  const auto deep = Nested(200'000);
  CHECK_FALSE(DecodeUpdate(deep));
  CHECK_FALSE(DecodeUpdate(WithValue(UpdateText(), "90", deep)));
  CHECK_FALSE(DecodeDigest(deep));
  CHECK_FALSE(DecodeDigest("[1e999]"));
}

// Guards against exceptions, and against accepted values that cannot be written
// again or change when they are: records are published again, and messages are
// passed on.
TEST_CASE("Codecs_GeneratedOddText_IsRefusedOrKept", "[sidecar]") {
  constexpr int kVariants = 3000;
  random_source random(24);
  const auto record = nlohmann::json::parse(kRecord);
  const auto update = nlohmann::json::parse(UpdateText());
  int accepted = 0;
  for (int i = 0; i < kVariants; ++i) {
    const auto record_text = OddVariant(record, random);
    INFO(record_text.substr(0, 1000));
    if (const auto member = DecodeMember("x", record_text)) {
      ++accepted;
      const auto written = EncodeMember(*member);
      const auto again = DecodeMember("x", written);
      REQUIRE(again);
      CHECK(EncodeMember(*again) == written);
    }
    const auto update_text = OddVariant(update, random);
    INFO(update_text.substr(0, 1000));
    if (const auto message = DecodeUpdate(update_text)) {
      ++accepted;
      const auto written = EncodeUpdate(*message);
      const auto again = DecodeUpdate(written);
      REQUIRE(again);
      CHECK(EncodeUpdate(*again) == written);
    }
  }
  CHECK(accepted > kVariants / 20);
}

class member_observer_fixture {
 protected:
  member_observer_fixture() {
    publisher_.Publish({.name = "own",
                        .data_centre = "near",
                        .address = "10.0.0.9:7600",
                        .server = std::nullopt});
    Change("vm-1", 10, kRecord);
    Change("vm-2", 11, WithValue(kRecord, "10.0.0.1", "10.0.0.2"));
  }

  ~member_observer_fixture() { publisher_.Stop(); }

  void Change(const std::string& name, std::uint64_t number,
              const std::string& spec) {
    observer_.OnChanged({.object = {.name = name,
                                    .revision = {.era = 1, .number = number},
                                    .spec = spec},
                         .deleted = false});
  }

  boost::asio::io_context io_;
  fake_watched_store store_{io_};
  server_directory directory_{{.member = "own", .data_centre = "near"}, 1};
  retry_budget budget_{{}};
  member_publisher publisher_{io_, store_, {}, 1};
  crash_history crashes_;
  member_observer observer_{"own", directory_, budget_, publisher_, crashes_};
};

// Guards against requests to a backend server whose record is no longer valid,
// and against other servers that are dropped with it.
TEST_CASE_METHOD(member_observer_fixture,
                 "MemberObserver_RecordOverwritten_NamesNoServer",
                 "[sidecar]") {
  REQUIRE(directory_.Size() == 2);
  Change("vm-1", 12, "");
  CHECK_FALSE(directory_.Record("vm-1").has_value());
  CHECK(directory_.Record("vm-2").has_value());
  Change("vm-1", 13, kRecord);
  CHECK(directory_.Record("vm-1").has_value());
}

// Guards against an entry of another writer that hides the own record: the
// daemon would not write its record again.
TEST_CASE_METHOD(member_observer_fixture,
                 "MemberObserver_OwnRecordOverwritten_IsWrittenAgain",
                 "[sidecar]") {
  io_.run_for(std::chrono::milliseconds(20));
  const auto published = store_.SpecOf(store_collection::kMembers, "own");
  REQUIRE(DecodeMember("own", published));
  store_.Put(store_collection::kMembers, "own", "");
  Change("own", 1000, "");
  io_.restart();
  io_.run_for(std::chrono::milliseconds(50));
  CHECK(store_.SpecOf(store_collection::kMembers, "own") == published);
}

}  // namespace
}  // namespace pomelohall
