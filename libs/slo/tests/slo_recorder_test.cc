#include "slo/slo_recorder.h"

#include <catch2/catch.hpp>
#include <string>

#include "slo/slo_window.h"

namespace pomelohall {
namespace {

constexpr std::int64_t kStart = 1'000'000'000;
const target kTarget{.within_ms = 100, .share = 0.9, .min_bytes_per_s = 0};

slo_observation Answered(std::int64_t millis) {
  return {.work_class = "lookup",
          .elapsed = duration(millis * 1000),
          .body_bytes = 10,
          .whole_answer = true,
          .ran = run_state::kRan};
}

}  // namespace

// Guards against counting failed, late or unresolved requests as met.
TEST_CASE("MeetsTarget_OnlyWholeAnswersInTime") {
  const auto met = [](const slo_observation& seen, class_kind kind) {
    return MeetsTarget(seen, kTarget, kind);
  };
  CHECK(met(Answered(100), class_kind::kLookup));
  CHECK_FALSE(met(Answered(101), class_kind::kLookup));
  auto cut_short = Answered(1);
  cut_short.whole_answer = false;
  CHECK_FALSE(met(cut_short, class_kind::kLookup));
  auto unknown = Answered(1);
  unknown.ran = run_state::kUnknown;
  CHECK_FALSE(met(unknown, class_kind::kTransaction));
  auto refused = Answered(1);
  refused.ran = run_state::kNotRun;
  CHECK_FALSE(met(refused, class_kind::kLookup));
}

// Guards against large downloads that miss their target only due to their size.
TEST_CASE("MeetsTarget_Download_TimeGrowsWithTheBody") {
  const target rate{.within_ms = 100, .share = 0.9, .min_bytes_per_s = 1000};
  auto seen = Answered(1100);
  seen.body_bytes = 1000;
  CHECK(MeetsTarget(seen, rate, class_kind::kDownload));
  CHECK_FALSE(MeetsTarget(seen, rate, class_kind::kLookup));
  seen.elapsed += duration(1);
  CHECK_FALSE(MeetsTarget(seen, rate, class_kind::kDownload));
}

// Guards against requests lost at a window boundary, and against idle windows
// that are not reported and then count as unobserved.
TEST_CASE("SloRecorder_CloseWindows_EveryWindowOnceAlsoWhenEmpty") {
  slo_recorder recorder("m", 7, kStart);
  recorder.Record(Answered(5), kTarget, class_kind::kLookup, instant());
  CHECK(recorder.CloseWindows(kStart + 9).empty());
  const auto first = recorder.CloseWindows(kStart + 10);
  REQUIRE(first.size() == 1);
  CHECK(first[0].window == kStart / 10);
  CHECK(first[0].incarnation == 7);
  CHECK(first[0].classes.at("lookup").requests == 1);
  CHECK(first[0].classes.at("lookup").met == 1);
  const auto second = recorder.CloseWindows(kStart + 20);
  REQUIRE(second.size() == 1);
  CHECK(second[0].window == kStart / 10 + 1);
  CHECK(second[0].classes.empty());
}

// Guards against reusing a window number after the clock is set back: the
// report would drop one of the two windows as a duplicate.
TEST_CASE("SloRecorder_ClockSetBack_WindowNumbersStillGrow") {
  slo_recorder recorder("m", 1, kStart);
  REQUIRE(recorder.CloseWindows(kStart + 10).size() == 1);
  CHECK(recorder.CloseWindows(kStart - 3600).empty());
  const auto next = recorder.CloseWindows(kStart - 3600 + 10);
  REQUIRE(next.size() == 1);
  CHECK(next[0].window == kStart / 10 + 1);
}

TEST_CASE("SloWindow_EncodeDecode_KeepsEverything") {
  slo_recorder recorder("m", 7, kStart);
  for (int i = 0; i < 100; ++i) {
    recorder.Record(Answered(std::int64_t{3} * i), kTarget, class_kind::kLookup,
                    instant());
  }
  const slo_window window = recorder.CloseOpenWindow();
  const auto copy = DecodeSloWindow(EncodeSloWindow(window));
  REQUIRE(copy.has_value());
  CHECK(copy->member == "m");
  CHECK(copy->incarnation == 7);
  CHECK(copy->window == window.window);
  const auto& counts = copy->classes.at("lookup");
  CHECK(counts.requests == 100);
  CHECK(counts.met == 34);
  CHECK(counts.latency.Buckets() ==
        window.classes.at("lookup").latency.Buckets());
}

// Guards against malformed frames that throw or are added to the totals.
TEST_CASE("SloWindow_MalformedPayload_IsRefused") {
  slo_window window{
      .member = "m", .incarnation = 1, .window = 5, .classes = {}};
  window.classes["lookup"].requests = 3;  // Latencies are missing.
  CHECK_FALSE(DecodeSloWindow(EncodeSloWindow(window)).has_value());
  const std::string valid = EncodeSloWindow(
      {.member = "m", .incarnation = 1, .window = 5, .classes = {}});
  REQUIRE(DecodeSloWindow(valid).has_value());
  for (std::size_t length = 0; length < valid.size(); ++length) {
    CHECK_FALSE(DecodeSloWindow(valid.substr(0, length)).has_value());
  }
  CHECK_FALSE(DecodeSloWindow(valid + "x").has_value());
}

}  // namespace pomelohall
