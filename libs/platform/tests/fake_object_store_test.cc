#include "platform/fake_object_store.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace pomelohall {
namespace {

class fake_fixture {
 protected:
  static stored_object Head(const std::string& version,
                            const std::string& spec) {
    return {.plural = "configheads",
            .name = "head",
            .resource_version = version,
            .spec = spec};
  }

  object_store::object_callback Keep() {
    answer_.reset();
    return [this](result<stored_object> got) { answer_ = std::move(got); };
  }

  fake_object_store store_;
  std::optional<result<stored_object>> answer_;
};

}  // namespace

// Guards against a fake that also discards the write when its response is lost.
TEST_CASE_METHOD(fake_fixture, "FakeStore_AnswerLost_WriteTookEffect") {
  store_.LoseResponses(1);
  store_.Create(Head("", "1"), Keep());
  store_.Advance();
  REQUIRE(answer_.has_value());
  CHECK(answer_->error().ran == run_state::kUnknown);
  CHECK(store_.Table().Get("configheads", "head")->spec == "1");
}

TEST_CASE_METHOD(fake_fixture, "FakeStore_Down_WriteHasNoEffect") {
  store_.SetDown(true);
  store_.Create(Head("", "1"), Keep());
  store_.Advance();
  REQUIRE(answer_.has_value());
  CHECK(answer_->error().ran == run_state::kNotRun);
  CHECK_FALSE(store_.Table().Get("configheads", "head").has_value());
}

TEST_CASE_METHOD(fake_fixture, "FakeStore_Wait_EndsOnChangeOrTimeout") {
  const auto first = store_.Table().Create(Head("", "1"));
  store_.WaitForChange("configheads", "head", first->resource_version, 1000,
                       Keep());
  CHECK(store_.Advance(std::chrono::milliseconds(999)) == 0);
  SECTION("a change ends it with the new object") {
    REQUIRE(store_.Table().Update(Head(first->resource_version, "2")));
    CHECK(store_.Advance() == 1);
    CHECK((*answer_)->spec == "2");
  }
  SECTION("the timeout ends it with the unchanged object") {
    CHECK(store_.Advance(std::chrono::milliseconds(1)) == 1);
    CHECK((*answer_)->spec == "1");
  }
}

// Guards against lost updates by concurrent writers.
TEST_CASE_METHOD(fake_fixture, "FakeStore_UpdateOfOldVersion_IsConflict") {
  const auto first = store_.Table().Create(Head("", "1"));
  REQUIRE(store_.Table().Update(Head(first->resource_version, "2")));
  store_.Update(Head(first->resource_version, "3"), Keep());
  store_.Advance();
  CHECK(answer_->error().kind == error_kind::kConflict);
}

}  // namespace pomelohall
