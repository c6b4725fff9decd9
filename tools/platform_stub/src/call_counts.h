#ifndef POMELOHALL_PLATFORM_STUB_CALL_COUNTS_H_
#define POMELOHALL_PLATFORM_STUB_CALL_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>

#include "api_request.h"

namespace pomelohall {

/// Counts the calls of the object API by verb and plural resource name.
class call_counts {
 public:
  void Add(const api_request& request);

  /// Returns `{total, verbs: {verb: {plural: count}}}`.
  std::string FormatJson() const;

 private:
  std::map<std::string, std::map<std::string, std::uint64_t>> counts_;
  std::uint64_t total_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_STUB_CALL_COUNTS_H_
