#ifndef POMELOHALL_BACKEND_STUB_PATTERN_H_
#define POMELOHALL_BACKEND_STUB_PATTERN_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace pomelohall {

/// Fills `out` with the bytes of the test body for `seed`, starting at
/// `offset`. Bodies with different seeds differ, and so do the parts of one
/// body. A check therefore detects a part that belongs to another body, is
/// missing or is repeated.
void FillPattern(std::uint64_t seed, std::uint64_t offset, std::span<char> out);

/// Returns whether `bytes` equal the test body for `seed`, starting at
/// `offset`.
bool MatchesPattern(std::uint64_t seed, std::uint64_t offset,
                    std::string_view bytes);

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_STUB_PATTERN_H_
