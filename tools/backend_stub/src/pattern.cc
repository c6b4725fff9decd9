#include "backend_stub/pattern.h"

namespace pomelohall {
namespace {

// Returns the 8 bytes of a block as a hash of the seed and the block index. The
// constants are those of SplitMix64.
std::uint64_t HashBlock(std::uint64_t seed, std::uint64_t block) {
  auto value = (seed + 1) * 0x9e3779b97f4a7c15U + block;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  return value ^ (value >> 27U);
}

char ByteAt(std::uint64_t block, std::uint64_t offset) {
  return static_cast<char>(block >> (8 * (offset % 8)));
}

}  // namespace

void FillPattern(std::uint64_t seed, std::uint64_t offset,
                 std::span<char> out) {
  std::uint64_t block = 0;
  for (std::size_t i = 0; i < out.size(); ++i) {
    const auto position = offset + i;
    if (i == 0 || position % 8 == 0) block = HashBlock(seed, position / 8);
    out[i] = ByteAt(block, position);
  }
}

bool MatchesPattern(std::uint64_t seed, std::uint64_t offset,
                    std::string_view bytes) {
  std::uint64_t block = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const auto position = offset + i;
    if (i == 0 || position % 8 == 0) block = HashBlock(seed, position / 8);
    if (bytes[i] != ByteAt(block, position)) return false;
  }
  return true;
}

}  // namespace pomelohall
