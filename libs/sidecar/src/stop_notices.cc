#include "stop_notices.h"

#include <chrono>

namespace pomelohall {
namespace {

// Requests that were sent before a notice may arrive after it, on other
// connections. A daemon accepts requests for about two seconds after it has
// sent the notice, so requests of the next process at its address are later.
constexpr duration kMaxTransitTime = std::chrono::seconds(1);

}  // namespace

void stop_notices::Add(const std::string& sender, instant latest, instant now) {
  std::erase_if(notices_,
                [now](const auto& entry) { return entry.second.latest < now; });
  if (notices_.size() >= kMaxNotices && !notices_.contains(sender)) return;
  notices_[sender] = {.latest = latest, .received_at = now};
}

instant stop_notices::LatestDeadline(const std::string& sender,
                                     instant received_at) const {
  const auto found = notices_.find(sender);
  if (found == notices_.end() ||
      received_at > found->second.received_at + kMaxTransitTime) {
    return instant::max();
  }
  return found->second.latest;
}

}  // namespace pomelohall
