#include "membership/membership.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace pomelohall {
namespace {

// Runs the state machines of several daemons with an in-memory network, which
// delivers messages without delay.
class membership_fixture {
 protected:
  static constexpr duration kTickInterval = std::chrono::milliseconds(100);

  void Start(const std::string& name, const std::string& data_centre,
             std::uint64_t incarnation) {
    membership_options options;
    options.cluster = "test";
    options.self.name = name;
    options.self.data_centre = data_centre;
    options.self.peer_address = "addr-" + name;
    options.self.incarnation = incarnation;
    options.seeds = {"addr-a1", "addr-a2", "addr-b1"};
    members_[name] = std::make_unique<membership>(options, incarnation);
  }

  void StartAll() {
    for (const char* name : {"a1", "a2", "a3", "a4", "a5"}) {
      Start(name, "a", 100);
    }
    for (const char* name : {"b1", "b2", "b3"}) Start(name, "b", 100);
    Run(5);
  }

  void Run(int seconds) {
    const instant end = now_ + std::chrono::seconds(seconds);
    for (; now_ < end; now_ += kTickInterval) {
      for (auto& [name, daemon] : members_) {
        if (!paused_.contains(name)) Dispatch(name, daemon->Tick(now_));
      }
      Deliver();
    }
  }

  void Dispatch(const std::string& from, membership_actions actions) {
    for (auto& action : actions) {
      if (auto* send = std::get_if<send_to_member>(&action)) {
        queue_.push_back({from, send->member, std::move(send->body)});
      } else if (auto* hello = std::get_if<send_to_address>(&action)) {
        queue_.push_back(
            {from, hello->address.substr(5), std::move(hello->body)});
      }
    }
  }

  void Deliver() {
    for (int hop = 0; hop < 50 && !queue_.empty(); ++hop) {
      for (auto& item : std::exchange(queue_, {})) {
        const auto to = members_.find(item.to);
        if (to == members_.end() || paused_.contains(item.to)) continue;
        if (partitioned_ && item.from[0] != item.to[0]) continue;
        Dispatch(item.to, to->second->OnMessage(item.from, item.body, now_));
      }
    }
    REQUIRE(queue_.empty());  // the exchange of messages must terminate
  }

  member_state StateAt(const std::string& at, const std::string& of) {
    const auto* record = members_.at(at)->Find(of);
    REQUIRE(record != nullptr);
    return record->state;
  }

  struct queued_message {
    std::string from;
    std::string to;
    peer_message body;
  };

  std::map<std::string, std::unique_ptr<membership>> members_;
  std::set<std::string> paused_;
  std::vector<queued_message> queue_;
  bool partitioned_ = false;
  instant now_{};
};

}  // namespace

TEST_CASE_METHOD(membership_fixture, "Membership_Start_AllKnowAll") {
  StartAll();
  for (const auto& [name, daemon] : members_) {
    INFO(name);
    CHECK(daemon->Records().size() == 8);
    CHECK(daemon->Complete());
    CHECK(daemon->QuorumMembers(now_) == (name[0] == 'a' ? 5 : 3));
    CHECK(daemon->Readers() ==
          members_.at(name[0] == 'a' ? "a1" : "b1")->Readers());
    CHECK(daemon->RemoteReaders().size() == 2);
  }
}

// Guards against a quorum that never shrinks after a failure, or that shrinks
// before `departed_quorum_time` has passed.
TEST_CASE_METHOD(membership_fixture, "Membership_Kill_DeadThenOutOfQuorum") {
  StartAll();
  members_.erase("a3");
  Run(5);
  CHECK(StateAt("a1", "a3") == member_state::kSuspect);
  Run(3);
  CHECK(StateAt("a1", "a3") == member_state::kDead);
  CHECK(StateAt("b3", "a3") == member_state::kDead);
  CHECK(members_.at("a1")->QuorumMembers(now_) == 5);
  Run(10);
  CHECK(members_.at("a1")->QuorumMembers(now_) == 4);
}

TEST_CASE_METHOD(membership_fixture, "Membership_Restart_ComesBack") {
  StartAll();
  members_.erase("a3");
  Run(20);
  Start("a3", "a", 200);
  Run(3);
  CHECK(StateAt("b2", "a3") == member_state::kAlive);
  CHECK(members_.at("a3")->Records().size() == 8);
  CHECK(members_.at("a3")->Complete());
}

// Guards against a restarted process whose clock is behind: the records of its
// earlier process would override its own.
TEST_CASE_METHOD(membership_fixture, "Membership_LowerIncarnation_IsRaised") {
  StartAll();
  members_.erase("a3");
  Run(20);
  Start("a3", "a", 50);
  Run(4);
  CHECK(members_.at("a3")->Self().incarnation > 100);
  CHECK(StateAt("a1", "a3") == member_state::kAlive);
}

// Guards against a seed that restarts together with all other seeds and then
// assumes that its table is complete before other members contacted it, which
// gives too small a quorum.
TEST_CASE_METHOD(membership_fixture, "Membership_AllSeedsRestart_FindOthers") {
  StartAll();
  for (const char* name : {"a1", "a2", "b1"}) members_.erase(name);
  Run(1);
  for (const char* name : {"a1", "a2"}) Start(name, "a", 200);
  Start("b1", "b", 200);
  for (int i = 0; i < 200; ++i) {
    const auto& daemon = *members_.at("a1");
    if (daemon.Complete()) {
      CHECK(daemon.QuorumMembers(now_) == 5);
    }
    const instant end = now_ + kTickInterval;
    for (; now_ < end; now_ += kTickInterval) {
      for (auto& [name, member] : members_) Dispatch(name, member->Tick(now_));
      Deliver();
    }
  }
  CHECK(members_.at("a1")->Complete());
}

// Guards against a paused process that suspects the other members when it
// resumes, and against one that stays dead in the other members' tables.
TEST_CASE_METHOD(membership_fixture, "Membership_PauseAndResume_Refutes") {
  StartAll();
  const auto interruptions = members_.at("a2")->View(now_).interruptions;
  paused_.insert("a2");
  Run(12);
  CHECK(StateAt("a4", "a2") == member_state::kDead);
  paused_.erase("a2");
  Run(2);
  CHECK(StateAt("a4", "a2") == member_state::kAlive);
  CHECK(StateAt("a2", "a4") == member_state::kAlive);
  CHECK(members_.at("a2")->View(now_).interruptions > interruptions);
}

// Guards against marking the members of an unreachable data centre as dead.
TEST_CASE_METHOD(membership_fixture,
                 "Membership_Partition_UnreachableNotDead") {
  StartAll();
  partitioned_ = true;
  Run(8);
  CHECK(members_.at("a5")->UnreachableDataCentres() ==
        std::vector<std::string>{"b"});
  CHECK(members_.at("b3")->UnreachableDataCentres() ==
        std::vector<std::string>{"a"});
  CHECK(StateAt("a1", "b2") == member_state::kAlive);
  partitioned_ = false;
  Run(3);
  CHECK(members_.at("a5")->UnreachableDataCentres().empty());
}

// Guards against data centres that stay unreachable after a network partition
// during which all readers of both sides were replaced.
TEST_CASE_METHOD(membership_fixture,
                 "Membership_ReadersReplacedInPartition_Reconnects") {
  StartAll();
  partitioned_ = true;
  const auto readers_a = members_.at("a1")->Readers();
  const auto readers_b = members_.at("b1")->Readers();
  for (const auto& name : readers_a) members_.erase(name);
  for (const auto& name : readers_b) members_.erase(name);
  Run(20);
  partitioned_ = false;
  Run(10);
  for (const auto& [name, daemon] : members_) {
    CHECK(daemon->UnreachableDataCentres().empty());
    CHECK(StateAt(name, readers_a[0]) == member_state::kDead);
    CHECK(StateAt(name, readers_b[0]) == member_state::kDead);
  }
}

TEST_CASE_METHOD(membership_fixture,
                 "Membership_BackendAndLeave_AreAnnounced") {
  StartAll();
  Dispatch(
      "a3",
      members_.at("a3")->SetBackend(
          {.service = "s", .slots = 20, .state = backend_state::kReady}, now_));
  Run(1);
  CHECK(members_.at("b2")->Find("a3")->backend.state == backend_state::kReady);
  Dispatch("a3", members_.at("a3")->Leave(now_));
  Deliver();
  members_.erase("a3");
  Run(1);
  CHECK(StateAt("b2", "a3") == member_state::kLeft);
  // A member that left counts in the quorum for `departed_quorum_time`.
  CHECK(members_.at("a1")->QuorumMembers(now_) == 5);
  Run(10);
  CHECK(members_.at("a1")->QuorumMembers(now_) == 4);
}

}  // namespace pomelohall
