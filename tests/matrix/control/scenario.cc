#include "matrix/control/scenario.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "matrix/control/fault_plan.h"

namespace pomelohall::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum delay of the second fault after the first.
constexpr std::uint64_t kMaxSecondFaultDelayMs = 600;

// Time for which a version must stay in force once it is on all daemons.
constexpr duration kInForceHoldTime = seconds(3);

// One run of a step under its faults.
class scenario {
 public:
  scenario(const std::string& step, fault_pair faults, std::uint64_t seed,
           std::string_view defect)
      : step_(step), faults_(faults), cluster_(seed, defect), random_(~seed) {}

  std::vector<violation> Run() {
    WarmUp(cluster_);
    cluster_.RunFor(milliseconds(random_.Below(1000)));
    if (random_.Below(3) != 0) cluster_.SlowMembers(seconds(4));
    if (random_.Below(2) == 0) std::swap(faults_.first, faults_.second);
    RunStep();
    CheckInForce(cluster_);
    return cluster_.Checker().Violations();
  }

 private:
  void InjectFaults() {
    Inject(faults_.first, cluster_, target_member_, random_);
    if (random_.Below(2) == 0) {
      cluster_.RunFor(milliseconds(random_.Below(kMaxSecondFaultDelayMs)));
    }
    Inject(faults_.second, cluster_, target_member_, random_);
  }

  void RunStep() {
    const config_version next = cluster_.Platform().Version() + 1;
    target_member_ = RandomMember();
    if (step_ == "accept") {
      InjectFaults();
      cluster_.ApplyChange();
    } else if (step_ == "distribute") {
      cluster_.ApplyChange();
      cluster_.RunUntil([&] { return cluster_.Platform().Version() >= next; },
                        seconds(5));
      InjectFaults();
    } else if (step_ == "stage") {
      cluster_.ApplyChange();
      cluster_.RunUntil([&] { return cluster_.IsStagedAnywhere(next); },
                        seconds(5));
      InjectFaults();
    } else if (step_ == "put_into_force") {
      cluster_.ApplyChange();
      cluster_.RunUntil([&] { return cluster_.FirstInForce(next).has_value(); },
                        seconds(5));
      target_member_ = cluster_.FirstInForce(next).value_or(target_member_);
      InjectFaults();
    } else {
      RunMemberStep();
    }
  }

  void RunMemberStep() {
    if (step_ == "announce") {
      cluster_.SetBackend(target_member_, backend_state::kStarting);
      cluster_.RunFor(milliseconds(50));
      cluster_.SetBackend(target_member_, backend_state::kReady);
    } else if (step_ == "leave") {
      cluster_.SetBackend(target_member_, backend_state::kDraining);
      draining_since_ = cluster_.Now();
    } else if (random_.Below(4) == 0) {
      RestartDataCentre();
    } else {
      cluster_.Restart(target_member_, milliseconds(300));
    }
    InjectFaults();
    cluster_.ApplyChange();
    if (draining_since_) LeaveAndCheck();
  }

  void RestartDataCentre() {
    for (const auto& member : cluster_.Members()) {
      if (member.front() == target_member_.front()) {
        cluster_.Restart(member, milliseconds(200 + random_.Below(300)));
      }
    }
  }

  // The daemon leaves the cluster when the calls in flight have ended.
  void LeaveAndCheck() {
    if (random_.Below(2) == 0) {
      cluster_.RunFor(seconds(1));
    } else {
      CheckLeave();
    }
    // A frozen process leaves when it resumes.
    cluster_.RunUntil([&] { return !cluster_.IsFrozen(target_member_); },
                      seconds(30));
    cluster_.Leave(target_member_);
    cluster_.RunFor(milliseconds(200));
    const membership* table = cluster_.MemberTable(target_member_);
    // A process that was restarted in the meantime does not stop.
    if (table != nullptr && table->Self().state == member_state::kLeft) {
      cluster_.Kill(target_member_);
    }
    CheckLeave();
  }

  void CheckLeave() {
    // A process that is killed, frozen or restarted may not leave in time.
    if (HasProcessFault()) return;
    const instant check =
        std::max(*draining_since_, cluster_.FaultsEnd()) + kDrainBound;
    if (check > cluster_.Now()) cluster_.RunFor(check - cluster_.Now());
    for (const auto& member : cluster_.Running()) {
      if (cluster_.IsFrozen(member)) continue;
      const auto& servers = cluster_.Routing(member)->servers;
      const bool routed = std::any_of(
          servers.begin(), servers.end(),
          [&](const auto& server) { return server.name == target_member_; });
      if (routed) {
        cluster_.Checker().Report(guarantee::kDrainQuick,
                                  member + " still routes to " + target_member_,
                                  cluster_.Now());
      }
    }
  }

  bool HasProcessFault() const {
    const auto hits = [](fault which) {
      return which == fault::kKill || which == fault::kRestart ||
             which == fault::kFreeze;
    };
    return hits(faults_.first) || hits(faults_.second);
  }

  std::string RandomMember() {
    const auto members = cluster_.Members();
    return members[random_.Below(members.size())];
  }

  std::string step_;
  fault_pair faults_;
  simulated_cluster cluster_;
  random_source random_;
  std::string target_member_;
  std::optional<instant> draining_since_;
};

}  // namespace

const std::vector<std::string>& ControlSteps() {
  static const std::vector<std::string> steps{
      "accept",   "distribute", "stage",  "put_into_force",
      "announce", "leave",      "restart"};
  return steps;
}

void WarmUp(simulated_cluster& cluster) {
  cluster.Start();
  cluster.ApplyChange();
  const bool started = cluster.RunUntil(
      [&] { return cluster.Platform().Version() == 1 && cluster.AllInForce(); },
      kInForceBound);
  if (!started) {
    cluster.Checker().Report(
        guarantee::kInForce,
        "version 1 not in force after the start: " + cluster.Describe(),
        cluster.Now());
  }
}

void CheckInForce(simulated_cluster& cluster) {
  if (cluster.FaultsEnd() > cluster.Now()) {
    cluster.RunFor(cluster.FaultsEnd() - cluster.Now());
  }
  const bool reached =
      cluster.RunUntil([&] { return cluster.AllInForce(); }, kInForceBound);
  cluster.RunFor(kInForceHoldTime);
  if (!reached || !cluster.AllInForce()) {
    cluster.Checker().Report(guarantee::kInForce, cluster.Describe(),
                             cluster.Now());
  }
}

std::vector<violation> RunScenario(const std::string& step, fault_pair faults,
                                   std::uint64_t seed,
                                   std::string_view defect) {
  const std::uint64_t cell_seed =
      FastHash(step, seed) + 32 * static_cast<std::uint64_t>(faults.first) +
      static_cast<std::uint64_t>(faults.second);
  auto violations = scenario(step, faults, cell_seed, defect).Run();
  for (auto& item : violations) {
    item.detail = step + " " + std::string(FaultName(faults.first)) + "+" +
                  std::string(FaultName(faults.second)) + " seed " +
                  std::to_string(seed) + ": " + item.detail;
  }
  return violations;
}

}  // namespace pomelohall::matrix
