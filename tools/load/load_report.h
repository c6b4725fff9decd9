#ifndef POMELOHALL_TOOLS_LOAD_LOAD_REPORT_H_
#define POMELOHALL_TOOLS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace pomelohall {

/// Results of either the calls through the mesh or the direct calls.
class load_report {
 public:
  void AddOk(duration latency, std::uint64_t bytes);
  /// @param kind Error kind of the mesh, or a failure that load_call detected.
  void AddError(const std::string& kind);

  std::uint64_t Calls() const { return ok_ + errors_; }
  std::uint64_t Ok() const { return ok_; }
  /// Returns the number of kWrongBody and kWrongCallId errors.
  std::uint64_t WrongResponses() const;
  /// Returns the latency within which a fraction (0 to 1) of the successful
  /// calls completed, or 0 if there are none.
  duration Percentile(double fraction) const;

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

/// Error kinds of incorrect responses: an unexpected body, and the call id of
/// another call.
inline constexpr const char* kWrongBody = "wrong_body";
inline constexpr const char* kWrongCallId = "wrong_call_id";

}  // namespace pomelohall

#endif  // POMELOHALL_TOOLS_LOAD_LOAD_REPORT_H_
