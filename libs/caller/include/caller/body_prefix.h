#ifndef POMELOHALL_CALLER_BODY_PREFIX_H_
#define POMELOHALL_CALLER_BODY_PREFIX_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "backend/body_source.h"
#include "base/time.h"

namespace pomelohall {

// Bodies up to this size are buffered, so that a retry can send them again.
inline constexpr std::size_t kMaxBufferedBodyBytes = 64UL * 1024;

// The first bytes of a body.
struct body_prefix {
  std::shared_ptr<const std::string> bytes;
  bool complete = false;  // `bytes` is the whole body.
};

// Reads `source` until it ends, more than `limit` bytes have arrived, or a part
// arrives at `until` or later. `on_part` is called for each part after which
// reading goes on; it may be empty.
void ReadBodyPrefix(std::shared_ptr<body_source> source, std::size_t limit,
                    std::function<void(result<body_prefix>)> done,
                    std::function<void()> on_part = nullptr,
                    instant until = instant::max());

// Reads and drops a body that is not needed, which keeps its connection
// reusable. Cancels a body of more than kMaxBufferedBodyBytes. `done` may be
// empty.
void DiscardBody(const std::shared_ptr<body_source>& source,
                 std::function<void()> done);

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_BODY_PREFIX_H_
