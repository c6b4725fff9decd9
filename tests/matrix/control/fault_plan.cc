#include "matrix/control/fault_plan.h"

#include <array>
#include <chrono>

namespace pomelohall::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Half of the process faults hit the member that the step is about.
std::string Target(const control_network& network, const std::string& focus,
                   random_source& random) {
  const auto running = network.Running();
  if (random.Below(2) == 0 && network.Table(focus) != nullptr) return focus;
  return running[random.Below(running.size())];
}

// Below the pause limit, above it, and above the detection time.
duration FreezeTime(random_source& random) {
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

void Inject(fault which, control_network& network, const std::string& focus,
            random_source& random) {
  using mode = fake_platform::mode;
  switch (which) {
    case fault::kKill:
      return network.Kill(Target(network, focus, random));
    case fault::kRestart:
      return network.Restart(Target(network, focus, random),
                             milliseconds(100 + 400 * random.Below(3)));
    case fault::kFreeze:
      return network.Freeze(Target(network, focus, random), FreezeTime(random));
    case fault::kMessageLost:
      return network.AddLinkFault(link_fault::kLost, milliseconds(1500));
    case fault::kMessageDuplicated:
      return network.AddLinkFault(link_fault::kDuplicated, seconds(3));
    case fault::kMessageDelayed:
      return network.AddLinkFault(link_fault::kDelayed, seconds(3));
    case fault::kMessageCrossed:
      return network.AddLinkFault(link_fault::kCrossed, seconds(3));
    case fault::kPlatformDown:
      return network.AddPlatformFault(mode::kDown, seconds(8));
    case fault::kPlatformSlow:
      return network.AddPlatformFault(mode::kSlow, seconds(8));
    case fault::kAnswerLost:
      return network.AddPlatformFault(mode::kLoseAnswers, seconds(5));
    case fault::kPartition:
      return network.AddLinkFault(link_fault::kPartition, seconds(10),
                                  random.Below(2) == 0 ? "a" : "b");
    case fault::kOperatorRace:
      return network.AcceptRace();
    default:
      return;
  }
}

}  // namespace pomelohall::matrix
