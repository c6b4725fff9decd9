// Prints how the cost of the control plane grows with the size of the fleet, in
// bytes, messages, simulated time and ratios of CPU times. The slope is the
// exponent of a power law fitted to the values.
#include <array>
#include <cmath>
#include <cstddef>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "control_baselines.h"
#include "control_daemon.h"
#include "control_network.h"

namespace pomelohall::bench {
namespace {

constexpr std::array<std::size_t, 4> kFleetSizes{10, 100, 1000, 5500};
constexpr std::array<std::size_t, 3> kNetworkSizes{10, 50, 150};
constexpr duration kIdleTime = std::chrono::seconds(60);
constexpr duration kTimeLimit = std::chrono::seconds(60);
constexpr int kLabelWidth = 46;
constexpr int kValueWidth = 13;
constexpr std::uint64_t kSeed = 1;

// Fits y = c * n^slope by least squares of the logarithms.
double PowerLawExponent(const std::vector<double>& sizes,
                        const std::vector<double>& values) {
  const auto count = static_cast<double>(sizes.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const double x = std::log(sizes[i]);
    const double y = std::log(std::max(values[i], 1e-9));
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
  }
  return (count * sxy - sx * sy) / (count * sxx - sx * sx);
}

void PrintRow(const std::string& label, const std::vector<double>& sizes,
              const std::vector<double>& values) {
  std::cout << std::left << std::setw(kLabelWidth) << label << std::right
            << std::fixed << std::setprecision(1);
  for (const double value : values) {
    std::cout << std::setw(kValueWidth) << value;
  }
  std::cout << std::setw(kValueWidth) << std::setprecision(2)
            << PowerLawExponent(sizes, values) << "\n";
}

void PrintHeader(const std::string& label, const std::vector<double>& sizes) {
  std::cout << "\n"
            << std::left << std::setw(kLabelWidth) << label << std::right
            << std::fixed << std::setprecision(0);
  for (const double size : sizes) {
    std::cout << std::setw(kValueWidth) << size;
  }
  std::cout << std::setw(kValueWidth) << "slope"
            << "\n";
}

std::vector<double> RatiosToFirst(std::vector<double> values) {
  const double first = values.front();
  for (double& value : values) value /= first;
  return values;
}

template <typename Field>
std::vector<double> Column(const std::vector<daemon_cost>& costs, Field field) {
  std::vector<double> values;
  values.reserve(costs.size());
  for (const auto& cost : costs) values.push_back(cost.*field);
  return values;
}

void MeasureAndPrintDaemons() {
  const std::vector<double> sizes(kFleetSizes.begin(), kFleetSizes.end());
  std::vector<daemon_cost> costs;
  costs.reserve(kFleetSizes.size());
  for (const std::size_t members : kFleetSizes) {
    costs.push_back(MeasureDaemon(members));
  }
  PrintHeader("one daemon, members of the fleet", sizes);
  PrintRow("heap bytes for a member record", sizes,
           Column(costs, &daemon_cost::bytes_per_record));
  PrintRow("membership messages sent/s when idle", sizes,
           Column(costs, &daemon_cost::messages_per_s));
  PrintRow("membership bytes sent/s when idle", sizes,
           Column(costs, &daemon_cost::bytes_per_s));
  PrintRow("full member table for a joiner, bytes", sizes,
           Column(costs, &daemon_cost::full_sync_bytes));
  PrintRow("CPU of a ping, ratio to the first column", sizes,
           RatiosToFirst(Column(costs, &daemon_cost::ping_ns)));
  PrintRow("CPU of a member event, ratio", sizes,
           RatiosToFirst(Column(costs, &daemon_cost::event_ns)));
  PrintRow("CPU of an ack at an aggregator, ratio", sizes,
           RatiosToFirst(Column(costs, &daemon_cost::ack_ns)));
}

void PrintImageCost(const image_cost& cost) {
  std::cout << "\nimage of 830 services" << std::setprecision(0) << std::fixed
            << "\n  heap bytes, first image         " << cost.image_bytes
            << "\n  heap bytes, one section changed " << cost.next_image_bytes
            << "\n  full state, encoded bytes       " << cost.full_state_bytes
            << "\n  delta, encoded bytes            " << cost.delta_bytes
            << "\n  head object, bytes              " << cost.head_bytes
            << "\n  section, mean bytes             " << cost.section_bytes
            << "\n";
}

struct network_cost {
  double idle_messages = 0;    ///< Per daemon and second.
  double idle_bytes = 0;       ///< Per daemon and second.
  double change_messages = 0;  ///< Per daemon.
  double change_bytes = 0;     ///< Per daemon.
  double join_bytes = 0;       ///< Of the whole network.
  double join_calls = 0;       ///< To the platform.
  double join_ms = 0;          ///< Until in force on the joiner.
  double staged_ms = 0;        ///< Until staged on all daemons.
  double in_force_ms = 0;      ///< Until in force on all daemons.
  change_cost change;
};

// Subtracts the traffic of the idle network, so that only that of the change or
// the join remains.
network_cost MeasureNetwork(std::size_t members,
                            const network_conditions& conditions) {
  network_cost cost;
  const auto count = static_cast<double>(members);
  control_network network(members, conditions, kSeed);
  const auto first =
      *BuildImage(DesignCapacityConfiguration(1), nullptr, "change-1");
  network.StartAll();
  network.AcceptVersion(first);
  network.RunUntil([&] { return network.AllInForce(); }, kTimeLimit);
  network.RunFor(kIdleTime);
  const auto idle_start = network.Counts();
  network.RunFor(kIdleTime);
  const auto idle_end = network.Counts();
  const double idle_s = std::chrono::duration<double>(kIdleTime).count();
  const auto messages =
      static_cast<double>(idle_end.messages - idle_start.messages);
  const auto bytes = static_cast<double>(idle_end.bytes - idle_start.bytes);
  cost.idle_messages = messages / count / idle_s;
  cost.idle_bytes = bytes / count / idle_s;

  network.AcceptVersion(
      *BuildImage(DesignCapacityConfiguration(2), first.get(), "change-2"));
  const duration staged =
      network.RunUntil([&] { return network.AllStaged(); }, kTimeLimit);
  const auto staged_counts = network.Counts();
  const duration commit_time =
      network.RunUntil([&] { return network.AllInForce(); }, kTimeLimit);
  cost.staged_ms = ToMillis(staged);
  cost.in_force_ms = ToMillis(staged + commit_time);
  cost.change = {
      .convergence = staged,
      .bytes = static_cast<double>(staged_counts.bytes - idle_end.bytes),
      .platform_calls = static_cast<double>(staged_counts.platform_calls -
                                            idle_end.platform_calls)};
  network.RunFor(kIdleTime - staged - commit_time);
  const auto change_end = network.Counts();
  cost.change_messages =
      (static_cast<double>(change_end.messages - idle_end.messages) -
       messages) /
      count;
  cost.change_bytes =
      (static_cast<double>(change_end.bytes - idle_end.bytes) - bytes) / count;

  network.Join("vm-joiner");
  const duration joined =
      network.RunUntil([&] { return network.AllInForce(); }, kIdleTime);
  network.RunFor(kIdleTime - joined);
  const auto join_end = network.Counts();
  cost.join_ms = ToMillis(joined);
  cost.join_calls =
      static_cast<double>(join_end.platform_calls - change_end.platform_calls);
  cost.join_bytes =
      static_cast<double>(join_end.bytes - change_end.bytes) - bytes;
  return cost;
}

template <typename Field>
std::vector<double> Column(const std::vector<network_cost>& costs,
                           Field field) {
  std::vector<double> values;
  values.reserve(costs.size());
  for (const auto& cost : costs) values.push_back(cost.*field);
  return values;
}

void MeasureAndPrintNetworks(std::vector<network_cost>& costs) {
  const std::vector<double> sizes(kNetworkSizes.begin(), kNetworkSizes.end());
  for (const std::size_t members : kNetworkSizes) {
    costs.push_back(MeasureNetwork(members, {}));
  }
  PrintHeader("network of one data centre, members", sizes);
  PrintRow("messages/s for an idle daemon", sizes,
           Column(costs, &network_cost::idle_messages));
  PrintRow("bytes/s for an idle daemon", sizes,
           Column(costs, &network_cost::idle_bytes));
  PrintRow("messages for a daemon and change", sizes,
           Column(costs, &network_cost::change_messages));
  PrintRow("bytes for a daemon and change", sizes,
           Column(costs, &network_cost::change_bytes));
  PrintRow("bytes for a join, whole network", sizes,
           Column(costs, &network_cost::join_bytes));
  PrintRow("platform calls for a join", sizes,
           Column(costs, &network_cost::join_calls));
  PrintRow("in force on a joiner, ms", sizes,
           Column(costs, &network_cost::join_ms));
  PrintRow("staged everywhere, ms (hop 1 ms)", sizes,
           Column(costs, &network_cost::staged_ms));
  PrintRow("in force everywhere, ms (hop 1 ms)", sizes,
           Column(costs, &network_cost::in_force_ms));
}

void PrintMethod(const std::string& label, const change_cost& cost,
                 double reference) {
  std::cout << std::left << std::setw(kLabelWidth) << label << std::right
            << std::fixed << std::setprecision(1) << std::setw(kValueWidth)
            << ToMillis(cost.convergence) << std::setw(kValueWidth)
            << cost.bytes / 1000 << std::setw(kValueWidth)
            << cost.platform_calls << std::setw(kValueWidth)
            << std::setprecision(2) << cost.Score() / reference << "\n";
}

void CompareMethods(std::size_t members, const change_sizes& sizes,
                    const network_conditions& conditions,
                    const change_cost& gossip) {
  std::cout << "\n"
            << members << " members, hop " << ToMillis(conditions.hop)
            << " ms, loss " << conditions.loss * 100
            << "%, until staged everywhere\n"
            << std::left << std::setw(kLabelWidth) << "way" << std::right
            << std::setw(kValueWidth) << "time ms" << std::setw(kValueWidth)
            << "KB" << std::setw(kValueWidth) << "calls"
            << std::setw(kValueWidth) << "product"
            << "\n";
  const double reference = gossip.Score();
  PrintMethod("every daemon watches the platform",
              WatchByEveryDaemon(members, sizes, conditions), reference);
  PrintMethod("star from a reader",
              StarFromReader(members, sizes, conditions, kSeed), reference);
  PrintMethod("tree with anti-entropy",
              TreeWithAntiEntropy(members, sizes, conditions, kSeed),
              reference);
  PrintMethod("gossip of offers with pulls (pomelohall)", gossip, reference);
}

void Run() {
  MeasureAndPrintDaemons();
  const auto image = MeasureImage();
  PrintImageCost(image);
  std::vector<network_cost> costs;
  MeasureAndPrintNetworks(costs);
  const change_sizes sizes{.delta_bytes = image.delta_bytes,
                           .head_bytes = image.head_bytes,
                           .section_bytes = image.section_bytes};
  // Both readers get the head and the section from the platform, which the
  // other methods include in their bytes.
  const double platform_bytes = 2 * (sizes.head_bytes + sizes.section_bytes);
  for (auto& cost : costs) cost.change.bytes += platform_bytes;
  for (std::size_t i = 0; i < kNetworkSizes.size(); ++i) {
    CompareMethods(kNetworkSizes[i], sizes, {}, costs[i].change);
  }
  const network_conditions lossy{.loss = 0.02};
  const std::size_t largest = kNetworkSizes.back();
  auto with_loss = MeasureNetwork(largest, lossy).change;
  with_loss.bytes += platform_bytes;
  CompareMethods(largest, sizes, lossy, with_loss);
}

}  // namespace
}  // namespace pomelohall::bench

int main() {
  pomelohall::bench::Run();
  return 0;
}
