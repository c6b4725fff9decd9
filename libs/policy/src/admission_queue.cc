#include "policy/admission_queue.h"

#include <cassert>

namespace pomelohall {

void admission_queue::Add(const admission_request& request) {
  requests_.emplace(std::pair(request.deadline, request.id), request);
}

bool admission_queue::Remove(request_id id, instant deadline) {
  return requests_.erase(std::pair(deadline, id)) > 0;
}

admission_request admission_queue::TakeFirst() {
  assert(!requests_.empty());
  auto node = requests_.extract(requests_.begin());
  return std::move(node.mapped());
}

}  // namespace pomelohall
