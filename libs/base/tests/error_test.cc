#include "base/error.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <set>
#include <string_view>

namespace pomelohall {

// Guards against an error kind without a row, or rows in another order than the
// enumeration: GetErrorInfo() would then return the row of another kind.
TEST_CASE("ErrorTable_EveryRow_StandsAtTheIndexOfItsKind") {
  const auto infos = ErrorTable();
  CHECK(infos.size() == static_cast<std::size_t>(error_kind::kInternal) + 1);
  for (std::size_t i = 0; i < infos.size(); ++i) {
    CHECK(static_cast<std::size_t>(infos[i].kind) == i);
    CHECK(FindErrorKind(infos[i].name) == infos[i].kind);
  }
}

// Guards against two kinds that callers cannot distinguish.
TEST_CASE("ErrorTable_Names_AreUnique") {
  std::set<std::string_view> names;
  for (const auto& info : ErrorTable()) names.insert(info.name);
  CHECK(names.size() == ErrorTable().size());
}

// Guards against advice that would make a caller run a request twice.
TEST_CASE("ErrorTable_ImmediateRetry_OnlyWhenNotRunOrCancelled") {
  for (const auto& info : ErrorTable()) {
    if (info.advice != retry_advice::kRetry) continue;
    CHECK((info.ran == run_state::kNotRun ||
           info.kind == error_kind::kCancelled));
  }
}

}  // namespace pomelohall
