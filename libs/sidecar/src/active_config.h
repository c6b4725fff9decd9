#ifndef POMELOHALL_SIDECAR_SRC_ACTIVE_CONFIG_H_
#define POMELOHALL_SIDECAR_SRC_ACTIVE_CONFIG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/config_difference.h"
#include "mesh/route_table.h"
#include "sidecar/sidecar.h"
#include "sidecar/watched_store.h"

namespace pomelohall {

// Holds the active configuration. A new version is applied as a whole or not at
// all, and never replaced by an older one. Versions alone decide which one is
// newer: a restored store may hold an older version, and gives newer ones lower
// revisions.
class active_config {
 public:
  using observer = std::function<void(std::shared_ptr<route_table>)>;

  active_config(std::string object_name,
                std::function<result<mesh_config>(const std::string&)> decode,
                observer on_change);

  void OnListed(const std::vector<watched_object>& objects);
  void OnChanged(const object_change& change);
  // Activates a configuration that was fetched from another daemon.
  // @param revision Revision of the store object that holds it.
  void OnFetched(mesh_config config, store_revision revision);

  // The active configuration; an empty one if there is none yet.
  const mesh_config& Config() const;
  // Digest of Config(). Computed on the first call for a version, because most
  // daemons serve few fetches and it takes about 0.5 ms with a thousand routes.
  const config_digest& Digest();
  std::uint64_t Version() const { return Config().version; }
  // Revision of the store object that was processed last.
  store_revision Revision() const { return revision_; }

 private:
  void Activate(mesh_config config, std::string_view source);
  void ApplyObject(const watched_object& object);

  const std::string object_name_;
  const std::function<result<mesh_config>(const std::string&)> decode_;
  const observer on_change_;
  store_revision revision_;
  std::shared_ptr<route_table> table_;
  std::optional<config_digest> digest_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_ACTIVE_CONFIG_H_
