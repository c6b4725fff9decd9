#include "base/error.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <set>
#include <string_view>

namespace pomelohall {

// Guards against an error kind without a row, or rows in another order than the
// enumeration: AnswerFor() would then return the row of another kind.
TEST_CASE("ErrorTable_EveryRow_StandsAtTheIndexOfItsKind") {
  const auto answers = AllErrorAnswers();
  CHECK(answers.size() == static_cast<std::size_t>(error_kind::kInternal) + 1);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    CHECK(static_cast<std::size_t>(answers[i].kind) == i);
    CHECK(FindErrorKind(answers[i].name) == answers[i].kind);
  }
}

// Guards against two kinds that callers cannot distinguish.
TEST_CASE("ErrorTable_Names_AreUnique") {
  std::set<std::string_view> names;
  for (const auto& answer : AllErrorAnswers()) names.insert(answer.name);
  CHECK(names.size() == AllErrorAnswers().size());
}

// Guards against advice that would make a caller run a request twice.
TEST_CASE("ErrorTable_ImmediateRetry_OnlyWhenNotRunOrCancelled") {
  for (const auto& answer : AllErrorAnswers()) {
    if (answer.advice != retry_advice::kRetry) continue;
    CHECK((answer.ran == run_state::kNotRun ||
           answer.kind == error_kind::kCancelled));
  }
}

}  // namespace pomelohall
