// Measures the transport between daemons on loopback: the bytes on the wire and
// the CPU time per frame for different payload sizes, and the memory per link
// for different numbers of links. Both ends of every link are in this process.

#include "peer/transport.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pomelohall {
namespace {

// Line y = intercept + slope * x.
struct fitted_line {
  double intercept = 0;
  double slope = 0;
};

struct point {
  double x = 0;
  double y = 0;
};

// Fits a line to the points by least squares.
fitted_line FitLine(const std::vector<point>& points) {
  double x = 0;
  double y = 0;
  for (const auto& p : points) {
    x += p.x / static_cast<double>(points.size());
    y += p.y / static_cast<double>(points.size());
  }
  double xx = 0;
  double xy = 0;
  for (const auto& p : points) {
    xx += (p.x - x) * (p.x - x);
    xy += (p.x - x) * (p.y - y);
  }
  const double slope = xy / xx;
  return {.intercept = y - slope * x, .slope = slope};
}

double CpuSeconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) * 1e-9;
}

double HeapBytes() {
  const auto heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd);
}

// A transport that counts the frames it receives.
class counting_peer {
 public:
  counting_peer() : transport_(MakeWebsocketTransport({})) {
    const auto started = transport_->Start(
        [this](const std::string& /*from*/, const std::string& /*frame*/) {
          ++received_;
          return true;
        });
    if (!started) std::fprintf(stderr, "%s\n", started.error().message.c_str());
  }
  ~counting_peer() { transport_->Stop(0); }
  counting_peer(const counting_peer&) = delete;
  counting_peer& operator=(const counting_peer&) = delete;

  peer_transport& Transport() { return *transport_; }
  std::uint64_t Received() const { return received_; }

 private:
  std::atomic<std::uint64_t> received_{0};
  std::unique_ptr<peer_transport> transport_;
};

void WaitFor(const counting_peer& peer, std::uint64_t frames) {
  while (peer.Received() < frames) {
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
}

// Sends `frames` frames in batches of at most 2 MB, so that no queue overflows.
void SendAll(counting_peer& sender, counting_peer& receiver,
             std::size_t payload, std::uint64_t frames) {
  constexpr std::size_t kBatchBytes = 2'000'000;
  const std::uint64_t batch =
      std::clamp<std::uint64_t>(kBatchBytes / (payload + 1), 1, 1000);
  const std::string address = receiver.Transport().LocalAddress();
  std::uint64_t expected = receiver.Received();
  for (std::uint64_t sent = 0; sent < frames;) {
    const std::uint64_t count = std::min(batch, frames - sent);
    for (std::uint64_t i = 0; i < count; ++i) {
      sender.Transport().Send(address, std::string(payload, 'x'));
    }
    sent += count;
    expected += count;
    WaitFor(receiver, expected);
  }
}

// Returns the CPU seconds of a copy of 64 KiB. CPU times are printed as
// multiples of it, so that runs on different machines can be compared.
double BaselineSeconds() {
  constexpr std::size_t kBytes = 65'536;
  constexpr int kCopies = 20'000;
  std::vector<char> from(kBytes, 'x');
  std::vector<char> to(kBytes);
  const double start = CpuSeconds();
  for (int i = 0; i < kCopies; ++i) {
    from[static_cast<std::size_t>(i) % kBytes] = static_cast<char>(i);
    std::memcpy(to.data(), from.data(), kBytes);
    // Prevents the compiler from removing the copy.
    asm volatile("" : : "r"(to.data()) : "memory");
  }
  return (CpuSeconds() - start) / kCopies;
}

void MeasureFrames() {
  counting_peer sender;
  counting_peer receiver;
  SendAll(sender, receiver, 10, 1000);
  const double baseline = BaselineSeconds();
  std::printf("baseline: one memcpy of 64 KiB = %.2f us of CPU\n",
              baseline * 1e6);
  std::printf("%10s %10s %14s %14s %14s\n", "payload B", "frames",
              "wire B/frame", "CPU us/frame", "CPU/baseline");
  std::vector<point> wire;
  std::vector<point> cpu;
  for (const std::size_t payload :
       {16U, 60U, 150U, 1000U, 10'000U, 100'000U, 1'000'000U}) {
    const std::uint64_t frames =
        std::clamp<std::uint64_t>(200'000'000 / (payload + 1000), 200, 50'000);
    const auto before = receiver.Transport().Counters();
    const double start = CpuSeconds();
    SendAll(sender, receiver, payload, frames);
    const double seconds = (CpuSeconds() - start) / static_cast<double>(frames);
    const auto after = receiver.Transport().Counters();
    const double bytes =
        static_cast<double>(after.bytes_received - before.bytes_received) /
        static_cast<double>(frames);
    std::printf("%10zu %10llu %14.1f %14.2f %14.2f\n", payload,
                static_cast<unsigned long long>(frames), bytes, seconds * 1e6,
                seconds / baseline);
    wire.push_back({static_cast<double>(payload), bytes});
    cpu.push_back({static_cast<double>(payload), seconds / baseline});
  }
  const auto bytes = FitLine(wire);
  const auto time = FitLine(cpu);
  std::printf("wire bytes = %.1f + %.4f x payload bytes\n", bytes.intercept,
              bytes.slope);
  std::printf("CPU in baselines, both ends = %.2f + %.3f x payload / 64 KiB\n",
              time.intercept, time.slope * 65'536);
}

// Returns the heap bytes of `links` links between a hub and as many peers, with
// both ends.
double LinkBytes(std::size_t links) {
  counting_peer hub;
  std::vector<std::unique_ptr<counting_peer>> peers;
  for (std::size_t i = 0; i < links; ++i) {
    peers.push_back(std::make_unique<counting_peer>());
  }
  const double before = HeapBytes();
  for (const auto& peer : peers) {
    peer->Transport().Send(hub.Transport().LocalAddress(),
                           std::string(150, 'x'));
  }
  WaitFor(hub, links);
  return HeapBytes() - before;
}

void MeasureMemory() {
  std::printf("%10s %18s %18s\n", "links", "heap B (2 ends)", "B per link end");
  std::vector<point> memory;
  for (const std::size_t links : {10U, 50U, 150U}) {
    const double bytes = LinkBytes(links);
    std::printf("%10zu %18.0f %18.0f\n", links, bytes,
                bytes / 2 / static_cast<double>(links));
    memory.push_back({static_cast<double>(links), bytes / 2});
  }
  const auto line = FitLine(memory);
  std::printf("heap bytes of one end = %.0f + %.0f x links\n", line.intercept,
              line.slope);
}

}  // namespace
}  // namespace pomelohall

int main() {
  pomelohall::MeasureFrames();
  pomelohall::MeasureMemory();
  return 0;
}
