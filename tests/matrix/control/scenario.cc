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

// A second fault starts within this time after the first.
constexpr std::uint64_t kSecondFaultWithinMs = 600;

// Time for which a version must stay in force once it is everywhere.
constexpr duration kStaysInForce = seconds(3);

// One run of a step under its faults.
class scenario {
 public:
  scenario(const std::string& step, fault_pair faults, std::uint64_t seed,
           std::string_view defect)
      : step_(step), faults_(faults), network_(seed, defect), random_(~seed) {}

  std::vector<violation> Run() {
    WarmUp(network_);
    network_.RunFor(milliseconds(random_.Below(1000)));
    if (random_.Below(3) != 0) network_.SlowMembers(seconds(4));
    if (random_.Below(2) == 0) std::swap(faults_.first, faults_.second);
    RunStep();
    CheckInForce(network_);
    return network_.Checker().Violations();
  }

 private:
  void InjectFaults() {
    Inject(faults_.first, network_, focus_, random_);
    if (random_.Below(2) == 0) {
      network_.RunFor(milliseconds(random_.Below(kSecondFaultWithinMs)));
    }
    Inject(faults_.second, network_, focus_, random_);
  }

  void RunStep() {
    const config_version next = network_.Platform().Version() + 1;
    focus_ = AnyMember();
    if (step_ == "accept") {
      InjectFaults();
      network_.Accept();
    } else if (step_ == "distribute") {
      network_.Accept();
      network_.RunUntil([&] { return network_.Platform().Version() >= next; },
                        seconds(5));
      InjectFaults();
    } else if (step_ == "stage") {
      network_.Accept();
      network_.RunUntil([&] { return network_.AnyHolds(next); }, seconds(5));
      InjectFaults();
    } else if (step_ == "put_into_force") {
      network_.Accept();
      network_.RunUntil([&] { return network_.FirstInForce(next).has_value(); },
                        seconds(5));
      focus_ = network_.FirstInForce(next).value_or(focus_);
      InjectFaults();
    } else {
      RunMemberStep();
    }
  }

  void RunMemberStep() {
    if (step_ == "announce") {
      network_.SetBackend(focus_, backend_state::kStarting);
      network_.RunFor(milliseconds(50));
      network_.SetBackend(focus_, backend_state::kReady);
    } else if (step_ == "leave") {
      network_.SetBackend(focus_, backend_state::kDraining);
      left_at_ = network_.Now();
    } else if (random_.Below(4) == 0) {
      RestartDataCentre();
    } else {
      network_.Restart(focus_, milliseconds(300));
    }
    InjectFaults();
    network_.Accept();
    if (left_at_) FinishLeave();
  }

  void RestartDataCentre() {
    for (const auto& member : network_.Members()) {
      if (member.front() == focus_.front()) {
        network_.Restart(member, milliseconds(200 + random_.Below(300)));
      }
    }
  }

  // The daemon says goodbye when the work in flight has ended.
  void FinishLeave() {
    if (random_.Below(2) == 0) {
      network_.RunFor(seconds(1));
    } else {
      CheckLeave();
    }
    // A frozen process says it when it wakes.
    network_.RunUntil([&] { return !network_.IsFrozen(focus_); }, seconds(30));
    network_.Leave(focus_);
    network_.RunFor(milliseconds(200));
    const membership* table = network_.Table(focus_);
    // A process that was restarted meanwhile stays.
    if (table != nullptr && table->Self().state == member_state::kLeft) {
      network_.Kill(focus_);
    }
    CheckLeave();
  }

  void CheckLeave() {
    // A process that is killed, frozen or restarted does not leave as planned.
    if (HitsProcess()) return;
    const instant check =
        std::max(*left_at_, network_.FaultsEnd()) + kDrainBound;
    if (check > network_.Now()) network_.RunFor(check - network_.Now());
    for (const auto& member : network_.Running()) {
      if (network_.IsFrozen(member)) continue;
      const auto& servers = network_.Routing(member)->servers;
      const bool routed = std::any_of(
          servers.begin(), servers.end(),
          [&](const auto& server) { return server.name == focus_; });
      if (routed) {
        network_.Checker().Report(promise::kDrainQuick,
                                  member + " still routes to " + focus_,
                                  network_.Now());
      }
    }
  }

  bool HitsProcess() const {
    const auto hits = [](fault which) {
      return which == fault::kKill || which == fault::kRestart ||
             which == fault::kFreeze;
    };
    return hits(faults_.first) || hits(faults_.second);
  }

  std::string AnyMember() {
    const auto members = network_.Members();
    return members[random_.Below(members.size())];
  }

  std::string step_;
  fault_pair faults_;
  control_network network_;
  random_source random_;
  std::string focus_;
  std::optional<instant> left_at_;
};

}  // namespace

const std::vector<std::string>& ControlSteps() {
  static const std::vector<std::string> steps{
      "accept",   "distribute", "stage",  "put_into_force",
      "announce", "leave",      "restart"};
  return steps;
}

void WarmUp(control_network& network) {
  network.Start();
  network.Accept();
  const bool started = network.RunUntil(
      [&] { return network.Platform().Version() == 1 && network.AllInForce(); },
      kInForceBound);
  if (!started) {
    network.Checker().Report(
        promise::kInForce,
        "not in force after the start: " + network.Describe(), network.Now());
  }
}

void CheckInForce(control_network& network) {
  if (network.FaultsEnd() > network.Now()) {
    network.RunFor(network.FaultsEnd() - network.Now());
  }
  const bool reached =
      network.RunUntil([&] { return network.AllInForce(); }, kInForceBound);
  network.RunFor(kStaysInForce);
  if (!reached || !network.AllInForce()) {
    network.Checker().Report(promise::kInForce, network.Describe(),
                             network.Now());
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
