#include "distribution/distribution.h"

#include <catch2/catch.hpp>
#include <memory>

namespace pomelohall {
namespace {

template <typename Action>
std::vector<Action> ActionsOf(const distribution_actions& actions) {
  std::vector<Action> found;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

template <typename Message>
std::vector<std::string> Receivers(const distribution_actions& actions) {
  std::vector<std::string> names;
  for (const auto& send : ActionsOf<send_to_member>(actions)) {
    if (std::holds_alternative<Message>(send.body)) {
      names.push_back(send.member);
    }
  }
  return names;
}

// The daemon "a3" of a data centre with four members. It is not a reader.
class distribution_fixture {
 protected:
  distribution_fixture() {
    view_.self = "a3";
    view_.incarnation = 30;
    view_.data_centre = "a";
    view_.neighbours = {"a1", "a2", "a4"};
    view_.readers = {"a1", "a2"};
    view_.members = {{"a1", 10}, {"a2", 20}, {"a3", 30}, {"a4", 40}};
    view_.quorum_members = 4;
    view_.complete = true;
    daemon_.OnMembership(view_, now_);
  }

  static config_image_ptr Version(config_version version) {
    config_image_ptr image;
    for (config_version i = 1; i <= version; ++i) {
      const configuration document{
          .services = {{"orders"}},
          .classes = {{.name = "read",
                       .service = "orders",
                       .kind = class_kind::kLookup,
                       .target = {.within_ms = static_cast<std::int64_t>(i)}}},
          .routes = {}};
      image = *BuildImage(document, image.get(), "c" + std::to_string(i));
    }
    return image;
  }

  distribution_actions Offer(const std::string& from, config_version version,
                             config_version committed) {
    return daemon_.OnMessage(
        from,
        offer_message{.version = version, .digest = {}, .committed = committed},
        now_);
  }

  distribution_actions Deliver(const std::string& from, config_version version,
                               config_version base) {
    return daemon_.OnMessage(
        from, delta_message{MakeDelta(*Version(version), base)}, now_);
  }

  void Recover(config_version floor) {
    // The answer must repeat the id of the query to the reader.
    for (int i = 0; i < 2; ++i) {
      now_ += std::chrono::seconds(1);
      for (const auto& send : ActionsOf<send_to_member>(daemon_.Tick(now_))) {
        if (const auto* query = std::get_if<fresh_query_message>(&send.body)) {
          daemon_.OnMessage(
              send.member,
              fresh_answer_message{
                  .id = query->id, .version = floor, .available = true},
              now_);
          return;
        }
      }
    }
    FAIL("no fresh query");
  }

  instant now_{};
  membership_view view_;
  distribution daemon_{distribution_options{}, 1};
};

}  // namespace

TEST_CASE_METHOD(distribution_fixture,
                 "Distribution_CommittedVersion_InForce") {
  Recover(1);
  CHECK(Receivers<pull_message>(Offer("a4", 1, 0)) ==
        std::vector<std::string>{"a4"});
  const auto staged = Deliver("a4", 1, 0);
  CHECK(Receivers<ack_message>(staged) == view_.readers);
  CHECK(ActionsOf<put_in_force>(staged).empty());
  const auto committed = Offer("a1", 1, 1);
  REQUIRE(ActionsOf<put_in_force>(committed).size() == 1);
  CHECK(daemon_.Recovered());
}

// Guards against a starting daemon that ranks itself as a reader because it
// knows no other member yet, and reads the whole state from the platform.
TEST_CASE("Distribution_IncompleteView_DoesNotReadPlatform") {
  distribution daemon{distribution_options{}, 1};
  membership_view view;
  view.self = "a1";
  view.data_centre = "a";
  view.readers = {"a1"};
  view.members = {{"a1", 10}};
  view.quorum_members = 1;
  auto actions = daemon.OnMembership(view, instant{});
  CHECK(ActionsOf<watch_head>(actions).empty());
  CHECK(ActionsOf<read_head>(actions).empty());
  view.complete = true;
  actions = daemon.OnMembership(view, instant{});
  CHECK(ActionsOf<watch_head>(actions).size() == 1);
}

// Guards against relying on the commit of another data centre: no member of its
// quorum answers the recovery queries of this data centre.
TEST_CASE_METHOD(distribution_fixture,
                 "Distribution_OtherCommit_DoesNotCount") {
  Recover(1);
  Offer("a4", 1, 0);
  Deliver("a4", 1, 0);
  CHECK(ActionsOf<put_in_force>(Offer("b1", 1, 1)).empty());
}

// Guards against a restarted daemon that puts a version into force that is
// older than the one before the restart.
TEST_CASE_METHOD(distribution_fixture, "Distribution_BelowFloor_NotInForce") {
  Recover(2);
  Offer("a4", 1, 1);
  CHECK(ActionsOf<put_in_force>(Deliver("a4", 1, 0)).empty());
  Offer("a4", 2, 2);
  CHECK(ActionsOf<put_in_force>(Deliver("a4", 2, 1)).size() == 1);
}

TEST_CASE_METHOD(distribution_fixture, "Distribution_SilentOfferer_AsksNext") {
  Recover(1);
  Offer("a4", 1, 0);
  Deliver("a4", 1, 0);
  CHECK(Receivers<pull_message>(Offer("a1", 2, 0)) ==
        std::vector<std::string>{"a1"});
  CHECK(Receivers<pull_message>(Offer("a2", 2, 0)).empty());
  now_ += std::chrono::milliseconds(1100);
  CHECK(Receivers<pull_message>(daemon_.Tick(now_)) ==
        std::vector<std::string>{"a2"});
}

// Guards against a mass restart that overloads single members with transfers of
// the full state.
TEST_CASE_METHOD(distribution_fixture, "Distribution_ThirdFullState_IsBusy") {
  Offer("a4", 1, 0);
  Deliver("a4", 1, 0);
  const pull_message full{.base = 0};
  CHECK(Receivers<delta_message>(daemon_.OnMessage("a1", full, now_)).size() ==
        1);
  CHECK(Receivers<delta_message>(daemon_.OnMessage("a2", full, now_)).size() ==
        1);
  CHECK(Receivers<busy_message>(daemon_.OnMessage("a4", full, now_)).size() ==
        1);
}

TEST_CASE_METHOD(distribution_fixture, "Distribution_BadDelta_IsRefusedWhole") {
  Recover(1);
  Offer("a4", 1, 1);
  auto delta = MakeDelta(*Version(1), 0);
  delta.items.pop_back();
  const auto actions = daemon_.OnMessage("a4", delta_message{delta}, now_);
  CHECK(ActionsOf<delta_refused>(actions).size() == 1);
  CHECK(daemon_.StagedVersion() == 0);
}

// Guards against a paused daemon that answers a recovery query with an outdated
// version and so lowers the floor of another daemon.
TEST_CASE_METHOD(distribution_fixture, "Distribution_Paused_RecoversAgain") {
  Recover(1);
  Offer("a4", 1, 1);
  Deliver("a4", 1, 0);
  CHECK(daemon_.Recovered());
  now_ += std::chrono::seconds(10);
  daemon_.Tick(now_);
  CHECK_FALSE(daemon_.Recovered());
  CHECK(daemon_.InForce() != nullptr);
}

// Guards against a burst of changes during which no version is put into force.
TEST_CASE_METHOD(distribution_fixture, "Distribution_Burst_LowerCommitCounts") {
  Recover(1);
  for (config_version version = 1; version <= 8; ++version) {
    Offer("a4", version, 0);
    Deliver("a4", version, version - 1);
  }
  const auto actions = ActionsOf<put_in_force>(Offer("a1", 8, 3));
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].image->head.version == 3);
}

}  // namespace pomelohall
