#ifndef POMELOHALL_TOOLS_LOAD_LOAD_REPORT_H_
#define POMELOHALL_TOOLS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace pomelohall {

/// Results of the calls to one kind of target.
class load_report {
 public:
  void AddOk(duration latency, std::uint64_t bytes);
  /// @param kind Error kind of the mesh, or what the checker found.
  void AddError(const std::string& kind);

  std::uint64_t Calls() const { return ok_ + errors_; }
  std::uint64_t Ok() const { return ok_; }
  /// Answers that were not the caller's own or not whole.
  std::uint64_t WrongAnswers() const;
  /// Returns the latency below which `share` of the good calls ended; 0 without
  /// calls.
  duration Percentile(double share) const;

  std::string Table(const std::string& title) const;
  std::string Json() const;

 private:
  std::uint64_t ok_ = 0;
  std::uint64_t errors_ = 0;
  std::uint64_t bytes_ = 0;
  std::map<std::string, std::uint64_t> errors_by_kind_;
  mutable std::vector<duration> latencies_;
  mutable bool sorted_ = true;
};

/// Names of what the checker found, as error kinds.
inline constexpr const char* kWrongBody = "wrong_body";
inline constexpr const char* kWrongCallId = "wrong_call_id";

}  // namespace pomelohall

#endif  // POMELOHALL_TOOLS_LOAD_LOAD_REPORT_H_
