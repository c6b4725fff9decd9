#include "call_micro.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <new>
#include <string>

#include "ledger/key_ledger.h"
#include "policy/admission_controller.h"
#include "quarantine/quarantine.h"
#include "routing/server_selector.h"

namespace {

std::uint64_t& AllocationCount() {
  static std::uint64_t count = 0;
  return count;
}

}  // namespace

// Count allocations without locks, because the program has only one thread.
// Not inlined, because GCC would report a mismatch of the pair.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++AllocationCount();
  if (void* memory = std::malloc(size)) return memory;
  std::abort();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace pomelohall::bench {
namespace {

constexpr std::size_t kServers = 12;
constexpr instant kStartTime{std::chrono::seconds(1'000)};
constexpr duration kSecond{1'000'000};
constexpr duration kHour{3'600'000'000};

/// Adds the counter "allocs", the allocations per iteration of the benchmark
/// loop in its scope.
class allocation_reporter {
 public:
  explicit allocation_reporter(benchmark::State& state)
      : state_(state), begin_(AllocationCount()) {}
  allocation_reporter(const allocation_reporter&) = delete;
  allocation_reporter& operator=(const allocation_reporter&) = delete;
  ~allocation_reporter() {
    state_.counters["allocs"] =
        benchmark::Counter(static_cast<double>(AllocationCount() - begin_),
                           benchmark::Counter::kAvgIterations);
  }

 private:
  benchmark::State& state_;
  std::uint64_t begin_;
};

snapshot_ptr MakeSnapshot() {
  auto next = std::make_shared<snapshot>();
  service_entry service{.name = "orders", .servers = {}};
  for (std::size_t i = 0; i < kServers; ++i) {
    service.servers.push_back(
        {.member = "plant-server-with-a-long-name-" + std::to_string(i),
         .data_centre = "plant",
         .region = "north",
         .forward_address = "10.0.0.1:8080",
         .incarnation = 1,
         .slots = 20});
  }
  next->services.push_back(std::move(service));
  return next;
}

void PickStartFinish(benchmark::State& state) {
  server_selector selector(
      {.local_data_centre = "plant", .local_region = "north"}, 1);
  selector.Update(MakeSnapshot(), kStartTime);
  auto now = kStartTime;
  const allocation_reporter counter(state);
  for (auto step : state) {
    (void)step;
    now += duration{100};
    const auto picked = selector.Pick("orders", {}, now);
    selector.OnStart(picked->member, now);
    selector.OnFinish(picked->member, {.latency = duration{900}}, now);
  }
}
BENCHMARK(PickStartFinish);

void SubmitFinishIdle(benchmark::State& state) {
  admission_controller admission;
  admission.SetSlots(20, kStartTime);
  auto now = kStartTime;
  request_id id = 0;
  const allocation_reporter counter(state);
  for (auto step : state) {
    (void)step;
    now += duration{100};
    benchmark::DoNotOptimize(admission.Submit(
        {.id = ++id, .work_class = "browse", .deadline = now + kSecond}, now));
    benchmark::DoNotOptimize(admission.Finish(id, duration{90}, true, now));
  }
}
BENCHMARK(SubmitFinishIdle);

void SubmitFinishQueued(benchmark::State& state) {
  admission_controller admission({.limit = {.slow_start = duration{1}}});
  admission.SetSlots(20, kStartTime);
  auto now = kStartTime;
  request_id id = 0;
  for (int i = 0; i < 70; ++i) {
    admission.Submit(
        {.id = ++id, .work_class = "browse", .deadline = now + kHour}, now);
  }
  request_id finished = 0;
  const allocation_reporter counter(state);
  for (auto step : state) {
    (void)step;
    now += duration{100};
    benchmark::DoNotOptimize(admission.Submit(
        {.id = ++id, .work_class = "browse", .deadline = now + kHour}, now));
    benchmark::DoNotOptimize(
        admission.Finish(++finished, duration{90}, true, now));
  }
}
BENCHMARK(SubmitFinishQueued);

void IssueGrantComplete(benchmark::State& state) {
  key_ledger ledger("plant-1", 1, 1);
  auto now = kStartTime;
  const allocation_reporter counter(state);
  for (auto step : state) {
    (void)step;
    now += duration{4'000};
    const auto key = ledger.Issue(now);
    benchmark::DoNotOptimize(ledger.Grant(key, "entry.1.1", now));
    ledger.Complete(key, "entry.1.1", {.status = 200}, now);
  }
}
BENCHMARK(IssueGrantComplete);

void FingerprintAndCheck(benchmark::State& state) {
  quarantine table;
  const std::string body(1'024, 'x');
  const allocation_reporter counter(state);
  for (auto step : state) {
    (void)step;
    const auto fingerprint =
        RequestFingerprint("POST", "/orders/new", body.size(), body);
    benchmark::DoNotOptimize(table.Check("orders", fingerprint, kStartTime));
  }
}
BENCHMARK(FingerprintAndCheck);

}  // namespace

void RunMicrobenchmarks(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
}

}  // namespace pomelohall::bench
