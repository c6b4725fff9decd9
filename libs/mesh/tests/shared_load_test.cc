#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/random.h"
#include "mesh/server_directory.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct shared_load_outcome {
  std::size_t requests = 0;
  std::size_t late = 0;
  std::size_t busiest = 0;  ///< Requests of the server with most.

  double LateShare() const {
    return static_cast<double>(late) / static_cast<double>(requests);
  }
};

/// Simulates a service whose servers share their VMs with other programs: 62
/// daemons, 32 of them beside a server of 6 slots. At any moment about a
/// seventh of the servers takes two and a half times as long, for 600 ms. A
/// daemon sends about seven requests a second, so it hears of a server every
/// four seconds by itself.
class shared_load_simulation {
 public:
  explicit shared_load_simulation(bool shares) : shares_(shares) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      daemons_.push_back(std::make_unique<server_directory>(
          server_directory_options{.member = Name(i), .data_centre = "near"},
          i));
      for (std::size_t server = 0; server < kServers; ++server) {
        daemons_.back()->Put({.name = Name(server),
                              .data_centre = "near",
                              .address = "127.0.0.1:1",
                              .incarnation = 1,
                              .server = offered_server{.instance = Name(server),
                                                       .service = "shop",
                                                       .slots = kSlots}},
                             now_);
      }
    }
  }

  shared_load_outcome Simulate() {
    std::vector<std::size_t> by_server(kServers, 0);
    const auto end = now_ + seconds(20);
    for (; now_ < end; now_ += milliseconds(1)) {
      while (!ends_.empty() && ends_.top().at <= now_) {
        End(ends_.top());
        ends_.pop();
      }
      if (now_ >= next_change_) ChangeSpeeds();
      due_ += kRequestsPerMs;
      for (; due_ >= 1; due_ -= 1) ++by_server[Send(random_.Below(kDaemons))];
    }
    for (const auto count : by_server)
      outcome_.busiest = std::max(outcome_.busiest, count);
    return outcome_;
  }

 private:
  static constexpr std::size_t kDaemons = 62;
  static constexpr std::size_t kServers = 32;
  static constexpr std::size_t kSlots = 6;
  static constexpr double kRequestsPerMs = 0.5;
  static constexpr double kRunMs = 190;
  static constexpr auto kTarget = milliseconds(600);

  struct run {
    instant at;
    instant sent;
    std::size_t daemon;
    std::size_t server;
    bool operator>(const run& other) const { return at > other.at; }
  };

  static std::string Name(std::size_t index) {
    return "vm-" + std::to_string(index);
  }

  void ChangeSpeeds() {
    for (auto& percent : percent_)
      percent = random_.NextDouble() < 0.15 ? 250 : 100;
    next_change_ = now_ + milliseconds(600);
  }

  std::size_t Send(std::size_t daemon) {
    const auto choice = daemons_[daemon]->Choose(
        {.service = "shop", .latency_target = kTarget}, now_);
    REQUIRE(choice);
    const auto server = std::stoul(choice->member.name.substr(3));
    daemons_[daemon]->OnSent(choice->member.name, now_);
    if (shares_ && server < kDaemons) Exchange(daemon, server);
    // Work waits for a slot of the server.
    auto& free_at = slots_[server];
    if (free_at.size() < kSlots) free_at.resize(kSlots, now_);
    auto& slot = *std::min_element(free_at.begin(), free_at.end());
    const auto start = std::max(slot, now_);
    const double spread = 0.6 + 0.8 * random_.NextDouble();
    slot = start + std::chrono::duration_cast<duration>(
                       std::chrono::duration<double, std::milli>(
                           kRunMs * spread * percent_[server] / 100));
    ends_.push({.at = slot, .sent = now_, .daemon = daemon, .server = server});
    return server;
  }

  void End(const run& ended) {
    ++outcome_.requests;
    if (ended.at - ended.sent > kTarget) ++outcome_.late;
    auto& directory = *daemons_[ended.daemon];
    std::size_t running = 0;
    for (const auto free_at : slots_[ended.server]) {
      if (free_at > now_) ++running;
    }
    const work_load load{.running = running,
                         .slots = kSlots,
                         .mean_time = milliseconds(190),
                         .work_percent = percent_[ended.server]};
    directory.OnEnded(Name(ended.server), send_outcome::kServed, now_);
    directory.OnLoadReport(Name(ended.server), load, now_);
    if (shares_) Exchange(ended.server, ended.daemon);
  }

  /// Passes on what one daemon knows with a message to another.
  void Exchange(std::size_t from, std::size_t to) {
    for (const auto& load : daemons_[from]->RecentLoads(now_))
      daemons_[to]->OnLoadSummary(load, now_);
  }

  const bool shares_;
  random_source random_{5};
  instant now_ = instant(seconds(1000));
  std::vector<std::unique_ptr<server_directory>> daemons_;
  std::vector<double> percent_ = std::vector<double>(kServers, 100);
  std::vector<std::vector<instant>> slots_ =
      std::vector<std::vector<instant>>(kServers);
  std::priority_queue<run, std::vector<run>, std::greater<>> ends_;
  instant next_change_;
  double due_ = 0;
  shared_load_outcome outcome_;
};

}  // namespace

// Guards against requests that wait at servers whose VMs are slow at the moment
// while others idle, because each daemon knows only what it saw by itself.
TEST_CASE("Directory_SharedLoads_AvoidServersThatAreSlowNow", "[mesh]") {
  const auto alone = shared_load_simulation(false).Simulate();
  const auto shared = shared_load_simulation(true).Simulate();
  INFO("late alone " << alone.LateShare() << ", shared " << shared.LateShare()
                     << "; busiest " << alone.busiest << ", "
                     << shared.busiest);
  CHECK(shared.LateShare() < 0.8 * alone.LateShare());
}

// Guards against a report that replaces a later one, and against one of a
// server that has never reported here.
TEST_CASE("Directory_SharedLoads_LaterReportHolds", "[mesh]") {
  const auto now = instant(seconds(1000));
  server_directory from({.member = "a", .data_centre = "near"}, 1);
  server_directory to({.member = "b", .data_centre = "near"}, 2);
  const mesh_member member{
      .name = "s",
      .data_centre = "near",
      .address = "127.0.0.1:1",
      .incarnation = 1,
      .server = offered_server{.instance = "s", .service = "shop", .slots = 6}};
  from.Put(member, now);
  to.Put(member, now);
  from.OnLoadReport("s", {.running = 5, .slots = 6, .work_percent = 300}, now);
  const auto loads = from.RecentLoads(now + milliseconds(100));
  REQUIRE(loads.size() == 1);
  CHECK(loads.front().busy == 5);
  CHECK(loads.front().age == milliseconds(100));
  CHECK_FALSE(to.SharesLoads(now));
  to.OnLoadSummary(loads.front(), now + milliseconds(100));
  CHECK_FALSE(to.SharesLoads(now));
  to.OnLoadReport("s", {.running = 1, .slots = 6, .work_percent = 100},
                  now + milliseconds(50));
  to.OnLoadSummary(loads.front(), now + milliseconds(100));
  CHECK(to.RecentLoads(now + milliseconds(100)).front().busy == 1);
  CHECK(from.RecentLoads(now + seconds(1)).empty());
}

}  // namespace pomelohall
