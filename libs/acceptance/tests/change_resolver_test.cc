#include "acceptance/change_resolver.h"

#include <catch2/catch.hpp>

#include "acceptance_driver.h"

namespace pomelohall {

TEST_CASE_METHOD(acceptance_fixture, "Resolve_LostRace_NamesTheWinner") {
  Accept(5, "a");
  const auto winner = Accept(6, "b");
  const auto done = Resolve("2-other");
  CHECK(done.outcome.error().kind == error_kind::kConflict);
  CHECK(done.winner == *winner.outcome);
}

TEST_CASE_METHOD(acceptance_fixture, "Resolve_HeadBelowVersion_IsNotFound") {
  CHECK(Resolve("1-a").outcome.error().kind == error_kind::kNotFound);
  Accept(5, "a");
  CHECK(Resolve("2-b").outcome.error().kind == error_kind::kNotFound);
}

// Guards against a definite answer once the head no longer lists the change id.
TEST_CASE_METHOD(acceptance_fixture,
                 "Resolve_After64Versions_DependsOnTheHead") {
  for (int i = 0; i < 64; ++i) Accept(i + 1, "n" + std::to_string(i));
  CHECK(Resolve("1-n0").outcome->version == 1);
  Accept(65, "n64");
  CHECK(Resolve("1-n0").outcome.error().kind == error_kind::kOutcomeUnknown);
}

TEST_CASE_METHOD(acceptance_fixture, "Resolve_PlatformDown_StaysUnknown") {
  Accept(5, "a");
  store_.SetDown(true);
  const auto done = Resolve("1-a");
  CHECK(done.outcome.error().kind == error_kind::kOutcomeUnknown);
  CHECK(done.change_id == "1-a");
}

TEST_CASE_METHOD(acceptance_fixture, "Resolve_MalformedId_IsInvalidRequest") {
  for (const char* id : {"", "a", "1", "1-", "-a", "0-a"}) {
    CHECK(Resolve(id).outcome.error().kind == error_kind::kInvalidRequest);
  }
}

}  // namespace pomelohall
