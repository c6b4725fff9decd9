#ifndef POMELOHALL_BACKEND_STUB_PATTERN_H_
#define POMELOHALL_BACKEND_STUB_PATTERN_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace pomelohall {

/// Fills `out` with the bytes of the test body `seed` from `offset` on. Bodies
/// of different seeds differ, and so do the parts of one body, so that a
/// checker notices crossed, missing and repeated parts.
void FillPattern(std::uint64_t seed, std::uint64_t offset, std::span<char> out);

/// Returns whether `bytes` are the bytes of the body `seed` from `offset` on.
bool MatchesPattern(std::uint64_t seed, std::uint64_t offset,
                    std::string_view bytes);

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_STUB_PATTERN_H_
