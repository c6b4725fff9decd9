#ifndef POMELOHALL_TESTS_MATRIX_CALLS_CALLER_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_CALLER_PROCESS_H_

#include <functional>
#include <string>
#include <vector>

#include "network.h"

namespace pomelohall::matrix::calls {

/// A caller that sends its requests again as far as the answers allow it.
class caller_process {
 public:
  explicit caller_process(network& net) : net_(net) {}

  /// Hands a try to an entry daemon. Set by run().
  std::function<void(process_id entry, const caller_try& origin)> send;

  /// Sends a request for the first time.
  void Begin(std::size_t request);

  void OnPart(const caller_try& origin, const std::string& part);
  void OnEnd(const caller_try& origin);
  void OnAborted(const caller_try& origin);
  void OnError(const caller_try& origin, const error& reason);
  void OnPeerDied(process_id dead, std::uint64_t epoch);

 private:
  /// The last try of a request.
  struct pending {
    std::size_t try_number = 0;
    process_id entry = 0;
    std::uint64_t epoch = 0;
    std::string body;
    bool waiting = false;
  };

  void SendTry(std::size_t request);
  void SendAgain(std::size_t request, run_state ran);
  pending* Current(const caller_try& origin);

  network& net_;
  std::vector<pending> pending_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_CALLER_PROCESS_H_
