#ifndef POMELOHALL_SIDECAR_SRC_STOP_NOTICES_H_
#define POMELOHALL_SIDECAR_SRC_STOP_NOTICES_H_

#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"

namespace pomelohall {

// Notices of other daemons that they stop. A daemon cannot answer its callers
// after its end, so the requests that it passed on before have that deadline.
class stop_notices {
 public:
  // Adds a notice that arrived at `now`.
  // @param sender Address of the daemon.
  // @param latest Latest deadline of its requests.
  void Add(const std::string& sender, instant latest, instant now);

  // Returns the latest deadline of a request that arrived from `sender` at
  // `received_at`; instant::max() if it has none.
  instant LatestDeadline(const std::string& sender, instant received_at) const;

 private:
  struct notice {
    instant latest;
    instant received_at;
  };

  // Far above the number of daemons that stop at the same time.
  static constexpr std::size_t kMaxNotices = 1000;

  std::map<std::string, notice> notices_;  // By sender.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_STOP_NOTICES_H_
