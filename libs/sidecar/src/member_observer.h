#ifndef POMELOHALL_SIDECAR_SRC_MEMBER_OBSERVER_H_
#define POMELOHALL_SIDECAR_SRC_MEMBER_OBSERVER_H_

#include "collection_watch.h"
#include "member_publisher.h"
#include "mesh/retry_budget.h"
#include "mesh/server_directory.h"
#include "quarantine/crash_history.h"

namespace pomelohall {

class rollout_coordinator;

// Applies the member records of the store to the server directory and the retry
// budget.
class member_observer final : public collection_observer {
 public:
  // All references must outlive the observer.
  member_observer(std::string own_name, server_directory& directory,
                  retry_budget& budget, member_publisher& publisher,
                  crash_history& crashes,
                  rollout_coordinator* rollouts = nullptr);

  void OnListed(const object_listing& listing) override;
  void OnRestored(const object_listing& listing) override;
  void OnChanged(const object_change& change) override;

 private:
  void ApplyRecord(const watched_object& object);
  // Tells the publisher if its record is not in the store.
  void CheckOwnRecord(const object_listing& listing);
  // Returns whether an object of the copy is older than what is known.
  bool IsOutdated(const watched_object& object,
                  const mesh_member& member) const;
  void UpdateRetryBudget();

  const std::string own_name_;
  server_directory& directory_;
  retry_budget& budget_;
  member_publisher& publisher_;
  crash_history& crashes_;
  rollout_coordinator* const rollouts_;  // Null without roll-outs.
  // Revision at which the last restoration of the store was noticed. Records up
  // to it may come from the copy.
  store_revision restored_at_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MEMBER_OBSERVER_H_
