#include "distribution/puller.h"

#include <algorithm>

#include "base/backoff.h"

namespace pomelohall {
namespace {

// Failed attempts after which a daemon without a version also pulls from
// readers and members of other data centres: when a whole data centre starts,
// no other member of it has the state.
constexpr std::size_t kOrdinaryMemberAttempts = 2;

// Returns whether `name` is another member of this data centre and no reader.
bool IsOrdinaryMember(const std::string& name, const membership_view& view) {
  return name != view.self && view.members.contains(name) &&
         std::find(view.readers.begin(), view.readers.end(), name) ==
             view.readers.end();
}

}  // namespace

puller::puller(const distribution_options& options, std::uint64_t seed)
    : options_(options), random_(seed) {}

void puller::OnOffer(const std::string& from, config_version version) {
  config_version& known = offers_[from];
  known = std::max(known, version);
}

void puller::OnRefused(const std::string& from, instant now) {
  if (!in_flight_ || in_flight_->source != from) return;
  in_flight_.reset();
  offers_.erase(from);
  BackOff(now);
}

void puller::OnStaged(config_version version) {
  in_flight_.reset();
  failures_ = 0;
  not_before_ = {};
  std::erase_if(offers_,
                [&](const auto& item) { return item.second <= version; });
}

void puller::BackOff(instant now) {
  not_before_ = now + JitteredBackoff(options_.backoff_base,
                                      options_.backoff_cap, failures_, random_);
  ++failures_;
}

std::optional<std::string> puller::NextSource(config_version held,
                                              const membership_view& view,
                                              instant now) {
  if (in_flight_) {
    if (now < in_flight_->deadline ||
        options_.defect == distribution_defect::kNoRepair) {
      return std::nullopt;
    }
    // Uses other members until the source sends another offer.
    offers_.erase(in_flight_->source);
    in_flight_.reset();
    ++failures_;
  }
  if (offers_.empty() || now < not_before_) return std::nullopt;
  auto source = held == 0 ? ChooseForFullState(view) : ChooseOfferer();
  if (!source) return std::nullopt;
  in_flight_ = {.source = *source,
                .deadline = now + (held == 0 ? options_.full_state_pull_timeout
                                             : options_.pull_timeout)};
  return source;
}

std::optional<std::string> puller::ChooseOfferer() const {
  const auto best = std::max_element(
      offers_.begin(), offers_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best == offers_.end()) return std::nullopt;
  return best->first;
}

std::optional<std::string> puller::ChooseForFullState(
    const membership_view& view) {
  if (failures_ >= kOrdinaryMemberAttempts) return ChooseOfferer();
  std::vector<std::string> candidates;
  for (const auto& [name, version] : offers_) {
    if (IsOrdinaryMember(name, view)) candidates.push_back(name);
  }
  if (candidates.empty()) {
    for (const auto& [name, incarnation] : view.members) {
      if (IsOrdinaryMember(name, view)) candidates.push_back(name);
    }
  }
  if (candidates.empty()) return ChooseOfferer();
  return candidates[random_.Below(candidates.size())];
}

}  // namespace pomelohall
