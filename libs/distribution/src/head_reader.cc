#include "distribution/head_reader.h"

#include <algorithm>
#include <utility>

#include "base/backoff.h"

namespace pomelohall {
namespace {

// Limits the rate of watches if the platform ends them immediately without a
// change.
constexpr duration kShortWatch = std::chrono::milliseconds(50);
constexpr duration kPauseAfterShortWatch = std::chrono::milliseconds(200);

}  // namespace

head_reader::head_reader(const distribution_options& options,
                         std::uint64_t seed)
    : options_(options), random_(seed) {}

void head_reader::OnFreshQuery(const std::string& from, std::uint64_t id,
                               instant now) {
  const auto known =
      std::find_if(queries_.begin(), queries_.end(),
                   [&](const auto& item) { return item.from == from; });
  if (known == queries_.end()) {
    queries_.push_back({.from = from, .id = id, .arrived = now});
  } else if (known->id != id) {
    *known = {.from = from, .id = id, .arrived = now};
  }
}

std::vector<head_reader::fresh_reply> head_reader::OnHead(
    head_source source, const result<config_head>& head,
    instant read_started_at, instant now) {
  (source == head_source::kRead ? read_in_flight_ : watch_in_flight_) = false;
  const bool absent = !head && head.error().kind == error_kind::kNotFound;
  const bool available = head.has_value() || absent;
  const bool changed =
      head && (!newest_head_ || head->version > newest_head_->version);
  if (available) {
    failures_ = 0;
    not_before_ = {};
    if (source == head_source::kWatch && !changed &&
        now - read_started_at < kShortWatch) {
      not_before_ = now + kPauseAfterShortWatch;
    }
  } else {
    BackOff(now);
  }
  if (changed) newest_head_ = *head;
  std::vector<fresh_reply> replies;
  if (!available && source == head_source::kWatch) return replies;
  std::erase_if(queries_, [&](const query& item) {
    if (item.arrived > read_started_at) return false;
    replies.push_back({.to = item.from,
                       .answer = {.id = item.id,
                                  .version = head ? head->version : 0,
                                  .available = available}});
    return true;
  });
  return replies;
}

result<config_image_ptr> head_reader::OnSections(
    config_version version,
    const result<std::vector<config_delta::item>>& items,
    const config_image& held, instant now) {
  const auto request = std::exchange(section_read_, std::nullopt);
  if (!request || request->head.version != version) {
    return config_image_ptr(nullptr);
  }
  if (!items) {
    BackOff(now);
    return tl::unexpected(items.error());
  }
  if (version <= held.head.version) return config_image_ptr(nullptr);
  auto image = ApplyDelta(
      held, {.base = request->base, .head = request->head, .items = *items});
  if (!image) BackOff(now);
  return image;
}

void head_reader::BackOff(instant now) {
  not_before_ = now + JitteredBackoff(options_.backoff_base,
                                      options_.backoff_cap, failures_, random_);
  ++failures_;
}

distribution_actions head_reader::Tick(bool is_reader, const config_image& held,
                                       instant now) {
  distribution_actions actions;
  // Queries are not subject to the backoff, as a recovering daemon asks the
  // members as soon as it is told that the platform is unavailable.
  if (!queries_.empty() && !read_in_flight_) {
    read_in_flight_ = true;
    actions.emplace_back(read_head{});
  }
  if (!is_reader || now < not_before_) return actions;
  if (!watch_in_flight_) {
    watch_in_flight_ = true;
    actions.emplace_back(watch_head{
        std::max(newest_head_ ? newest_head_->version : 0, held.head.version)});
  }
  if (!section_read_ && newest_head_ &&
      newest_head_->version > held.head.version) {
    section_read_ = {.head = *newest_head_, .base = held.head.version};
    read_sections request{.head = *newest_head_, .indexes = {}};
    for (std::size_t i = 0; i < kSectionCount; ++i) {
      if (newest_head_->sections[i].changed_at > held.head.version) {
        request.indexes.push_back(i);
      }
    }
    actions.emplace_back(std::move(request));
  }
  return actions;
}

}  // namespace pomelohall
