#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "mesh/server_directory.h"
#include "mesh/work_queue.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct placement_options {
  std::size_t max_compared = 5;  ///< As in server_directory_options.
  /// Number of offers of a request that servers refuse if it would have to
  /// wait for more than 30 ms.
  std::size_t short_wait_offers = 2;
};

/// Simulates a large service whose daemons have outdated load reports: 40
/// servers of 10 slots, half of them half as fast, and 40 entry daemons. A
/// daemon receives the load of a server only with a response to its own
/// requests, about every 1.5 seconds.
class large_service_simulation {
 public:
  explicit large_service_simulation(placement_options options)
      : options_(options) {
    for (std::size_t i = 0; i < kServers; ++i) {
      queues_.emplace_back(work_queue_options{.slots = 10});
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<server_directory>(
          server_directory_options{.member = "entry",
                                   .data_centre = "near",
                                   .max_compared = options_.max_compared},
          i));
      for (std::size_t server = 0; server < kServers; ++server) {
        entries_.back()->Put(
            {.name = std::to_string(server),
             .data_centre = "near",
             .address = "127.0.0.1:1",
             .incarnation = 1,
             .server = offered_server{.instance = std::to_string(server),
                                      .service = "shop",
                                      .slots = 10}},
            now_);
      }
    }
  }

  /// Returns the share of requests that met their target, at 80% of the
  /// capacity of the servers.
  double Simulate() {
    const auto start = now_;
    double arrivals = 0;
    for (; now_ < start + seconds(12); now_ += milliseconds(1)) {
      EndRuns();
      for (arrivals += 1.2; arrivals >= 1; arrivals -= 1) Arrive();
    }
    return static_cast<double>(in_time_) / static_cast<double>(arrived_);
  }

 private:
  static constexpr std::size_t kServers = 40;
  static constexpr std::size_t kEntries = 40;
  static constexpr std::size_t kMaxOffers = 4;
  static constexpr auto kTarget = milliseconds(600);

  struct request {
    std::size_t entry;
    std::size_t server;
    instant arrived;
  };
  struct run_end {
    instant at;
    std::uint64_t id;
    bool operator>(const run_end& other) const { return at > other.at; }
  };

  static duration MeanRunTime(std::size_t server) {
    return milliseconds(server % 2 == 0 ? 200 : 400);
  }

  void Arrive() {
    ++arrived_;
    const auto id = ++last_id_;
    auto& entry = *entries_[id % kEntries];
    std::set<std::string> excluded;
    for (std::size_t offer = 1; offer <= kMaxOffers; ++offer) {
      const auto choice = entry.Choose(
          {.service = "shop", .latency_target = kTarget, .excluded = excluded},
          now_);
      if (!choice) return;
      const bool short_wait = offer <= options_.short_wait_offers;
      const std::size_t server = std::stoul(choice->member.name);
      entry.OnSent(choice->member.name);
      const auto decision = queues_[server].Offer(
          {.id = id,
           .work_class = "lookup",
           .target_at = now_ + kTarget,
           .deadline = now_ + seconds(2),
           .max_wait =
               short_wait ? duration(milliseconds(30)) : duration::max()},
          now_);
      if (decision != queue_decision::kRefuse) {
        requests_.emplace(id, request{id % kEntries, server, now_});
        if (decision == queue_decision::kRun) Run(id, server);
        return;
      }
      entry.OnEnded(choice->member.name, send_outcome::kRefused, now_);
      entry.OnLoadReport(choice->member.name, queues_[server].Load(), now_);
      if (!short_wait) excluded.insert(choice->member.name);
    }
  }

  void Run(std::uint64_t id, std::size_t server) {
    const double factor = 0.5 + random_.NextDouble();  // Run times vary.
    ends_.push({now_ + std::chrono::duration_cast<duration>(
                           factor * MeanRunTime(server)),
                id});
    started_.emplace(id, now_);
  }

  void EndRuns() {
    while (!ends_.empty() && ends_.top().at <= now_) {
      const auto id = ends_.top().id;
      ends_.pop();
      const auto done = requests_.at(id);
      auto& queue = queues_[done.server];
      queue.OnFinished(id, now_ - started_.at(id));
      auto& entry = *entries_[done.entry];
      entry.OnEnded(std::to_string(done.server), send_outcome::kServed, now_);
      entry.OnLoadReport(std::to_string(done.server), queue.Load(), now_);
      if (now_ - done.arrived <= kTarget) ++in_time_;
      while (const auto next = queue.Next(now_)) Run(*next, done.server);
    }
  }

  const placement_options options_;
  std::vector<work_queue> queues_;
  std::vector<std::unique_ptr<server_directory>> entries_;
  random_source random_{3};
  instant now_{seconds(100)};
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, request> requests_;
  std::unordered_map<std::uint64_t, instant> started_;
  std::priority_queue<run_end, std::vector<run_end>, std::greater<>> ends_;
  std::size_t arrived_ = 0;
  std::size_t in_time_ = 0;
};

// Guards against queues on some servers of a large service while others have
// free slots. This happens when each daemon chooses the best server by load
// reports that are older than the duration of a request.
TEST_CASE("Placement_LargeServiceWithOldReports_FindsFreeSlots",
          "[mesh][load]") {
  const double with_sampling = large_service_simulation({}).Simulate();
  const double without_sampling =
      large_service_simulation(
          {.max_compared = std::numeric_limits<std::size_t>::max(),
           .short_wait_offers = 0})
          .Simulate();
  CAPTURE(with_sampling, without_sampling);
  CHECK(with_sampling > 0.93);
  CHECK(with_sampling > without_sampling + 0.02);
}

}  // namespace
}  // namespace pomelohall
