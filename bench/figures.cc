// Prints the encoded sizes of the SLO data: of the window of one daemon for
// different numbers of classes with calls, and of the objects of one minute for
// different numbers of members of a data centre.

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "base/random.h"
#include "slo/slo_aggregator.h"
#include "slo/slo_recorder.h"
#include "slo/slo_window.h"

namespace pomelohall {
namespace {

constexpr std::int64_t kFirstWindow = 120'000'000;
// 273 calls/s in a window of 10 s: the load of an entry daemon at the design
// size.
constexpr int kCallsPerWindow = 2730;
constexpr std::uint64_t kSeed = 1;

slo_window MakeWindow(const std::string& member, std::int64_t window,
                      std::size_t classes) {
  random_source random(kSeed);
  slo_recorder recorder(member, 1, window * kSloWindowSeconds);
  const target class_target{
      .within_ms = 100, .share = 0.99, .min_bytes_per_s = 0};
  for (int i = 0; i < kCallsPerWindow; ++i) {
    const auto micros = 500 + random.Below(50'000);
    recorder.Record(
        {.work_class =
             "service-" + std::to_string(random.Below(classes)) + "-read",
         .elapsed = duration(static_cast<std::int64_t>(micros)),
         .body_bytes = 1000,
         .whole_answer = true,
         .ran = run_state::kRan},
        class_target, class_kind::kLookup, instant());
  }
  return recorder.CloseOpenWindow();
}

void PrintWindowSizes() {
  std::printf("%-44s %10s %14s\n", "window of one daemon, classes with calls",
              "bytes", "bytes/class");
  for (const std::size_t classes : {1, 4, 16, 64, 256}) {
    const auto bytes =
        EncodeSloWindow(MakeWindow("vm-0001", kFirstWindow, classes)).size();
    std::printf("%-44zu %10zu %14.1f\n", classes, bytes,
                static_cast<double>(bytes) / static_cast<double>(classes));
  }
}

void PrintObjectSizes(std::size_t classes) {
  std::printf("\nobject of a minute, %zu classes with calls at each daemon\n",
              classes);
  std::printf("%-44s %10s %14s %10s\n", "members", "bytes", "bytes/member",
              "objects");
  for (const std::size_t members : {10, 100, 917}) {
    slo_aggregator aggregator("dc1", "vm-0000");
    for (std::int64_t w = kFirstWindow; w < kFirstWindow + 6; ++w) {
      for (std::size_t m = 0; m < members; ++m) {
        aggregator.OnWindow(MakeWindow("vm-" + std::to_string(m), w, classes));
      }
    }
    std::size_t bytes = 0;
    const auto objects = aggregator.CloseAll();
    for (const auto& object : objects) bytes += object.spec.size();
    std::printf("%-44zu %10zu %14.1f %10zu\n", members, bytes,
                static_cast<double>(bytes) / static_cast<double>(members),
                objects.size());
  }
}

}  // namespace
}  // namespace pomelohall

int main() {
  pomelohall::PrintWindowSizes();
  pomelohall::PrintObjectSizes(4);
  pomelohall::PrintObjectSizes(16);
  return 0;
}
