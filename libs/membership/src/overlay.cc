#include "membership/overlay.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/digest.h"

namespace pomelohall {
namespace {

// Different salts make the three hash orders independent of each other.
constexpr std::uint64_t kRingSalt = 0x72696e67;
constexpr std::uint64_t kLinkSalt = 0x6c696e6b;
constexpr std::uint64_t kReaderSalt = 0x726f6c65;

using ranked_name = std::pair<std::uint64_t, std::string>;

std::vector<ranked_name> HashNames(std::vector<std::string> names,
                                   std::uint64_t salt) {
  std::vector<ranked_name> ranked;
  ranked.reserve(names.size());
  for (auto& name : names) {
    const std::uint64_t hash = FastHash(name, salt);
    ranked.emplace_back(hash, std::move(name));
  }
  return ranked;
}

// Returns the `count` names with the lowest rank, lowest first.
std::vector<std::string> Lowest(std::vector<ranked_name> ranked,
                                std::size_t count) {
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back(std::move(ranked[i].second));
  }
  return names;
}

}  // namespace

std::vector<std::string> RingAfter(std::string_view self,
                                   std::vector<std::string> members) {
  std::vector<ranked_name> ring = HashNames(std::move(members), kRingSalt);
  const ranked_name own{FastHash(self, kRingSalt), std::string(self)};
  std::erase(ring, own);
  std::sort(ring.begin(), ring.end());
  const auto next = std::upper_bound(ring.begin(), ring.end(), own);
  std::rotate(ring.begin(), next, ring.end());
  std::vector<std::string> names;
  names.reserve(ring.size());
  for (auto& [hash, name] : ring) names.push_back(std::move(name));
  return names;
}

std::vector<std::string> OverlayLinks(std::string_view self,
                                      const std::vector<std::string>& ring) {
  const auto split = ring.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(kSuccessors, ring.size()));
  std::vector<std::string> links(ring.begin(), split);
  const std::uint64_t salt = FastHash(self, kLinkSalt);
  auto others = Lowest(HashNames({split, ring.end()}, salt), kRandomLinks);
  std::move(others.begin(), others.end(), std::back_inserter(links));
  return links;
}

std::vector<std::string> ChooseReaders(std::vector<std::string> members) {
  return Lowest(HashNames(std::move(members), kReaderSalt),
                kReadersPerDataCentre);
}

}  // namespace pomelohall
