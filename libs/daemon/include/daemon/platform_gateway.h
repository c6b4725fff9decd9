#ifndef POMELOHALL_DAEMON_PLATFORM_GATEWAY_H_
#define POMELOHALL_DAEMON_PLATFORM_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "model/image.h"
#include "platform/object_store.h"

namespace pomelohall {

/// The daemon's reads and writes at the platform, in terms of the project's own
/// objects. Used on the thread of the store; callbacks run there. Callbacks
/// that are due after the gateway was destroyed are dropped.
class platform_gateway {
 public:
  using head_callback = std::function<void(result<config_head>)>;
  /// Sections by digest.
  using section_map = std::map<std::string, section_bytes>;
  using sections_callback = std::function<void(result<section_map>)>;
  using write_callback = std::function<void(result<void>)>;

  /// @param store Must outlive the gateway.
  explicit platform_gateway(object_store& store);
  ~platform_gateway();
  platform_gateway(const platform_gateway&) = delete;
  platform_gateway& operator=(const platform_gateway&) = delete;

  /// Reads the head. A platform without a head gives the head of version 0.
  void ReadHead(head_callback done);

  /// Waits until the head differs from the one seen last, or `timeout_ms`.
  void WaitForHead(std::uint32_t timeout_ms, head_callback done);

  /// Reads sections by digest. Fails as a whole if one cannot be read.
  void ReadSections(std::vector<std::string> digests, sections_callback done);

  /// Creates an object. Fails with `kConflict` if the name is taken, also by
  /// an earlier try whose answer was lost.
  void Create(const std::string& plural, const std::string& name,
              std::string spec, write_callback done);

  /// Creates or replaces an object whose writer does not depend on what it
  /// replaces, for example a status. The update is conditional; on a conflict
  /// the object is read again, at most three times.
  void Replace(const std::string& plural, const std::string& name,
               std::string spec, write_callback done);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_PLATFORM_GATEWAY_H_
