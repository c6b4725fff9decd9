#include <rapidcheck.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <ostream>
#include <string>
#include <vector>

#include "matrix/control/fault_plan.h"
#include "matrix/control/scenario.h"
#include "matrix/control/simulated_cluster.h"

namespace pomelohall::matrix {

/// One step of a generated sequence: a configuration change, a fault, both or
/// none, followed by a pause.
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

// The number of sequences keeps the test below 10 s. The environment variable
// RC_PARAMS overrides the parameters, for example to replay a failing seed.
constexpr const char* kRapidCheckParameters = "seed=20260101 max_success=400";

constexpr std::size_t kMaxSteps = 8;
// More killed members could leave a data centre without a majority.
constexpr std::size_t kMaxKills = 2;

rc::Gen<sequence_step> GenerateStep() {
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
  simulated_cluster cluster(seed, "");
  random_source random(seed);
  WarmUp(cluster);
  std::size_t kills = 0;
  for (const auto& step : steps) {
    const auto members = cluster.Members();
    if (step.change) cluster.ApplyChange();
    if (step.which != fault::kKill || kills++ < kMaxKills) {
      Inject(step.which, cluster, members[random.Below(members.size())],
             random);
    }
    if (random.Below(4) == 0) cluster.SlowMembers(std::chrono::seconds(4));
    cluster.RunFor(std::chrono::milliseconds(step.pause_ms));
  }
  CheckInForce(cluster);
  return cluster.Checker().Violations();
}

}  // namespace

// Guards against combinations of more than two faults that violate a guarantee.
TEST_CASE("SimulatedCluster_GeneratedFaults_KeepGuarantees") {
  setenv("RC_PARAMS", kRapidCheckParameters, 0);
  const bool held = rc::check("guarantees hold under generated faults", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto steps = *rc::gen::resize(
        kMaxSteps,
        rc::gen::container<std::vector<sequence_step>>(GenerateStep()));
    const auto violations = Run(steps, seed);
    for (const auto& found : violations) {
      RC_LOG() << GuaranteeName(found.which) << ": " << found.detail << "\n";
    }
    RC_ASSERT(violations.empty());
  });
  CHECK(held);
}

}  // namespace pomelohall::matrix
