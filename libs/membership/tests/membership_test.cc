#include "membership/membership.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace pomelohall {
namespace {

// Connects a few real machines with a fixed delay of 1 ms.
class membership_fixture {
 protected:
  static constexpr duration kStep = std::chrono::milliseconds(100);

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
    for (; now_ < end; now_ += kStep) {
      for (auto& [name, machine] : members_) {
        if (!frozen_.contains(name)) Carry(name, machine->Tick(now_));
      }
      Deliver();
    }
  }

  void Carry(const std::string& from, membership_actions actions) {
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
        if (to == members_.end() || frozen_.contains(item.to)) continue;
        if (cut_ && item.from[0] != item.to[0]) continue;
        Carry(item.to, to->second->OnMessage(item.from, item.body, now_));
      }
    }
    REQUIRE(queue_.empty());  // no endless exchange
  }

  member_state StateAt(const std::string& at, const std::string& of) {
    const auto* record = members_.at(at)->Find(of);
    REQUIRE(record != nullptr);
    return record->state;
  }

  struct in_flight {
    std::string from;
    std::string to;
    peer_message body;
  };

  std::map<std::string, std::unique_ptr<membership>> members_;
  std::set<std::string> frozen_;
  std::vector<in_flight> queue_;
  bool cut_ = false;
  instant now_{};
};

}  // namespace

TEST_CASE_METHOD(membership_fixture, "Membership_Start_AllKnowAll") {
  StartAll();
  for (const auto& [name, machine] : members_) {
    INFO(name);
    CHECK(machine->Records().size() == 8);
    CHECK(machine->Complete());
    CHECK(machine->QuorumMembers(now_) == (name[0] == 'a' ? 5 : 3));
    CHECK(machine->Readers() ==
          members_.at(name[0] == 'a' ? "a1" : "b1")->Readers());
    CHECK(machine->OtherReaders().size() == 2);
  }
}

// Guards against a quorum that shrinks before a failure is certain, or never.
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

// Guards against a restarted process whose clock is behind: its records would
// lose against those of its earlier process.
TEST_CASE_METHOD(membership_fixture, "Membership_LowerIncarnation_IsRaised") {
  StartAll();
  members_.erase("a3");
  Run(20);
  Start("a3", "a", 50);
  Run(4);
  CHECK(members_.at("a3")->Self().incarnation > 100);
  CHECK(StateAt("a1", "a3") == member_state::kAlive);
}

// Guards against a seed that restarts with all other seeds and takes itself
// for the only member of its data centre.
TEST_CASE_METHOD(membership_fixture, "Membership_AllSeedsRestart_FindOthers") {
  StartAll();
  for (const char* name : {"a1", "a2", "b1"}) members_.erase(name);
  Run(1);
  for (const char* name : {"a1", "a2"}) Start(name, "a", 200);
  Start("b1", "b", 200);
  for (int i = 0; i < 200; ++i) {
    const auto& machine = *members_.at("a1");
    if (machine.Complete()) {
      CHECK(machine.QuorumMembers(now_) == 5);
    }
    const instant end = now_ + kStep;
    for (; now_ < end; now_ += kStep) {
      for (auto& [name, member] : members_) Carry(name, member->Tick(now_));
      Deliver();
    }
  }
  CHECK(members_.at("a1")->Complete());
}

// Guards against a paused process that suspects the others when it wakes, and
// against one that others keep as dead.
TEST_CASE_METHOD(membership_fixture, "Membership_FreezeAndWake_Refutes") {
  StartAll();
  const auto absences = members_.at("a2")->View(now_).absences;
  frozen_.insert("a2");
  Run(12);
  CHECK(StateAt("a4", "a2") == member_state::kDead);
  frozen_.erase("a2");
  Run(2);
  CHECK(StateAt("a4", "a2") == member_state::kAlive);
  CHECK(StateAt("a2", "a4") == member_state::kAlive);
  CHECK(members_.at("a2")->View(now_).absences > absences);
}

// Guards against declaring the members of a data centre dead that is cut off.
TEST_CASE_METHOD(membership_fixture, "Membership_CutOff_UnreachableNotDead") {
  StartAll();
  cut_ = true;
  Run(8);
  CHECK(members_.at("a5")->UnreachableDataCentres() ==
        std::vector<std::string>{"b"});
  CHECK(members_.at("b3")->UnreachableDataCentres() ==
        std::vector<std::string>{"a"});
  CHECK(StateAt("a1", "b2") == member_state::kAlive);
  cut_ = false;
  Run(3);
  CHECK(members_.at("a5")->UnreachableDataCentres().empty());
}

// Guards against a cut during which all readers of both sides changed.
TEST_CASE_METHOD(membership_fixture, "Membership_ReadersChangedInCut_Heals") {
  StartAll();
  cut_ = true;
  const auto readers_a = members_.at("a1")->Readers();
  const auto readers_b = members_.at("b1")->Readers();
  for (const auto& name : readers_a) members_.erase(name);
  for (const auto& name : readers_b) members_.erase(name);
  Run(20);
  cut_ = false;
  Run(10);
  for (const auto& [name, machine] : members_) {
    CHECK(machine->UnreachableDataCentres().empty());
    CHECK(StateAt(name, readers_a[0]) == member_state::kDead);
    CHECK(StateAt(name, readers_b[0]) == member_state::kDead);
  }
}

TEST_CASE_METHOD(membership_fixture,
                 "Membership_BackendAndLeave_AreAnnounced") {
  StartAll();
  Carry("a3", members_.at("a3")->SetBackend(
                  {.service = "s", .slots = 20, .state = backend_state::kReady},
                  now_));
  Run(1);
  CHECK(members_.at("b2")->Find("a3")->backend.state == backend_state::kReady);
  Carry("a3", members_.at("a3")->Leave(now_));
  Deliver();
  members_.erase("a3");
  Run(1);
  CHECK(StateAt("b2", "a3") == member_state::kLeft);
  // Members that left count until the others surely hold what they held.
  CHECK(members_.at("a1")->QuorumMembers(now_) == 5);
  Run(10);
  CHECK(members_.at("a1")->QuorumMembers(now_) == 4);
}

}  // namespace pomelohall
