#ifndef POMELOHALL_BASE_HTTP_LIMITS_H_
#define POMELOHALL_BASE_HTTP_LIMITS_H_

#include <cstddef>

namespace pomelohall {

/// Bytes that a connection keeps beside a header. The parser has no limit of
/// its own for a chunk extension or a trailer, which it parses only once they
/// are complete.
inline constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_HTTP_LIMITS_H_
