#ifndef POMELOHALL_TESTS_MATRIX_CALLS_BACKEND_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_BACKEND_PROCESS_H_

#include <functional>
#include <set>
#include <string>

#include "run_context.h"

namespace pomelohall::matrix::calls {

/// Callbacks that receive the parts of an answer of a backend server.
struct answer_sink {
  std::function<void(std::string echoed_call_id)> head;
  std::function<void(std::string part)> part;
  std::function<void()> end;
  std::function<void()> truncated;
};

/// Simulated backend server. Records its executions in the call history and
/// sends each answer in three parts.
class backend_process {
 public:
  backend_process(run_context& context, process_id self)
      : context_(context), self_(self) {}

  void OnRequest(const forwarded_call& call, const answer_sink& sink);
  void OnCancel(const forwarded_call& call);
  void OnRestart() { cancelled_.clear(); }

 private:
  void Answer(const forwarded_call& call, const answer_sink& sink);
  void SendPart(const forwarded_call& call, const answer_sink& sink,
                const std::string& body, std::size_t number);
  bool TakeAnswerFault(const forwarded_call& call, fault which);

  run_context& context_;
  process_id self_;
  std::set<std::string> cancelled_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_BACKEND_PROCESS_H_
