#include "config_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "config_codec.h"
#include "fake_watched_store.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

/// A reader of a configuration whose spec is its version number.
class config_reader_fixture {
 protected:
  static constexpr duration kMaxAge = milliseconds(80);

  config_reader_fixture()
      : config_(
            "main",
            [](const std::string& spec) -> result<mesh_config> {
              return mesh_config{.version = std::stoull(spec),
                                 .routes = {},
                                 .services = {},
                                 .limits = {}};
            },
            [](const std::shared_ptr<route_table>&) {}),
        reader_(io_, store_, config_, Options(milliseconds(60)), 1) {
    Publish(3);
  }

  ~config_reader_fixture() { reader_.Stop(); }

  config_reader_options Options(duration watch_wait) {
    return {.is_designated = [this] { return designated_; },
            .watch_wait = watch_wait,
            .ask_peer =
                [this](std::size_t earlier_asks) {
                  ++asked_;
                  earlier_asks_ = earlier_asks;
                },
            .is_fetching = [this] { return fetching_; },
            .ask_age = kMaxAge / 2,
            .max_age = kMaxAge,
            .pause_after_change = milliseconds(300),
            .backoff = {.initial = milliseconds(1), .max = milliseconds(5)}};
  }

  void Publish(int version) {
    store_.Put(store_collection::kConfiguration, "main",
               std::to_string(version));
  }

  void RunFor(duration time) {
    io_.restart();
    io_.run_for(time);
  }

  /// Confirms the active configuration every few milliseconds, as other daemons
  /// do with their messages.
  void ConfirmFor(duration time) {
    const auto end = MonotonicNow() + time;
    while (MonotonicNow() < end) {
      reader_.OnConfirmed(
          {.revision = {.era = 1, .number = 11}, .at = MonotonicNow()});
      RunFor(milliseconds(5));
    }
  }

  boost::asio::io_context io_;
  fake_watched_store store_{io_};
  bool designated_ = false;
  int asked_ = 0;
  std::size_t earlier_asks_ = 0;  ///< Of the last ask.
  bool fetching_ = false;
  active_config config_;
  config_reader reader_;
};

// Guards against a daemon whose version depends on messages of others: without
// any, it must read the store itself.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_NoConfirmations_ChangeIsReadInTime",
                 "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  CHECK(config_.Version() == 3);
  Publish(5);
  RunFor(2 * kMaxAge);
  CHECK(config_.Version() == 5);
}

// Guards against store calls that grow with the number of daemons: a daemon
// whose configuration others confirm reads nothing, above all no large object.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_ConfirmedByOthers_ReadsNothing", "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  ConfirmFor(4 * kMaxAge);
  CHECK(store_.lists == 1);
  CHECK(store_.watches == 0);
  CHECK(asked_ == 0);
}

// Guards against store calls of daemons without traffic: they ask another
// daemon first.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_PeerConfirmsWhenAsked_ReadsNothing",
                 "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  for (int i = 0; i < 3; ++i) {
    while (asked_ == i) RunFor(milliseconds(1));
    reader_.OnConfirmed(
        {.revision = {.era = 1, .number = 11}, .at = MonotonicNow()});
  }
  CHECK(store_.watches == 0);
}

// Guards against a daemon that reads the whole object from the store while it
// receives the routes from another daemon: both share its link, and each takes
// twice as long.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_FetchInProgress_ReadsNothing", "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  fetching_ = true;
  RunFor(kMaxAge * 3 / 2);
  CHECK(asked_ == 0);
  CHECK(store_.watches == 0);
  fetching_ = false;
  RunFor(kMaxAge / 2);
  CHECK(store_.watches == 1);
}

// Guards against a daemon that asks another one only once while the store does
// not answer: the next version reaches it only with requests.
TEST_CASE_METHOD(config_reader_fixture, "ConfigReader_ReadsFail_AsksAgain",
                 "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  store_.down = true;
  RunFor(4 * kMaxAge);
  CHECK(asked_ >= 3);
}

// Guards against a daemon that asks nobody while a read of the store hangs, and
// against a designated one that never asks.
TEST_CASE_METHOD(config_reader_fixture, "ConfigReader_ReadHangs_AsksOthers",
                 "[sidecar]") {
  designated_ = GENERATE(false, true);
  reader_.Start();
  RunFor(milliseconds(5));
  store_.silent_watches = true;
  RunFor(2 * kMaxAge);
  CAPTURE(designated_);
  CHECK(asked_ >= 4);
  CHECK(earlier_asks_ + 1 == static_cast<std::size_t>(asked_));
  reader_.OnConfirmed(
      {.revision = {.era = 1, .number = 11}, .at = MonotonicNow()});
  asked_ = 0;
  while (asked_ == 0) RunFor(milliseconds(1));
  CHECK(earlier_asks_ == 0);
}

// Guards against an outage in which every daemon calls the store as often as
// the designated ones do: each call is charged, and the store returns to a load
// of useless calls.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_LongOutage_OtherDaemonsCallLess",
                 "[sidecar][load]") {
  reader_.Start();
  RunFor(milliseconds(5));
  store_.down = true;
  RunFor(2 * kMaxAge);
  const auto calls = [this] {
    const auto before = store_.lists + store_.watches;
    RunFor(milliseconds(400));
    return store_.lists + store_.watches - before;
  };
  const auto as_other = calls();
  designated_ = true;
  const auto as_designated = calls();
  CAPTURE(as_other, as_designated);
  CHECK(as_other * 2 < as_designated);
  designated_ = false;
  store_.down = false;
  Publish(5);
  RunFor(2 * kMaxAge);
  CHECK(config_.Version() == 5);
}

// Guards against a pause after a change in which the confirmations of all
// daemons get too old, so that each of them reads the store.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_ChangeLateInAWatch_IsConfirmedSoon",
                 "[sidecar][load]") {
  designated_ = true;
  auto options = Options(milliseconds(300));
  config_reader reader(io_, store_, config_, options, 1);
  reader.Start();
  RunFor(milliseconds(250));
  Publish(5);
  const auto listings = store_.lists;
  RunFor(options.pause_after_change / 2);
  CHECK(store_.lists > listings);
  reader.Stop();
}

// Guards against a daemon that believes its configuration to be confirmed after
// its machine was suspended: the monotonic clock stood still meanwhile.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_MachineWasSuspended_ReadsAgain", "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  Publish(5);
  const auto confirmed_at = reader_.Confirmation().at;
  reader_.OnSuspended(10 * kMaxAge);
  CHECK(reader_.Confirmation().at == confirmed_at - 10 * kMaxAge);
  RunFor(milliseconds(5));
  CHECK(config_.Version() == 5);
}

// Guards against a fetch without an end that keeps a daemon from reading the
// store.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_FetchDoesNotEnd_ChangeIsReadInTime",
                 "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  fetching_ = true;
  Publish(5);
  RunFor(3 * kMaxAge);
  CHECK(config_.Version() == 5);
}

// Guards against a daemon that does not notice that confirmations stop.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_ConfirmationsStop_ChangeIsReadInTime",
                 "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  ConfirmFor(2 * kMaxAge);
  Publish(5);
  RunFor(2 * kMaxAge);
  CHECK(config_.Version() == 5);
}

// Guards against a designated daemon that leaves a silent watch only long after
// the change.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_SilentWatch_ChangeIsReadInTime", "[sidecar]") {
  designated_ = true;
  reader_.Start();
  RunFor(milliseconds(5));
  store_.silent_watches = true;
  Publish(5);
  CHECK(config_.Version() == 3);
  RunFor(milliseconds(60 + 60) + kMaxAge);
  CHECK(config_.Version() == 5);
}

// Guards against a watch without changes that confirms only its start: the age
// of the designated daemons is the least age of all.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_WatchWithoutChanges_ConfirmsItsEnd",
                 "[sidecar]") {
  designated_ = true;
  reader_.Start();
  const auto started = MonotonicNow();
  while (store_.watches < 3) RunFor(milliseconds(1));
  CHECK(reader_.Confirmation().at >= started + milliseconds(2 * 60));
}

// Guards against a watch that fails and is taken for a confirmation.
TEST_CASE_METHOD(config_reader_fixture, "ConfigReader_StoreDown_AgeGrows",
                 "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  const auto confirmed = reader_.Confirmation().at;
  store_.down = true;
  RunFor(3 * kMaxAge);
  CHECK(reader_.Confirmation().at == confirmed);
  CHECK(config_.Version() == 3);
}

// Guards against a watch that continues from a revision the store no longer
// has, and misses the change.
TEST_CASE_METHOD(config_reader_fixture, "ConfigReader_HistoryGone_ListsAgain",
                 "[sidecar]") {
  reader_.Start();
  RunFor(milliseconds(5));
  store_.history_expired = true;
  Publish(5);
  RunFor(2 * kMaxAge);
  CHECK(store_.lists == 2);
  CHECK(config_.Version() == 5);
}

// Guards against fetching every version of a large object during a burst of
// changes. On a VM with a slow link, the last version then became active too
// late.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_RunOfChanges_FetchesTheLastOneOnly",
                 "[sidecar]") {
  designated_ = true;
  config_reader reader(io_, store_, config_, Options(std::chrono::seconds(10)),
                       1);
  reader.Start();
  RunFor(milliseconds(5));
  // Without waiting between the changes, the burst is shorter than the pause
  // even on a busy machine. One that lasts longer causes more listings.
  for (int version = 10; version < 20; ++version) {
    Publish(version);
    io_.restart();
    io_.poll();
  }
  RunFor(milliseconds(700));
  CHECK(config_.Version() == 19);
  CHECK(store_.lists <= 3);
  CHECK(store_.watches <= 3);
  reader.Stop();
}

// Guards against access to a destroyed reader: its call fails only when the
// store, which outlives it, ends its connection.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_DestroyedDuringACall_IgnoresTheAnswer",
                 "[sidecar]") {
  designated_ = true;
  std::optional<config_reader> reader;
  reader.emplace(io_, store_, config_, Options(milliseconds(60)), 1);
  reader->Start();
  reader.reset();
  RunFor(milliseconds(5));
  CHECK(config_.Version() == 0);

  reader.emplace(io_, store_, config_, Options(milliseconds(60)), 1);
  reader->Start();
  RunFor(milliseconds(5));
  reader.reset();
  Publish(5);
  RunFor(milliseconds(5));
  CHECK(config_.Version() == 3);
}

// Guards against a pause that has ended and whose handler is queued when
// Refresh() cancels it: its check superseded the listing, whose answer was then
// dropped, and later calls of Refresh() did nothing.
TEST_CASE_METHOD(config_reader_fixture,
                 "ConfigReader_RefreshAtTheEndOfAPause_CanRefreshAgain",
                 "[sidecar]") {
  reader_.Start();
  io_.restart();
  io_.poll();
  CHECK(store_.lists == 1);
  boost::asio::steady_timer timer(io_, milliseconds(1));
  // Expires before the pause until the maximum age; both handlers are queued.
  timer.async_wait([&](boost::system::error_code) { reader_.Refresh(); });
  std::this_thread::sleep_for(kMaxAge * 2);
  RunFor(milliseconds(20));
  CHECK(store_.lists == 2);
  reader_.Refresh();
  RunFor(milliseconds(20));
  CHECK(store_.lists == 3);
}

// Guards against a confirmation that is read as newer than it was, and against
// malformed ones.
TEST_CASE("ConfigCodec_Confirmation_KeepsItsAge", "[sidecar]") {
  const instant now = MonotonicNow();
  const config_confirmation confirmation{.revision = {.era = 3, .number = 12},
                                         .at = now - milliseconds(340)};
  const auto text = EncodeConfirmation(confirmation, now);
  const auto decoded = DecodeConfirmation(text, now);
  REQUIRE(decoded);
  CHECK(decoded->revision == store_revision{.era = 3, .number = 12});
  CHECK(decoded->at == confirmation.at);
  for (const char* malformed :
       {"", "12", "3 12", "3 12 ", " 12 5", "3 x 5", "3 12 -5", "3  5",
        "3 12 5 6", "3 12 99999999999999999999"}) {
    INFO(malformed);
    CHECK_FALSE(DecodeConfirmation(malformed, now));
  }
}

// Guards against a position that loses its era on the way to another daemon.
TEST_CASE("ConfigCodec_Update_KeepsTheEra", "[sidecar]") {
  const auto update = DecodeUpdate(
      EncodeUpdate({.revision = {.era = 3, .number = 12}, .difference = {}}));
  REQUIRE(update);
  CHECK(update->revision == store_revision{.era = 3, .number = 12});
}

// Guards against a daemon that cannot fetch a configuration from one of an
// older version, whose updates name no era, and reads the store instead.
TEST_CASE("ConfigCodec_UpdateWithoutEra_HasEraZero", "[sidecar]") {
  auto text =
      EncodeUpdate({.revision = {.era = 3, .number = 12}, .difference = {}});
  const std::string era = "\"era\":3,";
  REQUIRE(text.find(era) != std::string::npos);
  text.erase(text.find(era), era.size());
  const auto update = DecodeUpdate(text);
  REQUIRE(update);
  CHECK(update->revision == store_revision{.era = 0, .number = 12});
}

}  // namespace
}  // namespace pomelohall
