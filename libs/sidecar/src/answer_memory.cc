#include "answer_memory.h"

#include <utility>

namespace pomelohall {

bool answer_memory::Reserve(std::uint64_t bytes, grant_handler on_granted) {
  // Answers that wait for more memory do not get any before this one.
  if (HasMemoryFor(bytes)) {
    reserved_ += bytes;
    return true;
  }
  waiting_.emplace(bytes, std::move(on_granted));
  return false;
}

void answer_memory::Release(std::uint64_t bytes) {
  reserved_ -= bytes;
  while (!waiting_.empty() && HasMemoryFor(waiting_.begin()->first)) {
    const auto next = waiting_.extract(waiting_.begin());
    reserved_ += next.key();
    if (!next.mapped()()) reserved_ -= next.key();
  }
}

bool answer_memory::HasMemoryFor(std::uint64_t bytes) const {
  return kMinFreeMultiple * bytes <= kMaxBytes - reserved_;
}

}  // namespace pomelohall
