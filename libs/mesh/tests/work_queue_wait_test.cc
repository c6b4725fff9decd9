#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <ostream>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/random.h"
#include "mesh/work_queue.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick(50);

/// Simulates four backend servers that callers offer their requests to, as the
/// daemons do: up to four offers per attempt, the first two with a short
/// maximum wait, and a new attempt after a refusal. Three classes of requests
/// have the priorities 0 to 2.
class wait_simulation {
 public:
  struct outcome {
    double worth = 0;  ///< 1 for each response in time, 0.5 for each late one.
    int requests = 0;
    int served = 0;
    duration longest_wait{0};  ///< From acceptance to start or refusal.
    duration refused_wait{0};  ///< Sum of the waits that ended in a refusal.
  };

  wait_simulation(duration max_wait, double load, std::uint64_t seed)
      : random_(seed),
        load_(load),
        servers_(kServers, work_queue({.slots = kSlots,
                                       .max_wait = max_wait,
                                       .check_interval = kTick})) {}

  outcome Run() {
    events_.push({kStart, event_kind::kArrive, 0, 0, duration(0)});
    for (auto at = kStart; at < kEnd + seconds(12); at += kTick) {
      events_.push({at, event_kind::kTick, 0, 0, duration(0)});
    }
    while (!events_.empty()) {
      const auto event = events_.top();
      events_.pop();
      Handle(event);
    }
    return outcome_;
  }

 private:
  static constexpr std::size_t kServers = 4;
  static constexpr std::size_t kSlots = 6;
  static constexpr instant kStart{seconds(10)};
  static constexpr instant kEnd{seconds(40)};

  struct request_class {
    const char* name;
    int priority;
    double share;
    milliseconds run_time;
    milliseconds target;
    milliseconds deadline;
  };
  static constexpr std::array kClasses{
      request_class{"order", 0, 0.2, milliseconds(150), milliseconds(600),
                    milliseconds(8000)},
      request_class{"list", 1, 0.5, milliseconds(200), milliseconds(900),
                    milliseconds(8000)},
      request_class{"pull", 2, 0.3, milliseconds(300), milliseconds(1500),
                    milliseconds(10'000)}};

  struct request {
    const request_class* type;
    instant sent_at;
    instant target_at;
    instant deadline;
    std::size_t offers = 0;
    int attempts = 1;
    std::set<std::size_t> refused_by;
    instant accepted_at{};
  };

  enum class event_kind { kEnd, kArrive, kTick, kRetry };
  struct event {
    instant at;
    event_kind kind;
    std::uint64_t id;
    std::size_t server;
    duration run_time;
    bool operator>(const event& other) const {
      return std::tie(at, kind, id) > std::tie(other.at, other.kind, other.id);
    }
  };

  void Handle(const event& event) {
    switch (event.kind) {
      case event_kind::kEnd:
        servers_[event.server].OnFinished(event.id, event.run_time);
        Count(requests_[event.id], event.at);
        Dispatch(event.server, event.at);
        break;
      case event_kind::kArrive:
        if (event.at < kEnd) Arrive(event.at);
        break;
      case event_kind::kTick:
        for (std::size_t i = 0; i < kServers; ++i) Dispatch(i, event.at);
        break;
      case event_kind::kRetry: {
        auto& retried = requests_[event.id];
        retried.offers = 0;
        retried.refused_by.clear();
        retried.target_at = event.at;
        Offer(event.id, event.at);
        break;
      }
    }
  }

  void Arrive(instant now) {
    double mean_us = 0;
    for (const auto& type : kClasses) {
      mean_us +=
          type.share * static_cast<double>(duration(type.run_time).count());
    }
    const auto interval = duration(static_cast<std::int64_t>(
        2 * random_.NextDouble() * mean_us /
        (load_ * static_cast<double>(kServers * kSlots))));
    events_.push({now + interval, event_kind::kArrive, 0, 0, duration(0)});
    const double draw = random_.NextDouble();
    const auto& type = kClasses[draw < 0.2 ? 0 : draw < 0.7 ? 1 : 2];
    requests_.push_back({.type = &type,
                         .sent_at = now,
                         .target_at = now + type.target,
                         .deadline = now + type.deadline,
                         .refused_by = {}});
    ++outcome_.requests;
    Offer(requests_.size() - 1, now);
  }

  void Offer(std::uint64_t id, instant now) {
    constexpr std::size_t kMaxOffers = 4;
    constexpr std::size_t kShortWaitOffers = 2;
    auto& offered = requests_[id];
    while (offered.offers < kMaxOffers && now < offered.deadline) {
      const auto server = LeastLoaded(offered);
      const bool short_wait = ++offered.offers <= kShortWaitOffers;
      if (!short_wait) offered.refused_by.insert(server);
      offered.accepted_at = now;
      const auto decision = servers_[server].Offer(
          {.id = id,
           .work_class = offered.type->name,
           .priority = offered.type->priority,
           .target_at = offered.target_at,
           .deadline = offered.deadline,
           .link_free_at = {},
           .max_wait = short_wait ? duration(offered.type->target) / 20
                                  : duration::max()},
          now);
      if (decision == queue_decision::kRun) Start(id, server, now);
      if (decision != queue_decision::kRefuse) return;
    }
    Refuse(id, now);
  }

  // The reports that daemons choose by are outdated by a few requests.
  std::size_t LeastLoaded(const request& offered) {
    std::size_t best = 0;
    std::size_t best_load = SIZE_MAX;
    for (std::size_t i = 0; i < kServers; ++i) {
      const auto load = servers_[i].Load();
      const auto busy = load.running + load.waiting + random_.Below(4);
      if (offered.refused_by.contains(i) || busy >= best_load) continue;
      best = i;
      best_load = busy;
    }
    return best;
  }

  // The caller sends a refused request again after the time that it is told.
  void Refuse(std::uint64_t id, instant now) {
    constexpr int kMaxAttempts = 5;
    auto& refused = requests_[id];
    const auto left = refused.deadline - now;
    if (refused.attempts == kMaxAttempts || left < milliseconds(200)) return;
    ++refused.attempts;
    const double share = 0.25 + 0.08 * random_.NextDouble();
    events_.push({now + std::chrono::duration_cast<duration>(share * left),
                  event_kind::kRetry, id, 0, duration(0)});
  }

  // Run times vary by a factor of four, and one backend server is slower.
  void Start(std::uint64_t id, std::size_t server, instant now) {
    NoteWait(id, now);
    double factor = 0.4 + 1.2 * random_.NextDouble();
    if (server == 1) factor *= 1.5;
    const auto run_time = std::chrono::duration_cast<duration>(
        factor * requests_[id].type->run_time);
    events_.push({now + run_time, event_kind::kEnd, id, server, run_time});
  }

  void Dispatch(std::size_t server, instant now) {
    for (const auto id : servers_[server].TakeExpired(now)) {
      outcome_.refused_wait += NoteWait(id, now);
      Offer(id, now);
    }
    while (const auto id = servers_[server].Next(now)) Start(*id, server, now);
  }

  duration NoteWait(std::uint64_t id, instant now) {
    const auto wait = now - requests_[id].accepted_at;
    outcome_.longest_wait = std::max(outcome_.longest_wait, wait);
    return wait;
  }

  void Count(const request& ended, instant now) {
    if (now > ended.deadline) return;
    ++outcome_.served;
    outcome_.worth += now - ended.sent_at <= ended.type->target ? 1 : 0.5;
  }

  random_source random_;
  const double load_;
  std::vector<work_queue> servers_;
  std::vector<request> requests_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  outcome outcome_;
};

// Guards against accepted requests that wait until their deadline (8 to 10 s)
// for a slot because others always precede them, and against a bound on that
// wait that costs callers more than it gives them. The bound here is
// shorter than the 5.25 s that the sidecar has by default.
TEST_CASE("WorkQueue_LongOverload_BoundsTheWaitAtEqualWorth", "[mesh][load]") {
  constexpr milliseconds kMaxWait(1867);
  const double load = GENERATE(0.95, 1.3, 2.0);
  const std::uint64_t seed = GENERATE(1, 2, 3);
  const auto unbounded = wait_simulation(duration::max(), load, seed).Run();
  const auto bounded = wait_simulation(kMaxWait, load, seed).Run();
  CAPTURE(load, seed, unbounded.longest_wait.count(),
          bounded.longest_wait.count(), unbounded.worth, bounded.worth,
          unbounded.served, bounded.served, unbounded.refused_wait.count(),
          bounded.refused_wait.count(), bounded.requests);
  CHECK(bounded.longest_wait <= kMaxWait);
  CHECK(bounded.worth > 0.97 * unbounded.worth);
  if (load > 1) {
    CHECK(unbounded.longest_wait > 2 * kMaxWait);
    CHECK(bounded.refused_wait < unbounded.refused_wait / 2);
  }
}

}  // namespace

/// One step of a generated sequence: a request that is offered, a request that
/// ends or both, followed by a pause.
struct queue_step {
  bool offer = false;
  bool finish = false;
  int priority = 0;
  int target_ms = 0;
  int deadline_ms = 0;
  int link_ms = 0;       ///< Until the link is free.
  int link_time_ms = 0;  ///< Link time of the response.
  int run_ms = 0;        ///< Run time that is recorded for the ended request.
  int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const queue_step& step) {
  if (step.offer) {
    out << "offer priority " << step.priority << " target " << step.target_ms
        << " deadline " << step.deadline_ms << " link " << step.link_ms << "+"
        << step.link_time_ms << " ";
  }
  if (step.finish) out << "finish run " << step.run_ms << " ";
  return out << "pause " << step.pause_ms;
}

namespace {

// The environment variable RC_PARAMS overrides the parameters, for example to
// replay a failing seed.
constexpr const char* kRapidCheckParameters =
    "seed=20260101 max_success=1000 max_size=200";

rc::Gen<queue_step> GenerateStep() {
  return rc::gen::build<queue_step>(
      rc::gen::set(&queue_step::offer,
                   rc::gen::weightedElement<bool>({{3, true}, {1, false}})),
      rc::gen::set(&queue_step::finish),
      rc::gen::set(&queue_step::priority, rc::gen::inRange(0, 3)),
      rc::gen::set(&queue_step::target_ms, rc::gen::inRange(0, 1500)),
      rc::gen::set(&queue_step::deadline_ms, rc::gen::inRange(100, 10'000)),
      rc::gen::set(&queue_step::link_ms,
                   rc::gen::weightedOneOf<int>(
                       {{3, rc::gen::just(0)}, {1, rc::gen::inRange(0, 900)}})),
      rc::gen::set(&queue_step::link_time_ms, rc::gen::inRange(0, 200)),
      rc::gen::set(&queue_step::run_ms, rc::gen::inRange(10, 600)),
      rc::gen::set(&queue_step::pause_ms, rc::gen::inRange(0, 60)));
}

/// Runs a sequence as a daemon does, with a tick at least every 50 ms, and
/// checks what the queue promises for accepted requests.
class promise_checker {
 public:
  void Run(const queue_step& step) {
    if (step.offer) Offer(step);
    if (step.finish && !running_.empty()) {
      queue_.OnFinished(running_.front(), milliseconds(step.run_ms));
      running_.erase(running_.begin());
      Dispatch();
    }
    for (milliseconds left(step.pause_ms); left.count() > 0; left -= kTick) {
      now_ += std::min(left, kTick);
      Tick();
    }
  }

  /// No further request arrives or ends: each accepted one has been started or
  /// returned once `max_wait` has passed.
  void CheckNothingIsLeft() {
    for (duration waited{0}; waited < kMaxWait; waited += kTick) {
      now_ += kTick;
      Tick();
    }
    RC_ASSERT(accepted_.empty());
    RC_ASSERT(queue_.Load().waiting == 0U);
  }

 private:
  static constexpr milliseconds kMaxWait{700};

  struct accepted_request {
    instant at;
    instant deadline;
    instant link_free_at;
    duration link_time;
  };

  void Offer(const queue_step& step) {
    const work_item item{.id = ++last_id_,
                         .work_class = "class" + std::to_string(step.priority),
                         .priority = step.priority,
                         .target_at = now_ + milliseconds(step.target_ms),
                         .deadline = now_ + milliseconds(step.deadline_ms),
                         .link_free_at = now_ + milliseconds(step.link_ms),
                         .link_time = milliseconds(step.link_time_ms)};
    const auto decision = queue_.Offer(item, now_);
    classes_[item.id] = item.work_class;
    if (decision == queue_decision::kRun) running_.push_back(item.id);
    if (decision == queue_decision::kWait) {
      accepted_[item.id] = {now_, item.deadline, item.link_free_at,
                            item.link_time};
    }
  }

  // Requests that were offered when a slot was free do not wait for a tick.
  void Tick() {
    Dispatch();
    for (const auto& [id, request] : accepted_) {
      const auto next_tick = now_ + kTick;
      RC_ASSERT(next_tick <= request.at + kMaxWait);
      RC_ASSERT(EndIfStarted(id, request, next_tick) <= request.deadline);
    }
    RC_ASSERT(accepted_.size() == queue_.Load().waiting);
    RC_ASSERT(accepted_.empty() || running_.size() >= kSlots);
  }

  void Dispatch() {
    for (const auto id : queue_.TakeExpired(now_)) {
      RC_ASSERT(accepted_.erase(id) == 1U);
    }
    while (const auto id = queue_.Next(now_)) {
      const auto found = accepted_.find(*id);
      RC_ASSERT(found != accepted_.end());
      RC_ASSERT(now_ <= found->second.at + kMaxWait);
      RC_ASSERT(EndIfStarted(*id, found->second, now_) <=
                found->second.deadline);
      accepted_.erase(found);
      running_.push_back(*id);
    }
    RC_ASSERT(running_.size() <= kSlots);
  }

  // Expected end of the transmission of the response.
  instant EndIfStarted(std::uint64_t id, const accepted_request& request,
                       instant start) {
    const auto ready_at = start + queue_.MeanRunTime(classes_[id]);
    return std::max(ready_at, request.link_free_at) + request.link_time;
  }

  static constexpr std::size_t kSlots = 3;
  work_queue queue_{
      {.slots = kSlots, .max_wait = kMaxWait, .check_interval = kTick}};
  instant now_{seconds(100)};
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, accepted_request> accepted_;
  std::map<std::uint64_t, std::string> classes_;
  std::vector<std::uint64_t> running_;
};

// Guards against a request that is accepted and then neither started within the
// maximum wait and in time for its deadline, nor returned.
TEST_CASE("WorkQueue_GeneratedSequences_KeepTheirPromises", "[mesh]") {
  REQUIRE(::setenv("RC_PARAMS", kRapidCheckParameters, 0) == 0);
  CHECK(rc::check([] {
    const auto steps =
        *rc::gen::container<std::vector<queue_step>>(GenerateStep());
    promise_checker checker;
    for (const auto& step : steps) checker.Run(step);
    checker.CheckNothingIsLeft();
  }));
}

}  // namespace
}  // namespace pomelohall
