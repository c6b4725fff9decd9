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

/// Conditions that all ways of distribution are measured under.
struct network_conditions {
  duration hop = std::chrono::milliseconds(1);  ///< Delay of each message.
  double egress_bytes_per_s = 10e6;             ///< Of each daemon.
  double loss = 0;                              ///< Share of messages lost.
  double platform_calls_per_s = 2000;  ///< Reads the platform sustains.
};

/// Returns the document of the design capacity: 830 services, about 1.5 MB.
/// @param change Differs in one target from other changes.
configuration CapacityDocument(int change);

/// Real machines of one data centre with encoded messages in logical time.
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
  /// Adds a member that joins now.
  void Join(const std::string& name);
  void Accept(config_image_ptr image);
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
    std::unique_ptr<distribution> versions;
    instant egress_free;  ///< When its link has sent all it was given.
  };
  struct event {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> run;
  };
  struct later {
    bool operator()(const event& a, const event& b) const {
      return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
  };

  void At(instant when, std::function<void()> run);
  void TickAll();
  void Send(daemon& from, const std::string& to, const peer_message& message);
  void Receive(const std::string& to, const std::string& frame);
  void Carry(daemon& from, const membership_actions& actions);
  void Carry(daemon& from, const distribution_actions& actions);
  void Do(daemon& from, const send_to_member& action);
  void Do(daemon& from, const send_to_address& action);
  void Do(daemon& from, const membership_changed& action);
  void Do(daemon& from, const read_head& action);
  void Do(daemon& from, const watch_head& action);
  void Do(daemon& from, const read_sections& action);
  void Do(daemon& from, const put_in_force& action);
  void Do(daemon& from, const write_status& action);
  void Do(daemon& /*from*/, const delta_refused& /*action*/) {}
  result<config_head> Head() const;
  void AnswerWatches();

  network_conditions conditions_;
  random_source random_;
  instant now_{};
  instant next_tick_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<event, std::vector<event>, later> events_;
  std::map<std::string, daemon> daemons_;
  std::vector<std::pair<std::string, instant>> watches_;
  config_image_ptr accepted_;
  counts counts_;
};

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CONTROL_NETWORK_H_
