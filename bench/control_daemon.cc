#include "control_daemon.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "allocation_counter.h"
#include "control_network.h"
#include "distribution/commit_coordinator.h"
#include "membership/membership.h"
#include "messages/message.h"

namespace pomelohall::bench {
namespace {

constexpr std::size_t kDataCentres = 6;
constexpr std::size_t kSingleDataCentreLimit = 60;
constexpr int kIdleSeconds = 60;
constexpr int kBatchCount = 20;
constexpr int kCallsPerBatch = 2000;

member_record MakeRecord(std::size_t index, std::size_t members) {
  const std::size_t data_centre =
      members < kSingleDataCentreLimit ? 0 : index % kDataCentres;
  member_record record;
  record.name = "vm-" + std::to_string(100'000 + index);
  record.region = "luzon";
  record.data_centre = "dc-" + std::to_string(data_centre);
  record.forward_address = "10.0.100.100:7001";
  record.peer_address = "10.0.100.100:7002";
  record.incarnation = 1'700'000'000'000;
  record.sequence = 1;
  record.backend = {.service = "service-" + std::to_string(index % 830),
                    .slots = 20,
                    .state = backend_state::kReady};
  return record;
}

std::unique_ptr<membership> MakeDaemon(std::size_t members) {
  membership_options options;
  options.cluster = "bench";
  options.self = MakeRecord(0, members);
  return std::make_unique<membership>(options, 1);
}

member_sync_message MakeFullSync(std::size_t members) {
  member_sync_message sync;
  for (std::size_t i = 1; i < members; ++i) {
    sync.records.push_back(MakeRecord(i, members));
  }
  sync.complete = true;
  return sync;
}

// Returns the mean of the fastest batch, which is the least affected by other
// load on the machine.
template <typename Function>
double NanosecondsPerCall(Function call) {
  double fastest = std::numeric_limits<double>::max();
  for (int batch = 0; batch < kBatchCount; ++batch) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kCallsPerBatch; ++i) call(i);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    fastest = std::min(
        fastest, std::chrono::duration<double, std::nano>(elapsed).count());
  }
  return fastest / kCallsPerBatch;
}

// Runs an idle daemon: every ping is answered and all digests are equal.
void MeasureIdle(membership& daemon, instant start, daemon_cost& cost) {
  instant now = start;
  double messages = 0;
  double bytes = 0;
  for (int tick = 0; tick < kIdleSeconds * 10; ++tick) {
    now += std::chrono::milliseconds(100);
    for (const auto& action : daemon.Tick(now)) {
      const auto* send = std::get_if<send_to_member>(&action);
      if (send == nullptr) continue;
      ++messages;
      bytes += static_cast<double>(
          EncodeEnvelope({.from = daemon.Self().name,
                          .incarnation = daemon.Self().incarnation,
                          .body = send->body})
              .size());
      if (const auto* ping = std::get_if<ping_message>(&send->body)) {
        daemon.OnMessage(
            send->member,
            ping_ack_message{.seq = ping->seq, .member = send->member}, now);
      }
    }
  }
  cost.messages_per_s = messages / kIdleSeconds;
  cost.bytes_per_s = bytes / kIdleSeconds;
}

double MeasureAckNanoseconds(std::size_t members) {
  commit_coordinator coordinator{distribution_options{}, 1};
  const std::size_t in_data_centre =
      members < kSingleDataCentreLimit ? members : members / kDataCentres;
  return NanosecondsPerCall([&](int i) {
    const std::size_t index = static_cast<std::size_t>(i) % in_data_centre;
    coordinator.OnAck("vm-" + std::to_string(index),
                      {.version = static_cast<config_version>(i),
                       .incarnation = 1,
                       .in_force = 1});
  });
}

double EncodedBytes(const peer_message& body) {
  return static_cast<double>(
      EncodeEnvelope({.from = "vm-100000", .incarnation = 1, .body = body})
          .size());
}

}  // namespace

daemon_cost MeasureDaemon(std::size_t members) {
  daemon_cost cost;
  auto daemon = MakeDaemon(members);
  const instant start{};
  daemon->Tick(start);
  const auto sync = MakeFullSync(members);
  cost.full_sync_bytes = EncodedBytes(sync);
  const std::uint64_t before = AllocatedBytes();
  daemon->OnMessage(sync.records[0].name, sync, start);
  cost.bytes_per_record = static_cast<double>(AllocatedBytes() - before) /
                          static_cast<double>(members - 1);
  MeasureIdle(*daemon, start, cost);
  const instant now = start + std::chrono::seconds(kIdleSeconds);
  cost.ping_ns = NanosecondsPerCall([&](int i) {
    daemon->OnMessage(sync.records[0].name,
                      ping_message{.seq = static_cast<std::uint64_t>(i)}, now);
  });
  member_record changed = sync.records.back();
  cost.event_ns = NanosecondsPerCall([&](int) {
    ++changed.sequence;
    daemon->OnMessage(sync.records[0].name, member_event_message{{changed}},
                      now);
  });
  cost.ack_ns = MeasureAckNanoseconds(members);
  return cost;
}

image_cost MeasureImage() {
  image_cost cost;
  const auto config = DesignCapacityConfiguration(1);
  const auto changed = DesignCapacityConfiguration(2);
  const std::uint64_t before = AllocatedBytes();
  const auto first = *BuildImage(config, nullptr, "change-1");
  const std::uint64_t with_first = AllocatedBytes();
  const auto second = *BuildImage(changed, first.get(), "change-2");
  const std::uint64_t with_second = AllocatedBytes();
  cost.image_bytes = static_cast<double>(with_first - before);
  cost.next_image_bytes = static_cast<double>(with_second - with_first);
  cost.full_state_bytes = EncodedBytes(delta_message{MakeDelta(*second, 0)});
  cost.delta_bytes = EncodedBytes(delta_message{MakeDelta(*second, 1)});
  cost.head_bytes = static_cast<double>(FormatHead(second->head).size());
  for (const auto& section : second->sections) {
    cost.section_bytes += static_cast<double>(section->size()) / kSectionCount;
  }
  return cost;
}

}  // namespace pomelohall::bench
