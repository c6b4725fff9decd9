#include <rapidcheck.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <ostream>
#include <string>
#include <vector>

#include "matrix/control/control_network.h"
#include "matrix/control/fault_plan.h"
#include "matrix/control/scenario.h"

namespace pomelohall::matrix {

/// One step of a generated sequence: a change, a fault or both, then a pause.
struct sequence_step {
  bool change = false;
  fault which = fault::kNone;
  int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const sequence_step& step) {
  return out << (step.change ? "change " : "") << FaultName(step.which)
             << " pause " << step.pause_ms;
}

namespace {

// The number of sequences keeps the test below 10 s. RC_PARAMS in the
// environment replaces the parameters, to replay a failure by its seed.
constexpr const char* kParameters = "seed=20260101 max_success=400";

constexpr std::size_t kMaxSteps = 8;
// More dead members leave a data centre without a majority of its members.
constexpr std::size_t kMaxKills = 2;

rc::Gen<sequence_step> AnyStep() {
  const auto& faults = ControlFaults();
  std::vector<fault> choices(faults);
  choices.push_back(fault::kNone);
  return rc::gen::build<sequence_step>(
      rc::gen::set(&sequence_step::change),
      rc::gen::set(&sequence_step::which, rc::gen::elementOf(choices)),
      rc::gen::set(&sequence_step::pause_ms, rc::gen::inRange(0, 4000)));
}

std::vector<violation> Run(const std::vector<sequence_step>& steps,
                           std::uint64_t seed) {
  control_network network(seed, "");
  random_source random(seed);
  WarmUp(network);
  std::size_t kills = 0;
  for (const auto& step : steps) {
    const auto members = network.Members();
    if (step.change) network.Accept();
    if (step.which != fault::kKill || kills++ < kMaxKills) {
      Inject(step.which, network, members[random.Below(members.size())],
             random);
    }
    if (random.Below(4) == 0) network.SlowMembers(std::chrono::seconds(4));
    network.RunFor(std::chrono::milliseconds(step.pause_ms));
  }
  CheckInForce(network);
  return network.Checker().Violations();
}

}  // namespace

// Guards against combinations of more than two faults that break a promise.
TEST_CASE("ControlNetwork_GeneratedFaults_KeepPromises") {
  setenv("RC_PARAMS", kParameters, 0);
  const bool held = rc::check("promises hold under generated faults", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto steps = *rc::gen::resize(
        kMaxSteps, rc::gen::container<std::vector<sequence_step>>(AnyStep()));
    const auto violations = Run(steps, seed);
    for (const auto& found : violations) {
      RC_LOG() << PromiseName(found.which) << ": " << found.detail << "\n";
    }
    RC_ASSERT(violations.empty());
  });
  CHECK(held);
}

}  // namespace pomelohall::matrix
