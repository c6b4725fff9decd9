#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "base/random.h"
#include "collection_watch.h"
#include "config_reader.h"
#include "fake_watched_store.h"
#include "member_codec.h"
#include "member_observer.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

/// The parts of a sidecar that read and write the store, with short pauses.
class restored_store_fixture {
 protected:
  // Longer than the longest pause of a publisher after failures, 1 s.
  static constexpr auto kQuietTime = milliseconds(1300);

  restored_store_fixture() {
    store_.Put(store_collection::kConfiguration, "main", "1");
    store_.TakeCopy();
    publisher_.Publish({.name = "vm-1", .address = "10.0.0.1:7600"});
    watch_.Start();
    reader_.Refresh();
    RunFor(milliseconds(20));
  }

  ~restored_store_fixture() {
    publisher_.Stop();
    watch_.Stop();
    reader_.Stop();
  }

  void RunFor(duration time) {
    io_.restart();
    io_.run_for(time);
  }

  void PutVersion() {
    store_.Put(store_collection::kConfiguration, "main",
               std::to_string(written_));
  }

  boost::asio::io_context io_;
  fake_watched_store store_{io_};
  std::uint64_t written_ = 1;
  server_directory directory_{{.member = "vm-1", .data_centre = "near"}, 1};
  retry_budget budget_{{}};
  member_publisher publisher_{io_, store_, {}, 1};
  crash_history crashes_;
  member_observer observer_{"vm-1", directory_, budget_, publisher_, crashes_};
  collection_watch watch_{
      io_,
      store_,
      observer_,
      {.wait = milliseconds(40),
       .pause_after_early_end = milliseconds(5),
       .restore_grace = milliseconds(20),
       .backoff = {.initial = milliseconds(1), .max = milliseconds(5)}},
      1};
  active_config config_{"main",
                        [](const std::string& spec) -> result<mesh_config> {
                          return mesh_config{.version = std::stoull(spec),
                                             .routes = {},
                                             .services = {},
                                             .limits = {}};
                        },
                        [](const std::shared_ptr<route_table>&) {}};
  config_reader reader_{
      io_,
      store_,
      config_,
      {.is_designated = [] { return true; },
       .watch_wait = milliseconds(40),
       .ask_peer = [](std::size_t) {},
       .on_restored = [this] { watch_.Refresh(); },
       .pause_after_change = milliseconds(5),
       .backoff = {.initial = milliseconds(1), .max = milliseconds(5)}},
      1};
};

// Guards against orders of writes, outages, lost answers and restorations after
// which a version goes back, a newer one is not applied, or the own record
// stays lost.
TEST_CASE_METHOD(restored_store_fixture, "RestoredStore_RandomSteps_Recover",
                 "[sidecar]") {
  random_source random(7);
  std::uint64_t version = 0;
  for (int step = 1; step <= 2000; ++step) {
    const double event = random.NextDouble();
    if (event < 0.3) {
      ++written_;
      PutVersion();
    } else if (event < 0.4) {
      store_.TakeCopy();
    } else if (event < 0.5) {
      store_.Restore();
    } else if (event < 0.6) {
      store_.down = !store_.down;
    } else if (event < 0.7) {
      store_.lose_answers = !store_.lose_answers;
    } else {
      RunFor(milliseconds(1));
    }
    INFO("step " << step);
    REQUIRE(config_.Version() >= version);
    version = config_.Version();
    if (step % 400 != 0) continue;
    store_.down = false;
    store_.lose_answers = false;
    PutVersion();
    RunFor(kQuietTime);
    REQUIRE(config_.Version() == written_);
    REQUIRE_FALSE(store_.SpecOf(store_collection::kMembers, "vm-1").empty());
  }
}

// Guards against a storm of reads: after a restoration the configuration is
// listed once and the members at its detection, at Refresh() and at the end of
// the grace; each listing is followed by a watch.
TEST_CASE_METHOD(restored_store_fixture, "RestoredStore_Reads_AreBounded",
                 "[sidecar]") {
  constexpr int kMaxLists = 4;
  for (int i = 0; i < 10; ++i) {
    const int lists = store_.lists;
    store_.Restore();
    RunFor(milliseconds(100));
    CHECK(store_.lists - lists <= kMaxLists);
  }
}

}  // namespace
}  // namespace pomelohall
