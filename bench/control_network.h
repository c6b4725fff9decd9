#ifndef POMELOHALL_BENCH_CONTROL_NETWORK_H_
#define POMELOHALL_BENCH_CONTROL_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/distribution.h"
#include "membership/membership.h"

namespace pomelohall::bench {

/// Network conditions under which the distribution methods are compared.
struct network_conditions {
  duration hop = std::chrono::milliseconds(1);  ///< Delay of each message.
  double egress_bytes_per_s = 10e6;             ///< Per daemon.
  double loss = 0;                              ///< Share of messages lost.
  double platform_calls_per_s = 2000;           ///< Maximum rate of reads.
};

/// Returns a configuration of the design size: 830 services, about 1.5 MB.
/// @param change Added to one target, so that different changes differ in it.
configuration DesignCapacityConfiguration(int change);

/// Discrete-event simulation of the daemons of one data centre. They run the
/// production membership and distribution code and exchange encoded messages.
class control_network {
 public:
  struct counts {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t platform_calls = 0;
  };

  control_network(std::size_t members, network_conditions conditions,
                  std::uint64_t seed);

  void StartAll();
  /// Adds a daemon that joins the cluster at the current time.
  void Join(const std::string& name);
  /// Makes an image the accepted version of the platform.
  void AcceptVersion(config_image_ptr image);
  void RunFor(duration span);
  /// Returns the time until the condition holds, or `limit`.
  duration RunUntil(const std::function<bool()>& condition, duration limit);

  bool AllStaged() const;
  bool AllInForce() const;
  const counts& Counts() const { return counts_; }
  std::size_t Size() const { return daemons_.size(); }

 private:
  struct daemon {
    std::string name;
    std::unique_ptr<membership> table;
    std::unique_ptr<distribution> config_distribution;
    instant egress_free_at;  ///< When all queued messages are sent.
  };
  struct event {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> run;
  };
  struct runs_later {
    bool operator()(const event& a, const event& b) const {
      return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
  };

  void ScheduleAt(instant when, std::function<void()> run);
  void TickAll();
  void Send(daemon& from, const std::string& to, const peer_message& message);
  void Receive(const std::string& to, const std::string& frame);
  void ExecuteAll(daemon& from, const membership_actions& actions);
  void ExecuteAll(daemon& from, const distribution_actions& actions);
  void Execute(daemon& from, const send_to_member& action);
  void Execute(daemon& from, const send_to_address& action);
  void Execute(daemon& from, const membership_changed& action);
  void Execute(daemon& from, const read_head& action);
  void Execute(daemon& from, const watch_head& action);
  void Execute(daemon& from, const read_sections& action);
  void Execute(daemon& from, const put_in_force& action);
  void Execute(daemon& from, const write_status& action);
  void Execute(daemon& /*from*/, const delta_refused& /*action*/) {}
  result<config_head> AcceptedHead() const;
  void AnswerWatches();

  network_conditions conditions_;
  random_source random_;
  instant now_{};
  instant next_tick_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<event, std::vector<event>, runs_later> events_;
  std::map<std::string, daemon> daemons_;
  std::vector<std::pair<std::string, instant>> watches_;
  config_image_ptr accepted_image_;
  counts counts_;
};

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CONTROL_NETWORK_H_
