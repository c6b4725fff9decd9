#include <catch2/catch.hpp>
#include <set>

#include "base/random.h"
#include "policy/admission_controller.h"

namespace pomelohall {
namespace {

constexpr std::uint32_t kSlots = 4;
constexpr int kSteps = 2'000;
constexpr std::uint64_t kSeeds = 30;

/// Drives an admission_controller with random events and checks its invariants.
class admission_driver {
 public:
  explicit admission_driver(std::uint64_t seed) : random_(seed) {
    admission_.SetSlots(kSlots, now_);
  }

  void Step() {
    now_ += duration(static_cast<std::int64_t>(random_.Below(3'000)));
    switch (random_.Below(8)) {
      case 0:
      case 1:
      case 2:
        return Submit();
      case 3:
      case 4:
        return Finish();
      case 5:
        return Cancel();
      case 6:
        return RecordDecisions(admission_.Tick(now_));
      default:
        return ChangeServerState();
    }
  }

  /// Completes all work; afterwards every request must have a decision.
  void CompleteAll() {
    admission_.SetDraining(false);
    admission_.SetSlots(kSlots, now_);
    while (!running_.empty()) Finish();
    now_ += std::chrono::seconds(60);
    RecordDecisions(admission_.Tick(now_));
    CHECK(waiting_.empty());
    CHECK(admission_.Queued() == 0);
    CHECK(admission_.InFlight() == running_.size());
  }

 private:
  void Submit() {
    const auto id = ++last_;
    waiting_.insert(id);
    const auto kind = static_cast<class_kind>(random_.Below(3));
    if (random_.Below(10) == 0) exclusive_.insert(id);
    const duration within(static_cast<std::int64_t>(random_.Below(100'000)));
    RecordDecisions(
        admission_.Submit({.id = id,
                           .kind = kind,
                           .work_class = std::string(ClassKindName(kind)),
                           .deadline = now_ + within,
                           .exclusive = exclusive_.contains(id)},
                          now_));
  }

  void Finish() {
    if (running_.empty()) return;
    const auto id = PickRandom(running_);
    running_.erase(id);
    const duration latency(static_cast<std::int64_t>(random_.Below(20'000)));
    RecordDecisions(
        admission_.Finish(id, latency, random_.Below(10) > 0, now_));
  }

  void Cancel() {
    auto& from = random_.Below(2) == 0 ? running_ : waiting_;
    if (from.empty()) return;
    const auto id = PickRandom(from);
    from.erase(id);
    RecordDecisions(admission_.Cancel(id, now_));
  }

  void ChangeServerState() {
    if (random_.Below(10) > 0) return;
    const auto what = random_.Below(3);
    if (what == 0) admission_.SetDraining(random_.Below(2) == 0);
    if (what == 1) admission_.SetSlots(0, now_);
    if (what == 2) admission_.SetSlots(kSlots, now_);
  }

  request_id PickRandom(const std::set<request_id>& from) {
    auto position = from.begin();
    std::advance(position, random_.Below(from.size()));
    return *position;
  }

  void RecordDecisions(const std::vector<admission_decision>& decisions) {
    for (const auto& decision : decisions) {
      REQUIRE(waiting_.erase(decision.id) == 1);
      if (decision.refused) {
        REQUIRE(decision.refused->ran == run_state::kNotRun);
        continue;
      }
      running_.insert(decision.id);
      REQUIRE(running_.size() <= kSlots);
    }
    for (const auto id : running_) {
      REQUIRE((!exclusive_.contains(id) || running_.size() == 1));
    }
  }

  random_source random_;
  instant now_{std::chrono::seconds(100)};
  admission_controller admission_;
  request_id last_ = 0;
  std::set<request_id> waiting_;
  std::set<request_id> running_;
  std::set<request_id> exclusive_;
};

}  // namespace

// Checks under random events that each request gets exactly one decision, that
// the slots are never exceeded, and that an exclusive request never shares the
// server.
TEST_CASE("AdmissionController_RandomEvents_KeepsInvariants") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    admission_driver driver(seed);
    for (int i = 0; i < kSteps; ++i) driver.Step();
    driver.CompleteAll();
  }
}

}  // namespace pomelohall
