#include "http1/broken_responses.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "logging/log_event.h"

namespace pomelohall {
namespace {

std::atomic<std::uint64_t>& Count(message_fault fault) {
  static std::array<std::atomic<std::uint64_t>,
                    kMessageFaultNames.entries.size()>
      counts{};
  return counts[static_cast<std::size_t>(fault)];
}

}  // namespace

void ReportBrokenResponse(message_fault fault, std::string_view address) {
  Count(fault).fetch_add(1, std::memory_order_relaxed);
  log_event(log_level::kWarning, "broken_response")
      .With("from", address)
      .With("fault", kMessageFaultNames.Name(fault));
}

void RecordBrokenResponses(metric_registry& registry) {
  for (const auto& [fault, name] : kMessageFaultNames.entries) {
    if (fault == message_fault::kRequestLine) continue;
    registry
        .Counter("pomelohall_broken_responses_total",
                 "Received bytes that are not a response, by fault.",
                 {{"fault", std::string(name)}})
        .SetTotal(Count(fault).load(std::memory_order_relaxed));
  }
}

}  // namespace pomelohall
