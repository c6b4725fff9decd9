#include "distribution/recovery.h"

#include <catch2/catch.hpp>

namespace pomelohall {
namespace {

class recovery_fixture {
 protected:
  recovery_fixture() {
    view_.self = "a1";
    view_.readers = {"a2", "a3"};
    view_.members = {{"a1", 1}, {"a2", 1}, {"a3", 1}, {"a4", 1}, {"a5", 1}};
    view_.quorum_members = 5;
    recovery_.Begin(77, now_);
  }

  void Answer(const std::string& from, config_version version,
              bool recovered = true, std::uint64_t id = 77) {
    recovery_.OnRecoverAnswer(from,
                              {.id = id,
                               .version = version,
                               .recovered = recovered,
                               .member_count = 5},
                              view_);
  }

  instant now_{};
  membership_view view_;
  recovery recovery_{distribution_options{}};
};

}  // namespace

TEST_CASE_METHOD(recovery_fixture, "Recovery_FreshHead_IsFloor") {
  CHECK(recovery_.Tick(view_, now_).fresh_query_to == "a2");
  CHECK_FALSE(recovery_.Tick(view_, now_).fresh_query_to);
  recovery_.OnFreshAnswer({.id = 76, .version = 9, .available = true});
  CHECK_FALSE(recovery_.Floor());
  recovery_.OnFreshAnswer({.id = 77, .version = 9, .available = true});
  CHECK(recovery_.Floor() == config_version{9});
}

// Guards against a mass restart in which every daemon ranks itself as a reader
// and reads from the platform.
TEST_CASE_METHOD(recovery_fixture, "Recovery_IncompleteView_AsksOthers") {
  view_.readers = {"a1"};
  CHECK_FALSE(recovery_.Tick(view_, now_).fresh_query_to);
  view_.complete = true;
  CHECK(recovery_.Tick(view_, now_).fresh_query_to == "a1");
}

TEST_CASE_METHOD(recovery_fixture, "Recovery_SilentReaders_AsksMembers") {
  CHECK(recovery_.Tick(view_, now_).recover_query_to.empty());
  now_ += std::chrono::seconds(3);
  CHECK(recovery_.Tick(view_, now_).recover_query_to.size() == 4);
}

// Guards against a floor computed from fewer than R answers, from members that
// have not recovered themselves, from unknown members or from answers with
// another id.
TEST_CASE_METHOD(recovery_fixture, "Recovery_Members_NeedsQuorum") {
  recovery_.OnFreshAnswer({.id = 77, .version = 0, .available = false});
  CHECK_FALSE(recovery_.Tick(view_, now_).recover_query_to.empty());
  Answer("a2", 4);
  Answer("a2", 4);
  Answer("a3", 9, false);
  Answer("a4", 9, true, 76);
  Answer("unknown", 9);
  Answer("a4", 5);
  CHECK_FALSE(recovery_.Floor());
  Answer("a5", 3);
  CHECK(recovery_.Floor() == config_version{5});
}

// Guards against commit and recovery quorums that do not overlap.
TEST_CASE("Recovery_Quorums_AlwaysOverlap") {
  for (std::size_t members = 1; members < 50; ++members) {
    CHECK(CommitQuorum(members) + RecoverQuorum(members) > members);
    CHECK(2 * CommitQuorum(members) > members);
  }
}

}  // namespace pomelohall
