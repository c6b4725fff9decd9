#ifndef POMELOHALL_CALLER_BODY_TOOLS_H_
#define POMELOHALL_CALLER_BODY_TOOLS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "backend/body_source.h"

namespace pomelohall {

// Bodies up to this size are held in memory, so that they can be sent again.
inline constexpr std::size_t kMaxBufferedBodyBytes = 64UL * 1024;

// The start of a body, or all of it.
struct body_start {
  std::shared_ptr<const std::string> bytes;
  bool whole = false;
};

// Reads `source` until its end or until more than `limit` bytes are there.
void ReadBodyStart(std::shared_ptr<body_source> source, std::size_t limit,
                   std::function<void(result<body_start>)> done);

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_BODY_TOOLS_H_
