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

/// Names a request at its owner daemon.
using ticket = std::uint64_t;

/// A request that waits to be sent to a backend server.
struct admission_request {
  ticket id = 0;
  class_kind kind = class_kind::kLookup;
  std::string work_class;
  instant deadline;
  bool alone = false;  ///< Must be the only request on the backend server.
};

/// Waiting requests, ordered by deadline and then by ticket.
class admission_queue {
 public:
  std::size_t Size() const { return requests_.size(); }
  bool Empty() const { return requests_.empty(); }

  void Add(const admission_request& request);

  /// Removes a request; returns whether it was there.
  bool Remove(ticket id, instant deadline);

  /// Returns the request with the earliest deadline. Must not be empty.
  const admission_request& First() const { return requests_.begin()->second; }

  /// Returns the request with the latest deadline. Must not be empty.
  const admission_request& Last() const { return requests_.rbegin()->second; }

  /// Removes and returns the request with the earliest deadline. Must not be
  /// empty.
  admission_request TakeFirst();

 private:
  std::map<std::pair<instant, ticket>, admission_request> requests_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_POLICY_ADMISSION_QUEUE_H_
