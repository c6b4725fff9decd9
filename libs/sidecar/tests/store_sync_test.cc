#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>
#include <thread>

#include "active_config.h"
#include "collection_watch.h"
#include "fake_watched_store.h"
#include "member_codec.h"
#include "member_publisher.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

// The context stops when it runs out of work and has to be restarted.
void RunFor(boost::asio::io_context& io, duration time) {
  io.restart();
  io.run_for(time);
}

class recording_observer final : public collection_observer {
 public:
  void OnListed(const object_listing& listing) override {
    names.clear();
    for (const auto& object : listing.objects) names.insert(object.name);
    ++listings;
  }
  void OnRestored(const object_listing& listing) override {
    for (const auto& object : listing.objects) names.insert(object.name);
    ++restorations;
  }
  void OnChanged(const object_change& change) override {
    names.insert(change.object.name);
  }

  std::set<std::string> names;
  int listings = 0;
  int restorations = 0;
};

/// A watch on the members collection of a store with fault injection.
class collection_watch_fixture {
 protected:
  static constexpr duration kRestoreGrace = milliseconds(200);

  collection_watch_fixture()
      : watch_(
            io_, store_, observer_,
            {.collection = store_collection::kMembers,
             .consistency = read_consistency::kMayBeStale,
             .restore_grace = kRestoreGrace,
             .backoff = {.initial = milliseconds(1), .max = milliseconds(5)}},
            1) {}

  ~collection_watch_fixture() { watch_.Stop(); }

  void RunFor(duration time) { pomelohall::RunFor(io_, time); }

  /// Starts the watch on a store that is copied in this state.
  void StartFromCopy() {
    store_.TakeCopy();
    watch_.Start();
    RunFor(milliseconds(20));
  }

  boost::asio::io_context io_;
  fake_watched_store store_{io_};
  recording_observer observer_;
  collection_watch watch_;
};

// Guards against objects that the observer misses, whether written before or
// after the start.
TEST_CASE_METHOD(collection_watch_fixture, "CollectionWatch_Changes_AreSeen",
                 "[sidecar]") {
  store_.Put(store_collection::kMembers, "a", "{}");
  watch_.Start();
  RunFor(milliseconds(20));
  store_.Put(store_collection::kMembers, "b", "{}");
  RunFor(milliseconds(20));
  CHECK(observer_.names == std::set<std::string>{"a", "b"});
}

// Guards against a watch that continues from a revision the store no longer
// has, and misses the changes in between.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_HistoryGone_ListsAgain", "[sidecar]") {
  store_.history_expired = true;
  watch_.Start();
  store_.Put(store_collection::kMembers, "a", "{}");
  RunFor(milliseconds(20));
  CHECK(observer_.listings == 2);
  CHECK(observer_.names.contains("a"));
}

// Guards against a loop of listings and watches: a replica with stale data
// lists a revision whose history is already lost, until it has caught up.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_StaleListingBeforeTheHistory_ReadsTheLatest",
                 "[sidecar]") {
  store_.stale_revision = {.era = 1, .number = 5};
  store_.history_start = {.era = 1, .number = 8};
  watch_.Start();
  RunFor(milliseconds(100));
  CHECK(store_.lists == 2);
  CHECK(store_.watches == 2);
}

// Guards against a loop without pauses if the store rejects each revision that
// it has just listed.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_HistoryLostEachTime_IsPaced", "[sidecar]") {
  store_.history_start = {.era = 1, .number = 1000};
  watch_.Start();
  RunFor(milliseconds(100));
  CHECK(store_.lists <= 45);
}

// Guards against a watch that stops retrying during an outage of the store.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_StoreReturns_IsFollowedAgain", "[sidecar]") {
  store_.down = true;
  watch_.Start();
  RunFor(milliseconds(30));
  CHECK(store_.lists > 1);
  store_.down = false;
  store_.Put(store_collection::kMembers, "a", "{}");
  RunFor(milliseconds(30));
  CHECK(observer_.names.contains("a"));
}

// Guards against a busy loop of watch calls: a replica whose data is older than
// the revision of the watch may return immediately each time. With 89 daemons,
// a simulated day of 40 seconds then took minutes.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_WatchesEndAtOnce_ArePaced", "[sidecar]") {
  store_.end_watches_at_once = true;
  watch_.Start();
  RunFor(milliseconds(200));
  CHECK(store_.watches <= 2);
}

// Guards against access to a destroyed watch: its call fails only when the
// store, which outlives it, ends its connection. With an HTTP client, tests
// then crashed at random.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_DestroyedDuringACall_IgnoresTheAnswer",
                 "[sidecar]") {
  std::optional<collection_watch> listing;
  listing.emplace(io_, store_, observer_, collection_watch_options{}, 1);
  listing->Start();
  listing.reset();
  RunFor(milliseconds(20));
  CHECK(observer_.listings == 0);

  std::optional<collection_watch> watching;
  watching.emplace(io_, store_, observer_, collection_watch_options{}, 1);
  watching->Start();
  RunFor(milliseconds(20));
  watching.reset();
  store_.Put(store_collection::kMembers, "a", "{}");
  RunFor(milliseconds(20));
  CHECK_FALSE(observer_.names.contains("a"));
}

// Guards against access to a destroyed watch by a pause that has just ended.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_DestroyedAtTheEndOfAPause_CallsNoMore",
                 "[sidecar]") {
  store_.down = true;
  std::optional<collection_watch> watch;
  watch.emplace(io_, store_, observer_,
                collection_watch_options{.backoff = {.initial = milliseconds(5),
                                                     .max = milliseconds(5)}},
                1);
  watch->Start();
  io_.poll();
  CHECK(store_.lists == 1);
  // Expires before the pause; both handlers are queued when the context runs.
  boost::asio::steady_timer timer(io_, milliseconds(0));
  timer.async_wait([&](boost::system::error_code) { watch.reset(); });
  std::this_thread::sleep_for(milliseconds(10));
  RunFor(milliseconds(20));
  CHECK(store_.lists == 1);
}

// Guards against objects that are taken as gone while their writers are about
// to write them again.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_StoreRestored_KeepsObjectsForTheGrace",
                 "[sidecar]") {
  StartFromCopy();
  store_.Put(store_collection::kMembers, "a", "{}");
  store_.Put(store_collection::kMembers, "b", "{}");
  RunFor(milliseconds(20));
  store_.Restore();
  RunFor(kRestoreGrace / 2);
  CHECK(observer_.names == std::set<std::string>{"a", "b"});
  store_.Put(store_collection::kMembers, "b", "{}");
  RunFor(kRestoreGrace);
  CHECK(observer_.names == std::set<std::string>{"b"});
}

// Guards against a second listing that ends the grace: the watch and the
// confirmation of the configuration both report a restoration.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_RefreshDuringTheGrace_KeepsObjects",
                 "[sidecar]") {
  StartFromCopy();
  store_.Put(store_collection::kMembers, "a", "{}");
  RunFor(milliseconds(20));
  store_.Restore();
  RunFor(kRestoreGrace / 4);
  watch_.Refresh();
  RunFor(kRestoreGrace / 4);
  CHECK(observer_.names == std::set<std::string>{"a"});
}

// The same for a history that is lost in the grace.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_HistoryGoneDuringTheGrace_KeepsObjects",
                 "[sidecar]") {
  StartFromCopy();
  store_.Put(store_collection::kMembers, "a", "{}");
  RunFor(milliseconds(20));
  store_.Restore();
  RunFor(kRestoreGrace / 4);
  store_.history_expired = true;
  store_.Put(store_collection::kMembers, "b", "{}");
  RunFor(kRestoreGrace / 4);
  CHECK(observer_.names == std::set<std::string>{"a", "b"});
}

// Guards against records that are taken as gone because a replica with stale
// data does not have them yet.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_EndOfTheGrace_ReadsTheLatest", "[sidecar]") {
  StartFromCopy();
  store_.Restore();
  RunFor(kRestoreGrace / 2);
  const int latest_lists = store_.latest_lists;
  RunFor(kRestoreGrace);
  CHECK(store_.latest_lists == latest_lists + 1);
}

// Guards against a daemon that notices a restoration only at the end of a watch
// that the store has forgotten.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_Refresh_ListsDuringAWatch", "[sidecar]") {
  StartFromCopy();
  store_.silent_watches = true;
  store_.Restore();
  watch_.Refresh();
  RunFor(milliseconds(20));
  CHECK(observer_.restorations == 1);
}

// Guards against a loss of known objects if the store is restored again while
// their writers write them after the first time.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_RestoredTwiceInTheGrace_KeepsObjects",
                 "[sidecar]") {
  StartFromCopy();
  store_.Put(store_collection::kMembers, "a", "{}");
  RunFor(milliseconds(20));
  store_.Restore();
  RunFor(kRestoreGrace * 3 / 4);
  store_.TakeCopy();
  store_.Restore();
  RunFor(kRestoreGrace * 3 / 4);
  CHECK(observer_.names == std::set<std::string>{"a"});
  store_.Put(store_collection::kMembers, "a", "{}");
  RunFor(kRestoreGrace);
  CHECK(observer_.restorations == 2);
  CHECK(observer_.names == std::set<std::string>{"a"});
}

// Guards against a listing of a replica that has not been restored yet: it
// would take the position of the watch back into the older era.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_StaleListingOfOlderEra_IsNotApplied",
                 "[sidecar]") {
  store_.TakeCopy();
  store_.Restore();
  watch_.Start();
  RunFor(milliseconds(20));
  REQUIRE(observer_.listings == 1);
  store_.stale_revision = {.era = 1, .number = 99};
  // After a failure the watch lists data that may be stale.
  store_.down = true;
  watch_.Refresh();
  RunFor(milliseconds(2));
  store_.down = false;
  RunFor(milliseconds(50));
  CHECK(observer_.listings == 2);
  CHECK(observer_.restorations == 0);
  CHECK(store_.latest_lists == 2);
  store_.Put(store_collection::kMembers, "b", "{}");
  RunFor(milliseconds(20));
  CHECK(observer_.names == std::set<std::string>{"b"});
}

// Guards against two chains of calls after a listing that superseded another
// one, and against changes that are missed.
TEST_CASE_METHOD(collection_watch_fixture,
                 "CollectionWatch_RefreshDuringAListing_FollowsOnce",
                 "[sidecar]") {
  watch_.Start();
  watch_.Refresh();
  watch_.Refresh();
  RunFor(milliseconds(20));
  CHECK(observer_.listings == 1);
  CHECK(store_.watches == 1);
  store_.Put(store_collection::kMembers, "a", "{}");
  RunFor(milliseconds(20));
  CHECK(observer_.names == std::set<std::string>{"a"});
}

class member_publisher_fixture {
 protected:
  member_publisher_fixture() : publisher_(io_, store_, {}, 1) {}
  ~member_publisher_fixture() { publisher_.Stop(); }

  static mesh_member Member(const std::string& instance) {
    return {.name = "vm-1",
            .data_centre = "near",
            .address = "10.0.0.1:7600",
            .incarnation = 5,
            .server = offered_server{
                .instance = instance, .service = "shop", .slots = 18}};
  }

  std::string Stored() {
    return store_.SpecOf(store_collection::kMembers, "vm-1");
  }

  void RunFor(duration time) { pomelohall::RunFor(io_, time); }

  boost::asio::io_context io_;
  fake_watched_store store_{io_};
  member_publisher publisher_;
};

// Guards against writes that change nothing; every call to the store has a
// cost.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_SameRecord_IsWrittenOnce", "[sidecar]") {
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(10));
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(10));
  CHECK(store_.writes == 1);
  CHECK(Stored() == EncodeMember(Member("i-1")));
}

// Guards against two calls for each daemon that starts: a record without a
// backend server, and a moment later the one with it.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_ServerAnnouncedAfterStart_IsWrittenOnce",
                 "[sidecar][load]") {
  member_publisher publisher(io_, store_, {.start_delay = milliseconds(100)},
                             1);
  auto starting = Member("i-1");
  starting.server.reset();
  publisher.Publish(starting);
  publisher.OnStored(
      {.name = "vm-1", .revision = {.era = 1, .number = 1}, .spec = {}}, true);
  RunFor(milliseconds(10));
  CHECK(store_.writes == 0);
  publisher.Publish(Member("i-1"));
  RunFor(milliseconds(10));
  CHECK(store_.writes == 1);
  CHECK(Stored() == EncodeMember(Member("i-1")));
  publisher.Stop();
}

// Guards against a daemon that others never hear of: its backend server does
// not announce itself, or the store does not list the records.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_NoServerAnnounced_IsWrittenAfterTheDelay",
                 "[sidecar]") {
  member_publisher publisher(io_, store_, {.start_delay = milliseconds(50)}, 1);
  auto starting = Member("i-1");
  starting.server.reset();
  publisher.Publish(starting);
  CHECK_FALSE(publisher.IsPublished());
  RunFor(milliseconds(100));
  CHECK(Stored() == EncodeMember(starting));
  CHECK(publisher.IsPublished());
  publisher.Stop();
}

// Guards against a stale record of an earlier process that is not replaced.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_RecordOfEarlierProcess_IsReplaced",
                 "[sidecar]") {
  store_.Put(store_collection::kMembers, "vm-1", EncodeMember(Member("i-0")));
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(20));
  CHECK(Stored() == EncodeMember(Member("i-1")));
}

// Guards against a write with a lost answer that is wrongly assumed to have
// failed or succeeded.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_LostAnswer_IsResolvedByReading",
                 "[sidecar]") {
  store_.lose_answers = true;
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(10));
  store_.lose_answers = false;
  publisher_.Publish(Member("i-2"));
  RunFor(milliseconds(400));
  CHECK(Stored() == EncodeMember(Member("i-2")));
  CHECK(store_.writes == 2);
}

// Guards against a record that is still missing two seconds after the store has
// recovered.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_StoreReturns_RecordIsBack", "[sidecar]") {
  store_.down = true;
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(300));
  CHECK(Stored().empty());
  store_.down = false;
  RunFor(milliseconds(1100));
  CHECK(Stored() == EncodeMember(Member("i-1")));
}

// Guards against a record that is not written again after another writer
// removed it.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_RecordRemoved_IsWrittenAgain", "[sidecar]") {
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(10));
  publisher_.OnStored(
      {.name = "vm-1", .revision = {.era = 1, .number = 99}, .spec = {}}, true);
  RunFor(milliseconds(10));
  CHECK(store_.writes >= 2);
}

// Guards against a record that was lost by a restoration and that its daemon
// believes to be stored.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_RecordLostByRestoration_IsWrittenAgain",
                 "[sidecar]") {
  store_.TakeCopy();
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(10));
  store_.Restore();
  REQUIRE(Stored().empty());
  publisher_.OnStored(
      {.name = "vm-1", .revision = {.era = 2, .number = 10}, .spec = {}}, true);
  RunFor(milliseconds(20));
  CHECK(Stored() == EncodeMember(Member("i-1")));
}

// Guards against a record that fell back to an earlier instance of the backend
// server and is not replaced because its revision is lower.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_RecordFellBack_IsReplaced", "[sidecar]") {
  publisher_.Publish(Member("i-0"));
  RunFor(milliseconds(10));
  store_.TakeCopy();
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(10));
  store_.Restore();
  publisher_.OnStored({.name = "vm-1",
                       .revision = {.era = 2, .number = 11},
                       .spec = EncodeMember(Member("i-0"))},
                      false);
  RunFor(milliseconds(20));
  CHECK(Stored() == EncodeMember(Member("i-1")));
}

// Guards against needless writes: a listing of the era before the restoration
// arrives after the record was written in the new era.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_LateListingOfOlderEra_IsIgnored",
                 "[sidecar]") {
  store_.TakeCopy();
  store_.Restore();
  publisher_.Publish(Member("i-1"));
  RunFor(milliseconds(10));
  publisher_.OnStored(
      {.name = "vm-1", .revision = {.era = 1, .number = 99}, .spec = {}}, true);
  publisher_.OnStored({.name = "vm-1",
                       .revision = {.era = 1, .number = 98},
                       .spec = EncodeMember(Member("i-0"))},
                      false);
  RunFor(milliseconds(20));
  CHECK(store_.writes == 1);
  CHECK(Stored() == EncodeMember(Member("i-1")));
}

// Guards against a record that is lost because the listing that shows the loss
// arrives while a write is in flight: the write was done in the era before, and
// its answer comes later.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_RestoredDuringAWrite_RecordIsWrittenAgain",
                 "[sidecar]") {
  store_.TakeCopy();
  publisher_.Publish(Member("i-1"));
  store_.Restore();
  REQUIRE(Stored().empty());
  publisher_.OnStored(
      {.name = "vm-1", .revision = {.era = 2, .number = 10}, .spec = {}}, true);
  RunFor(milliseconds(20));
  CHECK(Stored() == EncodeMember(Member("i-1")));
}

// Guards against malformed records from other programs that are accepted as
// backend servers.
TEST_CASE("MemberCodec_MalformedRecords_AreRefused", "[sidecar]") {
  for (const char* spec :
       {"", "[]", "{", R"({"address":5})", R"({"address":"a","server":3})",
        R"({"address":"a","server":{"instance":"i","service":"s"}})",
        R"({"address":"a","server":{"instance":"i","service":4,"slots":2}})"}) {
    INFO(spec);
    CHECK_FALSE(DecodeMember("x", spec));
  }
}

/// An active configuration whose specs are version numbers.
class active_config_fixture {
 protected:
  active_config_fixture()
      : config_(
            "main",
            [](const std::string& spec) -> result<mesh_config> {
              if (spec == "bad") {
                return Fail(error_kind::kInvalidConfiguration, "bad");
              }
              return mesh_config{.version = std::stoull(spec),
                                 .routes = {},
                                 .services = {},
                                 .limits = {}};
            },
            [this](const std::shared_ptr<route_table>& table) {
              version_ = table->Version();
              ++changes_;
            }) {}

  void Change(std::uint64_t number, const std::string& spec) {
    ChangeAt({.era = 1, .number = number}, spec);
  }

  void ChangeAt(store_revision revision, const std::string& spec) {
    config_.OnChanged(
        {.object = {.name = "main", .revision = revision, .spec = spec},
         .deleted = false});
  }

  std::uint64_t version_ = 0;
  int changes_ = 0;
  active_config config_;
};

// Guards against a version rollback: stale reads and delayed watches can return
// older revisions after newer ones.
TEST_CASE_METHOD(active_config_fixture, "ActiveConfig_OlderRevision_IsIgnored",
                 "[sidecar]") {
  Change(20, "7");
  Change(15, "6");
  config_.OnListed(
      {{.name = "main", .revision = {.era = 1, .number = 18}, .spec = "6"}});
  CHECK(version_ == 7);
  CHECK(changes_ == 1);
  Change(21, "6");
  CHECK(version_ == 7);
  Change(22, "9");
  CHECK(version_ == 9);
}

// Guards against an invalid version that replaces a valid one.
TEST_CASE_METHOD(active_config_fixture, "ActiveConfig_BadVersion_KeepsTheOld",
                 "[sidecar]") {
  Change(20, "7");
  Change(21, "bad");
  config_.OnChanged({.object = {.name = "main",
                                .revision = {.era = 1, .number = 22},
                                .spec = "8"},
                     .deleted = true});
  CHECK(version_ == 7);
  Change(23, "8");
  CHECK(version_ == 8);
}

// Guards against a newer version that is ignored because a restored store gave
// it a lower revision, and against an older one that comes back with the copy.
TEST_CASE_METHOD(active_config_fixture,
                 "ActiveConfig_StoreRestored_VersionsDecide", "[sidecar]") {
  Change(20, "7");
  ChangeAt({.era = 2, .number = 15}, "6");
  CHECK(version_ == 7);
  ChangeAt({.era = 2, .number = 16}, "7");
  CHECK(changes_ == 1);
  CHECK(config_.Revision() == store_revision{.era = 2, .number = 16});
  ChangeAt({.era = 2, .number = 17}, "8");
  CHECK(version_ == 8);
}

// Guards against an invalid object of a newer era that hides valid ones after
// it.
TEST_CASE_METHOD(active_config_fixture,
                 "ActiveConfig_InvalidAfterRestoration_KeepsTheOld",
                 "[sidecar]") {
  Change(20, "7");
  ChangeAt({.era = 2, .number = 15}, "bad");
  CHECK(version_ == 7);
  ChangeAt({.era = 2, .number = 16}, "8");
  CHECK(version_ == 8);
}

// Guards against late answers of the era before that take the version or the
// position back.
TEST_CASE_METHOD(active_config_fixture,
                 "ActiveConfig_LateAnswerOfOlderEra_IsIgnored", "[sidecar]") {
  ChangeAt({.era = 2, .number = 15}, "8");
  Change(30, "7");
  Change(31, "bad");
  CHECK(version_ == 8);
  CHECK(config_.Revision() == store_revision{.era = 2, .number = 15});
  ChangeAt({.era = 2, .number = 16}, "9");
  CHECK(version_ == 9);
}

// Guards against access to a destroyed publisher, as for the watch.
TEST_CASE_METHOD(member_publisher_fixture,
                 "MemberPublisher_DestroyedDuringAWrite_IgnoresTheAnswer",
                 "[sidecar]") {
  store_.Put(store_collection::kMembers, "vm-1", "of an earlier process");
  std::optional<member_publisher> publisher;
  publisher.emplace(io_, store_, member_publisher_options{}, 1);
  publisher->Publish(Member("i-1"));
  publisher.reset();
  RunFor(milliseconds(20));
  // A refused write would be repeated after a read.
  CHECK(store_.writes == 1);
}

}  // namespace
}  // namespace pomelohall
