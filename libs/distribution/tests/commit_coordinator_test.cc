#include "distribution/commit_coordinator.h"

#include <catch2/catch.hpp>

namespace pomelohall {
namespace {

class commit_coordinator_fixture {
 protected:
  commit_coordinator_fixture() {
    view_.self = "a1";
    view_.data_centre = "a";
    view_.members = {
        {"a1", 10}, {"a2", 20}, {"a3", 30}, {"a4", 40}, {"a5", 50}};
    view_.quorum_members = 5;
    view_.complete = true;
  }

  void Ack(const std::string& member, config_version version) {
    Ack(member, version, view_.members.at(member));
  }

  void Ack(const std::string& member, config_version version,
           std::uint64_t incarnation) {
    coordinator_.OnAck(member, {.version = version,
                                .incarnation = incarnation,
                                .in_force = version - 1});
  }

  std::optional<config_version> Confirm(const std::string& member,
                                        const confirm_message& confirm) {
    return Confirm(member, confirm, view_.members.at(member));
  }

  std::optional<config_version> Confirm(const std::string& member,
                                        const confirm_message& confirm,
                                        std::uint64_t incarnation) {
    return coordinator_.OnConfirmed(member,
                                    {.version = confirm.version,
                                     .round = confirm.round,
                                     .incarnation = incarnation},
                                    view_);
  }

  membership_view view_;
  commit_coordinator coordinator_{distribution_options{}, 1000};
  instant now_{};
};

}  // namespace

TEST_CASE_METHOD(commit_coordinator_fixture, "Commit_Quorum_TakesBothPhases") {
  Ack("a1", 7);
  Ack("a2", 7);
  CHECK_FALSE(coordinator_.StartRound(6, view_, now_));
  Ack("a3", 8);  // holds at least 7
  const auto round = coordinator_.StartRound(6, view_, now_);
  REQUIRE(round);
  CHECK(round->confirm.version == 7);
  CHECK(round->members.size() == 3);
  CHECK_FALSE(Confirm("a1", round->confirm));
  CHECK_FALSE(Confirm("a1", round->confirm));  // duplicated
  CHECK_FALSE(Confirm("a4", round->confirm));  // was not asked
  CHECK_FALSE(Confirm("a2", round->confirm));
  CHECK(Confirm("a3", round->confirm) == config_version{7});
}

// Guards against counting a member that restarted and lost the version.
TEST_CASE_METHOD(commit_coordinator_fixture,
                 "Commit_OtherIncarnation_DoesNotCount") {
  Ack("a1", 7);
  Ack("a2", 7);
  Ack("a3", 7, 29);
  CHECK_FALSE(coordinator_.StartRound(6, view_, now_));
  Ack("a3", 7);
  const auto round = coordinator_.StartRound(6, view_, now_);
  REQUIRE(round);
  CHECK_FALSE(Confirm("a1", round->confirm));
  CHECK_FALSE(Confirm("a2", round->confirm));
  CHECK_FALSE(Confirm("a3", round->confirm, 31));
  CHECK(Confirm("a3", round->confirm));
}

// Guards against counting answers to an earlier round, and against a quorum
// computed before more members joined between the phases.
TEST_CASE_METHOD(commit_coordinator_fixture,
                 "Commit_OldRoundOrMoreMembers_Waits") {
  for (const char* member : {"a1", "a2", "a3", "a4"}) Ack(member, 7);
  const auto first = coordinator_.StartRound(6, view_, now_);
  REQUIRE(first);
  CHECK_FALSE(coordinator_.StartRound(6, view_, now_));
  now_ += std::chrono::seconds(2);
  const auto second = coordinator_.StartRound(6, view_, now_);
  REQUIRE(second);
  view_.quorum_members = 7;
  for (const char* member : {"a1", "a2", "a3"}) {
    CHECK_FALSE(Confirm(member, first->confirm));
    CHECK_FALSE(Confirm(member, second->confirm));
  }
  CHECK(Confirm("a4", second->confirm));
}

// Guards against a commit by a daemon that does not know all members yet.
TEST_CASE_METHOD(commit_coordinator_fixture, "Commit_IncompleteView_Waits") {
  view_.complete = false;
  for (const char* member : {"a1", "a2", "a3"}) Ack(member, 7);
  CHECK_FALSE(coordinator_.StartRound(6, view_, now_));
}

TEST_CASE_METHOD(commit_coordinator_fixture,
                 "Status_MixedVersions_AreCounted") {
  for (const char* member : {"a1", "a2", "a3"}) Ack(member, 8);
  Ack("a4", 7);
  CHECK(coordinator_.Status(view_).lowest_version == 0);  // no ack from a5
  Ack("a5", 7);
  const auto status = coordinator_.Status(view_);
  CHECK(status == in_force_summary{.data_centre = "a",
                                   .members = 5,
                                   .lowest_version = 6,
                                   .highest_version = 7,
                                   .members_at_highest = 3});
}

}  // namespace pomelohall
