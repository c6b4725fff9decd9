#include "active_config.h"

#include <algorithm>
#include <string>
#include <utility>

#include "logging/log_event.h"

namespace pomelohall {

active_config::active_config(
    std::string object_name,
    std::function<result<mesh_config>(const std::string&)> decode,
    observer on_change)
    : object_name_(std::move(object_name)),
      decode_(std::move(decode)),
      on_change_(std::move(on_change)) {}

void active_config::OnListed(const std::vector<watched_object>& objects) {
  for (const auto& object : objects) ApplyObject(object);
}

void active_config::OnChanged(const object_change& change) {
  if (change.deleted) {
    log_event(log_level::kWarning, "config_deleted")
        .With("object", change.object.name)
        .With("kept_version", Version());
    return;
  }
  ApplyObject(change.object);
}

void active_config::ApplyObject(const watched_object& object) {
  if (object.name != object_name_ || object.revision <= revision_) return;
  const bool restored =
      revision_.IsKnown() && object.revision.era > revision_.era;
  auto config = decode_(object.spec);
  if (!config) {
    log_event(log_level::kError, "config_refused")
        .With("era", object.revision.era)
        .With("revision", object.revision.number)
        .With("kept_version", Version())
        .With("reason", config.error().message);
    return;
  }
  revision_ = object.revision;
  if (config->version > Version()) {
    Activate(std::move(*config), "store");
  } else if (config->version < Version()) {
    // Expected after a restoration, until operators write the latest version
    // again.
    log_event(restored ? log_level::kWarning : log_level::kError,
              "config_refused")
        .With("era", revision_.era)
        .With("revision", revision_.number)
        .With("kept_version", Version())
        .With("reason", "version " + std::to_string(config->version) +
                            " is older than the active one");
  }
}

void active_config::OnFetched(mesh_config config, store_revision revision) {
  if (config.version <= Version()) return;
  revision_ = std::max(revision_, revision);
  Activate(std::move(config), "peer");
}

void active_config::Activate(mesh_config config, std::string_view source) {
  log_event(log_level::kInfo, "config_in_force")
      .With("version", config.version)
      .With("era", revision_.era)
      .With("revision", revision_.number)
      .With("source", source)
      .With("routes", static_cast<std::uint64_t>(config.routes.size()));
  table_ = std::make_shared<route_table>(std::move(config));
  digest_.reset();
  on_change_(table_);
}

const mesh_config& active_config::Config() const {
  static const mesh_config empty;
  return table_ ? table_->Config() : empty;
}

const config_digest& active_config::Digest() {
  if (!digest_) digest_ = ComputeDigest(Config());
  return *digest_;
}

}  // namespace pomelohall
