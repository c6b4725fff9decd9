#ifndef POMELOHALL_TENANCY_TENANT_DIRECTORY_H_
#define POMELOHALL_TENANCY_TENANT_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tenancy/tenant.h"

namespace pomelohall {

/// Returns why the tenants cannot be used together, or nothing if they can: a
/// key that two tenants have would make either the holder by chance. The text
/// names tenants, never keys.
std::optional<std::string> FindTenantFault(const std::vector<tenant>& tenants);

/// Whether a request may pass, by its API key.
enum class authentication_result {
  kAnonymous,  ///< It needs no key and has none that is known.
  kTenant,     ///< Its key is that of a tenant.
  kDenied,     ///< It needs a key and has none that is known.
};

/// Result of tenant_directory::Authenticate().
struct authentication {
  authentication_result result = authentication_result::kDenied;
  const tenant* holder = nullptr;  ///< Set for kTenant only.
};

/// Looks up the tenants of one configuration by API key.
class tenant_directory {
 public:
  /// @param tenants Must outlive the directory and pass FindTenantFault().
  explicit tenant_directory(const std::vector<tenant>& tenants);

  /// Whether callers need keys at all.
  bool IsEmpty() const { return tenants_.empty(); }

  /// Returns the tenant that holds a key, or null.
  const tenant* Find(const api_key_digest& digest) const;

  /// @param authorization All Authorization fields of a request. With more than
  ///     one it is unclear who sends it, so they count as none.
  /// @param is_public Whether the route needs no key.
  authentication Authenticate(
      const std::vector<std::string_view>& authorization, bool is_public) const;

 private:
  struct digest_hash {
    std::size_t operator()(const api_key_digest& digest) const;
  };

  const std::vector<tenant>& tenants_;
  std::unordered_map<api_key_digest, const tenant*, digest_hash> by_key_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TENANCY_TENANT_DIRECTORY_H_
