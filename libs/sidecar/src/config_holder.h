#ifndef POMELOHALL_SIDECAR_SRC_CONFIG_HOLDER_H_
#define POMELOHALL_SIDECAR_SRC_CONFIG_HOLDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "collection_watch.h"
#include "mesh/route_table.h"
#include "sidecar/sidecar.h"

namespace pomelohall {

// Holds the configuration in force. A version is taken whole or not at all, and
// never replaced by an older one.
class config_holder final : public collection_observer {
 public:
  using observer = std::function<void(std::shared_ptr<route_table>)>;

  config_holder(std::string object_name,
                std::function<result<mesh_config>(const std::string&)> decode,
                observer on_change);

  void OnListed(const std::vector<watched_object>& objects) override;
  void OnChanged(const object_change& change) override;

 private:
  void Take(const watched_object& object);

  const std::string object_name_;
  const std::function<result<mesh_config>(const std::string&)> decode_;
  const observer on_change_;
  std::uint64_t revision_ = 0;
  std::uint64_t version_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CONFIG_HOLDER_H_
