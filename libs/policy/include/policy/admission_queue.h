#ifndef POMELOHALL_POLICY_ADMISSION_QUEUE_H_
#define POMELOHALL_POLICY_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "model/configuration.h"

namespace pomelohall {

/// Identifies a request within its owner daemon.
using request_id = std::uint64_t;

/// A request to be sent to a backend server.
struct admission_request {
  request_id id = 0;
  class_kind kind = class_kind::kLookup;
  std::string work_class;
  instant deadline;
  /// Whether it must run as the only request on the backend server.
  bool exclusive = false;
};

/// Queued requests, ordered by deadline and then by id.
class admission_queue {
 public:
  std::size_t Size() const { return requests_.size(); }
  bool Empty() const { return requests_.empty(); }

  void Add(const admission_request& request);

  /// Removes a request. Returns whether it was queued.
  bool Remove(request_id id, instant deadline);

  /// Returns the request with the earliest deadline. The queue must not be
  /// empty.
  const admission_request& First() const { return requests_.begin()->second; }

  /// Returns the request with the latest deadline. The queue must not be empty.
  const admission_request& Last() const { return requests_.rbegin()->second; }

  /// Removes and returns the request with the earliest deadline. The queue must
  /// not be empty.
  admission_request TakeFirst();

 private:
  std::map<std::pair<instant, request_id>, admission_request> requests_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_ADMISSION_QUEUE_H_
