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
#include "mesh/offer_planner.h"
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
  double requests_per_ms = 1.2;  ///< The servers have a capacity of 1.5.
  /// Makes fewer offers while they are refused; otherwise always four.
  bool adapt_offers = false;
};

struct placement_outcome {
  std::size_t arrived = 0;
  std::size_t in_time = 0;
  std::size_t offers = 0;

  double InTimeShare() const {
    return static_cast<double>(in_time) / static_cast<double>(arrived);
  }
  double OffersPerRequest() const {
    return static_cast<double>(offers) / static_cast<double>(arrived);
  }
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

  /// Plays twelve seconds.
  placement_outcome Simulate() {
    const auto start = now_;
    double arrivals = 0;
    for (; now_ < start + seconds(12); now_ += milliseconds(1)) {
      EndRuns();
      arrivals += options_.requests_per_ms;
      for (; arrivals >= 1; arrivals -= 1) Arrive();
    }
    return outcome_;
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
    ++outcome_.arrived;
    const auto id = ++last_id_;
    auto& entry = *entries_[id % kEntries];
    auto& planner = planners_[id % kEntries];
    const auto plan = Plan(planner);
    std::set<std::string> excluded;
    for (std::size_t offer = 1; offer <= plan.Total(); ++offer) {
      const auto choice = entry.Choose(
          {.service = "shop", .latency_target = kTarget, .excluded = excluded},
          now_);
      if (!choice) return;
      ++outcome_.offers;
      const bool short_wait = offer <= plan.short_wait;
      const std::size_t server = std::stoul(choice->member.name);
      entry.OnSent(choice->member.name, now_);
      const auto decision = queues_[server].Offer(
          {.id = id,
           .work_class = "lookup",
           .target_at = now_ + kTarget,
           .deadline = now_ + seconds(2),
           .max_wait =
               short_wait ? duration(milliseconds(30)) : duration::max()},
          now_);
      planner.OnOffer(short_wait, decision == queue_decision::kRefuse, now_);
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

  offer_plan Plan(const offer_planner& planner) const {
    if (options_.adapt_offers) return planner.Plan(now_);
    return {.short_wait = options_.short_wait_offers,
            .patient = kMaxOffers - options_.short_wait_offers};
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
      if (now_ - done.arrived <= kTarget) ++outcome_.in_time;
      while (const auto next = queue.Next(now_)) Run(*next, done.server);
    }
  }

  const placement_options options_;
  std::vector<work_queue> queues_;
  std::vector<std::unique_ptr<server_directory>> entries_;
  std::vector<offer_planner> planners_ =
      std::vector<offer_planner>(kEntries, offer_planner({}));
  random_source random_{3};
  instant now_{seconds(100)};
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, request> requests_;
  std::unordered_map<std::uint64_t, instant> started_;
  std::priority_queue<run_end, std::vector<run_end>, std::greater<>> ends_;
  placement_outcome outcome_;
};

// Guards against queues on some servers of a large service while others have
// free slots. This happens when each daemon chooses the best server by load
// reports that are older than the duration of a request.
TEST_CASE("Placement_LargeServiceWithOldReports_FindsFreeSlots",
          "[mesh][load]") {
  const double with_sampling =
      large_service_simulation({}).Simulate().InTimeShare();
  const double without_sampling =
      large_service_simulation(
          {.max_compared = std::numeric_limits<std::size_t>::max(),
           .short_wait_offers = 0})
          .Simulate()
          .InTimeShare();
  CAPTURE(with_sampling, without_sampling);
  CHECK(with_sampling > 0.93);
  CHECK(with_sampling > without_sampling + 0.02);
}

// Guards against daemons that spend their processor time on offers that are
// refused, while all servers of a service are busy: each refused request was
// offered four times.
TEST_CASE("Placement_OverloadedService_MakesFewOffers", "[mesh][load]") {
  const placement_options overload{.requests_per_ms = 2.5};
  auto adaptive_overload = overload;
  adaptive_overload.adapt_offers = true;
  const auto fixed = large_service_simulation(overload).Simulate();
  const auto adaptive = large_service_simulation(adaptive_overload).Simulate();
  CAPTURE(fixed.InTimeShare(), adaptive.InTimeShare(), fixed.OffersPerRequest(),
          adaptive.OffersPerRequest());
  CHECK(adaptive.OffersPerRequest() < fixed.OffersPerRequest() / 2);
  CHECK(adaptive.InTimeShare() > fixed.InTimeShare() - 0.01);
}

// Guards against requests that are refused after too few offers although other
// servers have free slots.
TEST_CASE("Placement_FreeServers_AreStillFoundWithAdaptedOffers",
          "[mesh][load]") {
  const auto fixed = large_service_simulation({}).Simulate();
  const auto adaptive =
      large_service_simulation({.adapt_offers = true}).Simulate();
  CAPTURE(fixed.InTimeShare(), adaptive.InTimeShare());
  CHECK(adaptive.InTimeShare() > fixed.InTimeShare() - 0.01);
}

}  // namespace
}  // namespace pomelohall
