#ifndef POMELOHALL_SIDECAR_SRC_QUOTA_EXCHANGE_H_
#define POMELOHALL_SIDECAR_SRC_QUOTA_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backend/connection_pool.h"
#include "base/callback_scope.h"
#include "caller/incoming_request.h"
#include "mesh/server_directory.h"
#include "quota/quota_account.h"
#include "quota/quota_pool.h"
#include "tenancy/tenant.h"

namespace pomelohall {

class sidecar_metrics;

struct quota_exchange_options {
  std::string member;             // Name of this daemon.
  std::uint64_t incarnation = 0;  // Differs for each process.
  std::string attempt_id_field;   // Header field that answers echo.
  // Longest wait of a request for an answer of the coordinator.
  duration max_wait = std::chrono::milliseconds(150);
};

// Applies the quotas of tenants to the requests of this daemon's callers, and
// coordinates them for all daemons while this one is the member with the
// fastest link that others reach.
class quota_exchange {
 public:
  using callback = std::function<void(quota_decision)>;

  // All references must outlive the exchange.
  quota_exchange(connection_pool& peers, server_directory& directory,
                 sidecar_metrics& metrics, quota_exchange_options options);
  ~quota_exchange();

  void SetTenants(const std::vector<tenant>& tenants);

  // Calls `done` with the decision about a request, at once or after the next
  // answer. kWait means that the coordinator did not answer in time.
  void Admit(const std::string& tenant, callback done);
  void Return(const std::string& tenant) { account_.Return(tenant); }
  duration RetryAfter(const std::string& tenant) const {
    return account_.RetryAfter(tenant);
  }

  // Answers the report of another daemon.
  void Serve(const std::shared_ptr<incoming_request>& request);

  // To be called about every 50 ms.
  void Tick(instant now);
  void Stop();

 private:
  struct waiting_request {
    std::string tenant;
    instant until;
    callback done;
  };

  // Reports if it is due.
  void Report(instant now);
  std::optional<mesh_member> Coordinator(instant now) const;
  void Send(const mesh_member& coordinator, const quota_report& report,
            instant now);
  void OnBody(const std::optional<quota_answer>& answer, instant asked_at);
  void OnFailed();
  void DecideWaiting(instant now);

  connection_pool& peers_;
  server_directory& directory_;
  sidecar_metrics& metrics_;
  const quota_exchange_options options_;
  quota_account account_;
  quota_pool pool_;
  bool is_limited_ = false;  // Some tenant has a limit.
  std::deque<waiting_request> waiting_;
  std::shared_ptr<exchange> sent_;
  std::string sent_to_;
  std::uint64_t reports_ = 0;
  instant sent_at_;
  // Members that did not answer, until when they are passed over.
  std::map<std::string, instant> avoided_;
  callback_scope answers_;
  callback_scope callbacks_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_QUOTA_EXCHANGE_H_
