#include "ledger/key_ledger.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace pomelohall {
namespace {

using std::chrono::minutes;

constexpr std::uint64_t kSeed = 11;

class ledger_fixture {
 protected:
  ledger_fixture() : ledger_("plant-1.example", 42, kSeed) {}

  grant_verdict Grant(std::string_view holder) {
    return ledger_.Grant(key_, holder, now_).verdict;
  }

  instant now_{std::chrono::seconds(100)};
  key_ledger ledger_;
  std::string key_ = ledger_.Issue(now_);
  const stored_response response_{.status = 201, .headers = {}, .body = "done"};
};

}  // namespace

// Guards against a key whose home daemon cannot be parsed, for example because
// its name contains dots.
TEST_CASE_METHOD(ledger_fixture, "ParseIssuedKey_IssuedKey_ReturnsItsParts") {
  const auto parsed = ParseIssuedKey(key_);
  REQUIRE(parsed);
  CHECK(parsed->member == "plant-1.example");
  CHECK(parsed->incarnation == 42);
  CHECK(ledger_.Issue(now_) != key_);
}

// Guards against treating a key chosen by the caller as an issued one.
TEST_CASE("ParseIssuedKey_OtherText_ReturnsNothing") {
  const std::string random(32, 'a');
  CHECK(ParseIssuedKey("phk1.m.1." + random));
  for (const auto& text :
       {std::string(), std::string("phk1."), "phk2.m.1." + random,
        "phk1.m." + random, "phk1..1." + random, "phk1.m.x." + random,
        "phk1.m.1x." + random, "phk1.m.1." + random + "a",
        "phk1.m.1." + std::string(32, 'G')}) {
    CHECK_FALSE(ParseIssuedKey(text));
  }
}

// Guards against two calls that run with the same key.
TEST_CASE_METHOD(ledger_fixture, "Grant_SecondHolder_IsOutcomeUnknown") {
  CHECK(Grant("one") == grant_verdict::kGranted);
  CHECK(Grant("two") == grant_verdict::kOutcomeUnknown);
  // A repeated request of the same call is not a resend.
  CHECK(Grant("one") == grant_verdict::kGranted);
}

// Guards against a resend that runs again or gets a different response.
TEST_CASE_METHOD(ledger_fixture, "Grant_AfterComplete_ReturnsFirstResponse") {
  Grant("one");
  ledger_.Complete(key_, "one", response_, now_);
  ledger_.Complete(key_, "one", {.status = 500}, now_);
  const auto again = ledger_.Grant(key_, "two", now_);
  CHECK(again.verdict == grant_verdict::kFirstAnswer);
  CHECK(again.response == response_);
}

// Guards against a request that cannot be resent although it did not run.
TEST_CASE_METHOD(ledger_fixture, "Grant_AfterRelease_IsGrantedAgain") {
  Grant("one");
  ledger_.Release(key_, "one", now_);
  CHECK(Grant("two") == grant_verdict::kGranted);
}

// Guards against a delayed or repeated release that releases the key while a
// later call holds it, so that a third call would run too.
TEST_CASE_METHOD(ledger_fixture, "Release_RepeatedByOldHolder_IsIgnored") {
  Grant("one");
  ledger_.Release(key_, "one", now_);
  Grant("two");
  ledger_.Release(key_, "one", now_);
  CHECK(Grant("three") == grant_verdict::kOutcomeUnknown);
}

// Guards against a grant that arrives after its own release and then holds the
// key for a call that has ended.
TEST_CASE_METHOD(ledger_fixture, "Grant_AfterItsOwnRelease_IsNotGranted") {
  ledger_.Release(key_, "one", now_);
  CHECK(Grant("one") == grant_verdict::kOutcomeUnknown);
  CHECK(Grant("two") == grant_verdict::kGranted);
}

// Guards against a late outcome of one call that replaces that of another.
TEST_CASE_METHOD(ledger_fixture, "Complete_ByOtherHolder_IsIgnored") {
  Grant("one");
  ledger_.Complete(key_, "two", response_, now_);
  CHECK(Grant("two") == grant_verdict::kOutcomeUnknown);
}

// Guards against granting a key after it expired: its request may have run.
TEST_CASE_METHOD(ledger_fixture, "Grant_AfterTenMinutes_IsOutcomeUnknown") {
  Grant("one");
  now_ += minutes(9);
  CHECK(Grant("one") == grant_verdict::kGranted);
  now_ += minutes(1);
  CHECK(Grant("one") == grant_verdict::kOutcomeUnknown);
  CHECK(ledger_.KeyCount() == 0);
}

// Guards against granting keys of an earlier start of the daemon or of another
// daemon.
TEST_CASE_METHOD(ledger_fixture, "Grant_ForeignKey_IsOutcomeUnknown") {
  key_ledger restarted("plant-1.example", 43, kSeed + 1);
  CHECK(restarted.Grant(key_, "one", now_).verdict ==
        grant_verdict::kOutcomeUnknown);
}

// Guards against storing a partial response.
TEST_CASE_METHOD(ledger_fixture, "Complete_LargeResponse_RanNotKept") {
  Grant("one");
  auto large = response_;
  large.body.assign(kMaxStoredBodyBytes + 1, 'x');
  ledger_.Complete(key_, "one", large, now_);
  CHECK(Grant("two") == grant_verdict::kRanNotKept);
  CHECK(ledger_.StoredBytes() == 0);
}

// Guards against unbounded memory, and against a key that can be granted again
// after its response was evicted.
TEST_CASE_METHOD(ledger_fixture, "Complete_ManyResponses_StaysUnderLimit") {
  Grant("first");
  ledger_.Complete(key_, "first", response_, now_);
  auto large = response_;
  large.body.assign(kMaxStoredBodyBytes, 'x');
  for (std::size_t i = 0; i < 2 * kMaxStoredBytes / kMaxStoredBodyBytes; ++i) {
    const auto key = ledger_.Issue(now_);
    ledger_.Grant(key, "one", now_);
    ledger_.Complete(key, "one", large, now_);
    REQUIRE(ledger_.StoredBytes() <= kMaxStoredBytes);
  }
  CHECK(Grant("two") == grant_verdict::kRanNotKept);
}

// Guards against an unbounded table.
TEST_CASE_METHOD(ledger_fixture, "Issue_TableFull_EvictsOldest") {
  for (std::size_t i = 0; i < kMaxLedgerKeys; ++i) ledger_.Issue(now_);
  CHECK(ledger_.KeyCount() == kMaxLedgerKeys);
  CHECK(Grant("one") == grant_verdict::kOutcomeUnknown);
}

// Checks that at most one call at a time may send the request of a key, under
// random grants, releases, completions, their repetitions and time steps.
TEST_CASE("KeyLedger_RandomEvents_OneHolderAtATime") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    random_source random(seed);
    instant now{std::chrono::seconds(100)};
    key_ledger ledger("plant-1", 1, seed);
    const auto key = ledger.Issue(now);
    std::string current_holder;  // Was granted the key; has not released it.
    bool completed = false;
    for (int i = 0; i < 500; ++i) {
      now += std::chrono::milliseconds(random.Below(500));
      const auto holder = "call-" + std::to_string(random.Below(i / 10 + 1));
      switch (random.Below(4)) {
        case 0:
          ledger.Complete(key, holder, {.status = 200}, now);
          completed = completed || holder == current_holder;
          break;
        case 1:
          ledger.Release(key, holder, now);
          if (holder == current_holder && !completed) current_holder.clear();
          break;
        default:
          if (ledger.Grant(key, holder, now).verdict !=
              grant_verdict::kGranted) {
            break;
          }
          REQUIRE_FALSE(completed);
          REQUIRE((current_holder.empty() || current_holder == holder));
          current_holder = holder;
      }
    }
  }
}

}  // namespace pomelohall
