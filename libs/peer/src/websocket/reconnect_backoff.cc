#include "websocket/reconnect_backoff.h"

#include <algorithm>

namespace pomelohall {

std::chrono::milliseconds reconnect_backoff::NextDelay() {
  std::uniform_int_distribution<std::int64_t> distribution(
      max_delay_.count() / 2, max_delay_.count());
  const std::chrono::milliseconds delay(distribution(random_));
  max_delay_ = std::min(max_delay_ * 2, kCap);
  return delay;
}

}  // namespace pomelohall
