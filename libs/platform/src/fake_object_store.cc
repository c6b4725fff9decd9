#include "platform/fake_object_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelohall {
namespace {

tl::unexpected<error> UnavailableError() {
  return tl::unexpected<error>(error(error_kind::kPlatformUnavailable,
                                     "the platform is down",
                                     run_state::kNotRun));
}

}  // namespace

fake_object_store::fake_object_store() {
  table_.SetListener([this](const object_change&) {
    FinishWaits([this](const wait& waiting) { return HasChanged(waiting); });
  });
}

void fake_object_store::SetDown(bool down) {
  down_ = down;
  if (down) FinishWaits([](const wait&) { return true; });
}

void fake_object_store::BeforeNext(const std::string& verb,
                                   std::function<void()> hook) {
  hooks_[verb] = std::move(hook);
}

std::size_t fake_object_store::Advance(duration span) {
  now_ += span;
  FinishWaits([this](const wait& waiting) { return waiting.due <= now_; });
  std::size_t delivered = 0;
  while (!pending_results_.empty() && pending_results_.begin()->first <= now_) {
    const auto deliver =
        std::move(pending_results_.extract(pending_results_.begin()).mapped());
    deliver();
    ++delivered;
  }
  return delivered;
}

int fake_object_store::Calls(const std::string& verb) const {
  const auto found = calls_.find(verb);
  return found == calls_.end() ? 0 : found->second;
}

void fake_object_store::Get(const std::string& plural, const std::string& name,
                            object_callback done) {
  Count("get");
  result<stored_object> answer = UnavailableError();
  if (!down_) answer = table_.Get(plural, name);
  PostResult([done = std::move(done), answer] { done(answer); });
}

void fake_object_store::List(const std::string& plural, list_callback done) {
  Count("list");
  result<std::vector<stored_object>> answer = UnavailableError();
  if (!down_) answer = table_.List(plural);
  PostResult([done = std::move(done), answer] { done(answer); });
}

void fake_object_store::Create(const stored_object& object,
                               object_callback done) {
  Write("create", std::move(done), [&] { return table_.Create(object); });
}

void fake_object_store::Update(const stored_object& object,
                               object_callback done) {
  Write("update", std::move(done), [&] { return table_.Update(object); });
}

void fake_object_store::Delete(const stored_object& object,
                               object_callback done) {
  Write("delete", std::move(done), [&] { return table_.Delete(object); });
}

void fake_object_store::WaitForChange(const std::string& plural,
                                      const std::string& name,
                                      const std::string& known,
                                      std::uint32_t timeout_ms,
                                      object_callback done) {
  Count("watch");
  waits_.push_back({.plural = plural,
                    .name = name,
                    .known = known,
                    .due = now_ + std::chrono::milliseconds(timeout_ms),
                    .done = std::move(done)});
  FinishWaits(
      [this](const wait& waiting) { return down_ || HasChanged(waiting); });
}

void fake_object_store::Count(const std::string& verb) {
  ++calls_[verb];
  if (auto hook = hooks_.extract(verb)) hook.mapped()();
}

void fake_object_store::PostResult(std::function<void()> deliver) {
  pending_results_.emplace(now_ + delay_, std::move(deliver));
}

void fake_object_store::Write(
    const std::string& verb, object_callback done,
    const std::function<result<stored_object>()>& effect) {
  Count(verb);
  result<stored_object> answer = UnavailableError();
  if (!down_) answer = effect();
  if (!down_ && lost_responses_left_ > 0) {
    --lost_responses_left_;
    answer = Fail(error_kind::kPlatformUnavailable, "the response was lost");
  }
  PostResult([done = std::move(done), answer] { done(answer); });
}

void fake_object_store::FinishWaits(
    const std::function<bool(const wait&)>& ended) {
  const auto first = std::stable_partition(
      waits_.begin(), waits_.end(),
      [&ended](const wait& waiting) { return !ended(waiting); });
  std::vector<wait> finished(std::make_move_iterator(first),
                             std::make_move_iterator(waits_.end()));
  waits_.erase(first, waits_.end());
  for (auto& waiting : finished) {
    result<stored_object> answer = UnavailableError();
    if (!down_) answer = table_.Get(waiting.plural, waiting.name);
    PostResult([done = std::move(waiting.done), answer] { done(answer); });
  }
}

bool fake_object_store::HasChanged(const wait& waiting) const {
  const auto object = table_.Get(waiting.plural, waiting.name);
  if (!object) return !waiting.known.empty();
  return object->resource_version != waiting.known;
}

}  // namespace pomelohall
