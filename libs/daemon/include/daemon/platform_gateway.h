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

/// Reads and writes pomelohall's objects through the platform's object API.
/// Must be used on the thread of the store, which also runs the callbacks.
/// Callbacks still pending when the gateway is destroyed are dropped.
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

  /// Reads the head. Returns the head of version 0 if the platform has none.
  void ReadHead(head_callback done);

  /// Waits until the head differs from the one read last and returns it.
  /// Returns the unchanged head after `timeout_ms`.
  void WaitForHead(std::uint32_t timeout_ms, head_callback done);

  /// Reads sections by digest. Fails if any of them cannot be read.
  void ReadSections(std::vector<std::string> digests, sections_callback done);

  /// Creates an object. Fails with `kConflict` if the name exists, which may
  /// also be due to an earlier attempt whose response was lost.
  void Create(const std::string& plural, const std::string& name,
              std::string spec, write_callback done);

  /// Creates or overwrites an object whose new content does not depend on the
  /// old one, for example a status. Updates are conditional on the resource
  /// version; after a conflict the object is read again. Makes at most three
  /// attempts.
  void Replace(const std::string& plural, const std::string& name,
               std::string spec, write_callback done);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_PLATFORM_GATEWAY_H_
