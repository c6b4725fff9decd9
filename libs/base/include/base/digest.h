#ifndef POMELOHALL_BASE_DIGEST_H_
#define POMELOHALL_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelohall {

/// Returns the SHA-256 digest of `bytes` as 64 lower-case hexadecimal digits.
/// Use it where content is identified across processes.
std::string Sha256Hex(std::string_view bytes);

/// Returns the 64-bit xxHash of `bytes` under `seed`. Not collision resistant
/// against an adversary; use it for placement and fingerprints.
std::uint64_t FastHash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_DIGEST_H_
