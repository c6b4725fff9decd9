#ifndef POMELOHALL_TESTS_MATRIX_CALLS_BACKEND_PROCESS_H_
#define POMELOHALL_TESTS_MATRIX_CALLS_BACKEND_PROCESS_H_

#include <functional>
#include <set>
#include <string>

#include "network.h"

namespace pomelohall::matrix::calls {

/// Where a backend server sends the parts of an answer.
struct answer_sink {
  std::function<void(std::string echoed_call_id)> head;
  std::function<void(std::string part)> part;
  std::function<void()> end;
  std::function<void()> cut;
};

/// A backend server that records what it runs and answers in three parts.
class backend_process {
 public:
  backend_process(network& net, process_id self) : net_(net), self_(self) {}

  void OnRequest(const forwarded_call& call, const answer_sink& sink);
  void OnCancel(const forwarded_call& call);
  void OnRestart() { cancelled_.clear(); }

 private:
  void Answer(const forwarded_call& call, const answer_sink& sink);
  void SendPart(const forwarded_call& call, const answer_sink& sink,
                const std::string& body, std::size_t number);
  bool TakeAnswerFault(const forwarded_call& call, fault which);

  network& net_;
  process_id self_;
  std::set<std::string> cancelled_;
};

}  // namespace pomelohall::matrix::calls

#endif  // POMELOHALL_TESTS_MATRIX_CALLS_BACKEND_PROCESS_H_
