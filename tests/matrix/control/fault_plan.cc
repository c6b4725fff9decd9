#include "matrix/control/fault_plan.h"

#include <array>
#include <chrono>

namespace pomelohall::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Half of the process faults hit the target member of the step, the others any
// running member.
std::string SelectTarget(const simulated_cluster& cluster,
                         const std::string& target_member,
                         random_source& random) {
  const auto running = cluster.Running();
  if (random.Below(2) == 0 && cluster.MemberTable(target_member) != nullptr)
    return target_member;
  return running[random.Below(running.size())];
}

// The times are below the pause limit, above it, and above the time for failure
// detection.
duration RandomFreezeTime(random_source& random) {
  constexpr std::array<duration, 3> kTimes{seconds(2), seconds(5), seconds(12)};
  return kTimes[random.Below(kTimes.size())];
}

}  // namespace

const std::vector<fault>& ControlFaults() {
  static const std::vector<fault> faults{
      fault::kKill,           fault::kRestart,           fault::kFreeze,
      fault::kMessageLost,    fault::kMessageDuplicated, fault::kMessageDelayed,
      fault::kMessageCrossed, fault::kPlatformDown,      fault::kPlatformSlow,
      fault::kAnswerLost,     fault::kPartition,         fault::kOperatorRace};
  return faults;
}

void Inject(fault which, simulated_cluster& cluster,
            const std::string& target_member, random_source& random) {
  using fault_mode = fake_platform::fault_mode;
  switch (which) {
    case fault::kKill:
      return cluster.Kill(SelectTarget(cluster, target_member, random));
    case fault::kRestart:
      return cluster.Restart(SelectTarget(cluster, target_member, random),
                             milliseconds(100 + 400 * random.Below(3)));
    case fault::kFreeze:
      return cluster.Freeze(SelectTarget(cluster, target_member, random),
                            RandomFreezeTime(random));
    case fault::kMessageLost:
      return cluster.AddLinkFault(link_fault::kLost, milliseconds(1500));
    case fault::kMessageDuplicated:
      return cluster.AddLinkFault(link_fault::kDuplicated, seconds(3));
    case fault::kMessageDelayed:
      return cluster.AddLinkFault(link_fault::kDelayed, seconds(3));
    case fault::kMessageCrossed:
      return cluster.AddLinkFault(link_fault::kReordered, seconds(3));
    case fault::kPlatformDown:
      return cluster.AddPlatformFault(fault_mode::kDown, seconds(8));
    case fault::kPlatformSlow:
      return cluster.AddPlatformFault(fault_mode::kSlow, seconds(8));
    case fault::kAnswerLost:
      return cluster.AddPlatformFault(fault_mode::kLoseAnswers, seconds(5));
    case fault::kPartition:
      return cluster.AddLinkFault(link_fault::kPartition, seconds(10),
                                  random.Below(2) == 0 ? "a" : "b");
    case fault::kOperatorRace:
      return cluster.ApplyConflictingChanges();
    default:
      return;
  }
}

}  // namespace pomelohall::matrix
