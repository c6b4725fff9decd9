#ifndef POMELOHALL_BASE_HTTP_LIMITS_H_
#define POMELOHALL_BASE_HTTP_LIMITS_H_

#include <cstddef>

namespace pomelohall {

/// Limit of the header of a response, in bytes. No page of the platform names
/// one; common servers and clients allow 8 to 16 KiB.
inline constexpr std::size_t kMaxResponseHeadBytes = 16UL * 1024;

/// Fields that a daemon adds to a message for another daemon take less, in
/// bytes. A message that one daemon accepts must not exceed the limit of the
/// next one.
inline constexpr std::size_t kMeshHeadAllowance = 64UL * 1024;

/// Smallest limit of a request's trailer and of a chunk extension, in bytes.
inline constexpr std::size_t kMinTrailerLimit = 64UL * 1024;

/// Largest header limit that takes effect for requests of callers, in bytes. A
/// larger one of the configuration is cut to it with a warning.
inline constexpr std::size_t kMaxRequestHeadBytes = 2UL * 1024 * 1024;

/// Memory of a listener for the headers of its requests, in bytes. A daemon
/// holds up to four copies of a header, so two listeners use a quarter of the
/// smallest VM (160 MB) at most.
inline constexpr std::size_t kMaxHeadMemoryBytes = 8UL * 1024 * 1024;

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_HTTP_LIMITS_H_
