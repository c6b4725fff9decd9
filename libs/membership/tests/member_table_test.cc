#include "membership/member_table.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "base/random.h"

namespace pomelohall {
namespace {

constexpr duration kTombstone = std::chrono::minutes(10);

member_record Record(std::string name, std::uint64_t incarnation,
                     std::uint64_t sequence, member_state state) {
  member_record record;
  record.name = std::move(name);
  record.data_centre = "plant";
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.state = state;
  return record;
}

instant At(int seconds) { return instant(std::chrono::seconds(seconds)); }

}  // namespace

// Guards against tables that diverge because events arrive in another order.
TEST_CASE("MemberTable_AnyOrderOfEvents_GivesSameTable") {
  std::vector<member_record> events;
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
      for (const auto state : {member_state::kAlive, member_state::kSuspect,
                               member_state::kDead}) {
        events.push_back(Record("a", incarnation, sequence, state));
      }
    }
  }
  random_source random(7);
  for (int round = 0; round < 200; ++round) {
    member_table table(kTombstone);
    for (std::size_t i = events.size(); i > 1; --i) {
      std::swap(events[i - 1], events[random.Below(i)]);
    }
    for (const auto& event : events) table.Merge(event, At(0));
    CHECK(*table.Find("a") == Record("a", 3, 2, member_state::kDead));
  }
}

// Guards against delayed records that mark a dead member as alive again.
TEST_CASE("MemberTable_StaleAliveRecord_DoesNotRevive") {
  member_table table(kTombstone);
  table.Merge(Record("a", 5, 1, member_state::kAlive), At(0));
  table.SetState("a", member_state::kDead, At(1));
  CHECK_FALSE(table.Merge(Record("a", 5, 1, member_state::kAlive), At(2)));
  CHECK(table.Find("a")->state == member_state::kDead);
  CHECK(table.Merge(Record("a", 6, 1, member_state::kAlive), At(3)));
  CHECK(table.Find("a")->state == member_state::kAlive);
}

// Guards against expired records that daemons restore in each other's tables.
TEST_CASE("MemberTable_DeadRecord_LeavesDigestThenTable") {
  member_table table(kTombstone);
  table.Merge(Record("a", 5, 1, member_state::kDead), At(0));
  const member_table empty(kTombstone);
  CHECK(table.Digest() != empty.Digest());
  CHECK_FALSE(table.DropExpired(At(301)));
  CHECK(table.Digest() == empty.Digest());
  CHECK(table.DifferingRecords({}).empty());
  REQUIRE(table.Find("a") != nullptr);
  CHECK(table.DropExpired(At(600)));
  CHECK(table.Find("a") == nullptr);
}

// Guards against repairs that transfer the whole table for one difference.
TEST_CASE("MemberTable_OneDifference_RepairsOneBucket") {
  member_table left(kTombstone);
  member_table right(kTombstone);
  for (int i = 0; i < 320; ++i) {
    const auto record =
        Record("m" + std::to_string(i), 1, 1, member_state::kAlive);
    left.Merge(record, At(0));
    right.Merge(record, At(0));
  }
  CHECK(left.DifferingRecords(right.Digest()).empty());
  left.Merge(Record("m7", 1, 2, member_state::kAlive), At(1));
  const auto records = left.DifferingRecords(right.Digest());
  CHECK(records.size() < 40);
  for (const auto& record : records) right.Merge(record, At(2));
  CHECK(left.Digest() == right.Digest());
}

}  // namespace pomelohall
