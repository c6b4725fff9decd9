#include "membership/member_table.h"

#include <algorithm>
#include <iterator>

#include "base/digest.h"

namespace pomelohall {
namespace {

std::size_t BucketOf(std::string_view name) {
  return static_cast<std::size_t>(FastHash(name) % member_table::kBuckets);
}

// Hashes the name and the fields that determine the result of a merge.
std::uint64_t RecordHash(const member_record& record) {
  const std::array<std::uint64_t, 3> numbers{
      record.incarnation, record.sequence,
      static_cast<std::uint64_t>(record.state)};
  std::uint64_t hash = FastHash(record.name);
  for (const std::uint64_t number : numbers) {
    std::array<char, sizeof(number)> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      bytes[i] = static_cast<char>(number >> (8U * i));
    }
    hash = FastHash(std::string_view(bytes.data(), bytes.size()), hash);
  }
  return hash;
}

}  // namespace

void member_table::RemoveFromDigest(entry& item) {
  if (!item.in_digest) return;
  digests_[BucketOf(item.record.name)] ^= RecordHash(item.record);
  --digest_count_;
  item.in_digest = false;
}

void member_table::AddToDigest(entry& item) {
  digests_[BucketOf(item.record.name)] ^= RecordHash(item.record);
  ++digest_count_;
  item.in_digest = true;
}

bool member_table::Merge(const member_record& incoming, instant now) {
  const auto [found, is_new] =
      entries_.try_emplace(incoming.name, entry{incoming, now, false});
  entry& item = found->second;
  if (is_new) {
    AddToDigest(item);
    ++revision_;
    return true;
  }
  member_record merged = item.record;
  if (incoming.incarnation > merged.incarnation) {
    merged = incoming;
  } else if (incoming.incarnation == merged.incarnation) {
    const member_state state = std::max(incoming.state, merged.state);
    if (incoming.sequence > merged.sequence) merged = incoming;
    merged.state = state;
  }
  if (merged == item.record) return false;
  RemoveFromDigest(item);
  if (merged.state != item.record.state ||
      merged.incarnation != item.record.incarnation) {
    item.state_since = now;
    ++revision_;
  }
  item.record = std::move(merged);
  AddToDigest(item);
  return true;
}

bool member_table::SetState(std::string_view name, member_state state,
                            instant now) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return false;
  member_record changed = found->second.record;
  changed.state = state;
  return Merge(changed, now);
}

bool member_table::DropExpired(instant now) {
  bool dropped = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& item = it->second;
    const duration age = now - item.state_since;
    if (IsLive(item.record.state) || age < tombstone_lifetime_ / 2) {
      ++it;
      continue;
    }
    RemoveFromDigest(item);
    if (age >= tombstone_lifetime_) {
      it = entries_.erase(it);
      dropped = true;
    } else {
      ++it;
    }
  }
  return dropped;
}

void member_table::RestartSuspicionTimers(instant now) {
  for (auto& [name, item] : entries_) {
    if (item.record.state == member_state::kSuspect) item.state_since = now;
  }
}

const member_record* member_table::Find(std::string_view name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<member_record> member_table::Records() const {
  std::vector<member_record> records;
  records.reserve(entries_.size());
  for (const auto& [name, item] : entries_) records.push_back(item.record);
  return records;
}

std::string member_table::Digest() const {
  std::string digest;
  digest.reserve(kBuckets * sizeof(std::uint64_t));
  for (const std::uint64_t value : digests_) {
    for (std::size_t i = 0; i < sizeof(value); ++i) {
      digest += static_cast<char>(value >> (8U * i));
    }
  }
  return digest;
}

std::vector<member_record> member_table::DifferingRecords(
    std::string_view digest) const {
  const std::string own = Digest();
  const bool comparable = digest.size() == own.size();
  constexpr std::size_t kWidth = sizeof(std::uint64_t);
  std::vector<member_record> records;
  for (const auto& [name, item] : entries_) {
    if (!item.in_digest) continue;
    const std::size_t start = BucketOf(name) * kWidth;
    if (!comparable ||
        own.compare(start, kWidth, digest.substr(start, kWidth)) != 0) {
      records.push_back(item.record);
    }
  }
  return records;
}

}  // namespace pomelohall
