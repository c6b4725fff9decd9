#include "ledger/key_ledger.h"

#include <algorithm>
#include <charconv>
#include <iterator>

#include "base/name_table.h"

namespace pomelohall {
namespace {

constexpr std::string_view kIssuedKeyPrefix = "phk1.";
constexpr std::size_t kRandomDigits = 32;

constexpr name_table<grant_verdict, 5> kVerdictNames{{{
    {grant_verdict::kGranted, "granted"},
    {grant_verdict::kFirstAnswer, "first_answer"},
    {grant_verdict::kOutcomeUnknown, "outcome_unknown"},
    {grant_verdict::kRanNotKept, "ran_not_kept"},
    {grant_verdict::kUnavailable, "unavailable"},
}}};

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    return (character >= '0' && character <= '9') ||
           (character >= 'a' && character <= 'f');
  });
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, value);
  if (text.empty() || code != std::errc() || stop != end) return std::nullopt;
  return value;
}

std::string ToHex(std::uint64_t bits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (auto position = text.rbegin(); position != text.rend(); ++position) {
    *position = kDigits[bits & 15U];
    bits >>= 4U;
  }
  return text;
}

std::size_t SizeOf(const stored_response& response) {
  std::size_t bytes = response.body.size();
  for (const auto& [name, value] : response.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

}  // namespace

std::string_view GrantVerdictName(grant_verdict verdict) {
  return kVerdictNames.Name(verdict);
}

std::optional<grant_verdict> FindGrantVerdict(std::string_view name) {
  return kVerdictNames.Find(name);
}

std::optional<issued_key> ParseIssuedKey(std::string_view key) {
  if (!key.starts_with(kIssuedKeyPrefix)) return std::nullopt;
  key.remove_prefix(kIssuedKeyPrefix.size());
  // Member names may contain dots, so the parts are parsed from the end.
  const auto random_at = key.rfind('.');
  if (random_at == std::string_view::npos) return std::nullopt;
  const auto random = key.substr(random_at + 1);
  key = key.substr(0, random_at);
  const auto incarnation_at = key.rfind('.');
  if (incarnation_at == std::string_view::npos || incarnation_at == 0) {
    return std::nullopt;
  }
  const auto incarnation = ParseNumber(key.substr(incarnation_at + 1));
  if (!incarnation || random.size() != kRandomDigits || !IsLowerHex(random)) {
    return std::nullopt;
  }
  return issued_key{.member = std::string(key.substr(0, incarnation_at)),
                    .incarnation = *incarnation,
                    .random = std::string(random)};
}

key_ledger::key_ledger(std::string member, std::uint64_t incarnation,
                       std::uint64_t seed)
    : prefix_(std::string(kIssuedKeyPrefix) + std::move(member) + "." +
              std::to_string(incarnation) + "."),
      random_(seed) {}

std::string key_ledger::Issue(instant now) {
  Expire(now);
  if (entries_.size() >= kMaxLedgerKeys) Erase(entries_.begin());
  auto key = prefix_ + RandomPart();
  entries_.push_back({.key = key, .changed_at = now});
  by_key_.emplace(entries_.back().key, std::prev(entries_.end()));
  return key;
}

grant_result key_ledger::Grant(const std::string& key, std::string_view holder,
                               instant now) {
  Expire(now);
  const auto position = Find(key);
  if (position == entries_.end()) return {};
  auto& item = *position;
  switch (item.state) {
    case key_state::kIssued:
    case key_state::kReleased:
      if (item.released_holder == holder) return {};
      item.state = key_state::kGranted;
      item.holder = holder;
      UpdateChangedAt(position, now);
      return {.verdict = grant_verdict::kGranted};
    case key_state::kGranted:
      if (item.holder != holder) return {};
      return {.verdict = grant_verdict::kGranted};
    case key_state::kCompleted:
      if (!item.response.complete) {
        return {.verdict = grant_verdict::kRanNotKept};
      }
      return {.verdict = grant_verdict::kFirstAnswer,
              .response = item.response};
  }
  return {};
}

void key_ledger::Complete(const std::string& key, std::string_view holder,
                          stored_response response, instant now) {
  Expire(now);
  const auto position = Find(key);
  if (position == entries_.end()) return;
  auto& item = *position;
  if (item.state != key_state::kGranted || item.holder != holder) return;
  item.state = key_state::kCompleted;
  item.response = std::move(response);
  if (!item.response.complete || SizeOf(item.response) > kMaxStoredBodyBytes) {
    DropResponse(item);
  }
  item.response_bytes = SizeOf(item.response);
  UpdateChangedAt(position, now);
  if (item.response_bytes == 0) return;
  stored_bytes_ += item.response_bytes;
  completion_order_.push_back(item.key);
  EvictResponses();
}

void key_ledger::Release(const std::string& key, std::string_view holder,
                         instant now) {
  Expire(now);
  const auto position = Find(key);
  if (position == entries_.end()) return;
  auto& item = *position;
  if (item.state == key_state::kGranted) {
    if (item.holder != holder) return;
    item.state = key_state::kReleased;
    item.holder.clear();
    UpdateChangedAt(position, now);
  }
  if (item.state != key_state::kCompleted) item.released_holder = holder;
}

void key_ledger::Expire(instant now) {
  while (!entries_.empty() &&
         now - entries_.front().changed_at >= kKeyLifetime) {
    Erase(entries_.begin());
  }
  // Completed keys expire in the order of their completion, because their state
  // no longer changes.
  while (!completion_order_.empty() &&
         Find(completion_order_.front()) == entries_.end()) {
    completion_order_.pop_front();
  }
}

void key_ledger::Erase(entry_list::iterator position) {
  stored_bytes_ -= position->response_bytes;
  by_key_.erase(position->key);
  entries_.erase(position);
}

void key_ledger::UpdateChangedAt(entry_list::iterator position, instant now) {
  position->changed_at = now;
  entries_.splice(entries_.end(), entries_, position);
}

void key_ledger::DropResponse(entry& item) {
  stored_bytes_ -= item.response_bytes;
  item.response_bytes = 0;
  item.response = {.complete = false};
}

void key_ledger::EvictResponses() {
  while (stored_bytes_ > kMaxStoredBytes && !completion_order_.empty()) {
    const auto position = Find(completion_order_.front());
    completion_order_.pop_front();
    if (position != entries_.end()) DropResponse(*position);
  }
}

key_ledger::entry_list::iterator key_ledger::Find(const std::string& key) {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? entries_.end() : found->second;
}

std::string key_ledger::RandomPart() {
  return ToHex(random_.Next()) + ToHex(random_.Next());
}

}  // namespace pomelohall
