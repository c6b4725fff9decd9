// Prints how the cost of the control plane grows with the fleet. Figures are
// bytes, messages, logical time and ratios of CPU time; the slope is the
// exponent of a power law fitted over the sizes.
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
constexpr duration kRest = std::chrono::seconds(60);
constexpr duration kLimit = std::chrono::seconds(60);
constexpr int kLabelWidth = 46;
constexpr int kValueWidth = 13;
constexpr std::uint64_t kSeed = 1;

// Least squares in logarithms: y = c * n^slope.
double Slope(const std::vector<double>& sizes,
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
            << Slope(sizes, values) << "\n";
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

std::vector<double> Ratios(std::vector<double> values) {
  const double first = values.front();
  for (double& value : values) value /= first;
  return values;
}

template <typename Field>
std::vector<double> Column(const std::vector<daemon_cost>& costs, Field field) {
  std::vector<double> values;
  for (const auto& cost : costs) values.push_back(cost.*field);
  return values;
}

void DaemonSlopes() {
  const std::vector<double> sizes(kFleetSizes.begin(), kFleetSizes.end());
  std::vector<daemon_cost> costs;
  for (const std::size_t members : kFleetSizes) {
    costs.push_back(MeasureDaemon(members));
  }
  PrintHeader("one daemon, members of the fleet", sizes);
  PrintRow("heap bytes for a member record", sizes,
           Column(costs, &daemon_cost::bytes_per_record));
  PrintRow("membership messages sent/s at rest", sizes,
           Column(costs, &daemon_cost::messages_per_s));
  PrintRow("membership bytes sent/s at rest", sizes,
           Column(costs, &daemon_cost::bytes_per_s));
  PrintRow("full member table for a joiner, bytes", sizes,
           Column(costs, &daemon_cost::full_sync_bytes));
  PrintRow("CPU of a ping, ratio to the first column", sizes,
           Ratios(Column(costs, &daemon_cost::ping_ns)));
  PrintRow("CPU of a member event, ratio", sizes,
           Ratios(Column(costs, &daemon_cost::event_ns)));
  PrintRow("CPU of an ack at an aggregator, ratio", sizes,
           Ratios(Column(costs, &daemon_cost::ack_ns)));
}

void PrintImage(const image_cost& cost) {
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
  double rest_messages = 0;    // per daemon and second
  double rest_bytes = 0;       // per daemon and second
  double change_messages = 0;  // per daemon
  double change_bytes = 0;     // per daemon
  double join_bytes = 0;       // of the whole network
  double join_calls = 0;       // to the platform
  double join_ms = 0;          // until in force on the joiner
  double staged_ms = 0;
  double in_force_ms = 0;
  change_cost change;
};

// Subtracts what the network sends at rest, so that only the change is left.
network_cost MeasureNetwork(std::size_t members,
                            const network_conditions& conditions) {
  network_cost cost;
  const auto count = static_cast<double>(members);
  control_network network(members, conditions, kSeed);
  const auto first = *BuildImage(CapacityDocument(1), nullptr, "change-1");
  network.StartAll();
  network.Accept(first);
  network.RunUntil([&] { return network.AllInForce(); }, kLimit);
  network.RunFor(kRest);
  const auto rest_start = network.Counts();
  network.RunFor(kRest);
  const auto rest_end = network.Counts();
  const double rest_s = std::chrono::duration<double>(kRest).count();
  const auto messages =
      static_cast<double>(rest_end.messages - rest_start.messages);
  const auto bytes = static_cast<double>(rest_end.bytes - rest_start.bytes);
  cost.rest_messages = messages / count / rest_s;
  cost.rest_bytes = bytes / count / rest_s;

  network.Accept(*BuildImage(CapacityDocument(2), first.get(), "change-2"));
  const duration staged =
      network.RunUntil([&] { return network.AllStaged(); }, kLimit);
  const auto at_staged = network.Counts();
  const duration rest_of_commit =
      network.RunUntil([&] { return network.AllInForce(); }, kLimit);
  cost.staged_ms = ToMillis(staged);
  cost.in_force_ms = ToMillis(staged + rest_of_commit);
  cost.change = {.convergence = staged,
                 .bytes = static_cast<double>(at_staged.bytes - rest_end.bytes),
                 .platform_calls = static_cast<double>(
                     at_staged.platform_calls - rest_end.platform_calls)};
  network.RunFor(kRest - staged - rest_of_commit);
  const auto change_end = network.Counts();
  cost.change_messages =
      (static_cast<double>(change_end.messages - rest_end.messages) -
       messages) /
      count;
  cost.change_bytes =
      (static_cast<double>(change_end.bytes - rest_end.bytes) - bytes) / count;

  network.Join("vm-joiner");
  const duration joined =
      network.RunUntil([&] { return network.AllInForce(); }, kRest);
  network.RunFor(kRest - joined);
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
  for (const auto& cost : costs) values.push_back(cost.*field);
  return values;
}

void NetworkSlopes(std::vector<network_cost>& costs) {
  const std::vector<double> sizes(kNetworkSizes.begin(), kNetworkSizes.end());
  for (const std::size_t members : kNetworkSizes) {
    costs.push_back(MeasureNetwork(members, {}));
  }
  PrintHeader("network of one data centre, members", sizes);
  PrintRow("messages/s for a daemon at rest", sizes,
           Column(costs, &network_cost::rest_messages));
  PrintRow("bytes/s for a daemon at rest", sizes,
           Column(costs, &network_cost::rest_bytes));
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

void PrintWay(const std::string& label, const change_cost& cost,
              double reference) {
  std::cout << std::left << std::setw(kLabelWidth) << label << std::right
            << std::fixed << std::setprecision(1) << std::setw(kValueWidth)
            << ToMillis(cost.convergence) << std::setw(kValueWidth)
            << cost.bytes / 1000 << std::setw(kValueWidth)
            << cost.platform_calls << std::setw(kValueWidth)
            << std::setprecision(2) << cost.Score() / reference << "\n";
}

void CompareWays(std::size_t members, const change_sizes& sizes,
                 const network_conditions& conditions,
                 const change_cost& epidemic) {
  std::cout << "\n"
            << members << " members, hop " << ToMillis(conditions.hop)
            << " ms, loss " << conditions.loss * 100
            << "%, until staged everywhere\n"
            << std::left << std::setw(kLabelWidth) << "way" << std::right
            << std::setw(kValueWidth) << "time ms" << std::setw(kValueWidth)
            << "KB" << std::setw(kValueWidth) << "calls"
            << std::setw(kValueWidth) << "product"
            << "\n";
  const double reference = epidemic.Score();
  PrintWay("every daemon watches the platform",
           WatchByEveryDaemon(members, sizes, conditions), reference);
  PrintWay("star from a reader",
           StarFromReader(members, sizes, conditions, kSeed), reference);
  PrintWay("tree with anti-entropy",
           TreeWithAntiEntropy(members, sizes, conditions, kSeed), reference);
  PrintWay("epidemic offers with pulls (the machines)", epidemic, reference);
}

void Run() {
  DaemonSlopes();
  const auto image = MeasureImage();
  PrintImage(image);
  std::vector<network_cost> costs;
  NetworkSlopes(costs);
  const change_sizes sizes{.delta_bytes = image.delta_bytes,
                           .head_bytes = image.head_bytes,
                           .section_bytes = image.section_bytes};
  // Both readers take the head and the section from the platform, as counted
  // for the other ways.
  const double from_platform = 2 * (sizes.head_bytes + sizes.section_bytes);
  for (auto& cost : costs) cost.change.bytes += from_platform;
  for (std::size_t i = 0; i < kNetworkSizes.size(); ++i) {
    CompareWays(kNetworkSizes[i], sizes, {}, costs[i].change);
  }
  const network_conditions lossy{.loss = 0.02};
  const std::size_t largest = kNetworkSizes.back();
  auto with_loss = MeasureNetwork(largest, lossy).change;
  with_loss.bytes += from_platform;
  CompareWays(largest, sizes, lossy, with_loss);
}

}  // namespace
}  // namespace pomelohall::bench

int main() {
  pomelohall::bench::Run();
  return 0;
}
