#include "websocket/reconnect_backoff.h"

#include <algorithm>

namespace pomelohall {

std::chrono::milliseconds reconnect_backoff::NextPause() {
  std::uniform_int_distribution<std::int64_t> within(span_.count() / 2,
                                                     span_.count());
  const std::chrono::milliseconds pause(within(random_));
  span_ = std::min(span_ * 2, kCap);
  return pause;
}

}  // namespace pomelohall
