#include "tenancy/tenant_directory.h"

#include <cstring>
#include <map>
#include <set>

namespace pomelohall {

std::optional<std::string> FindTenantFault(const std::vector<tenant>& tenants) {
  std::set<std::string_view> names;
  std::map<api_key_digest, std::string_view> holders;
  for (const auto& entry : tenants) {
    if (entry.name.empty()) return "a tenant has no name";
    if (!names.insert(entry.name).second)
      return "tenant " + entry.name + " is listed twice";
    for (const auto& digest : entry.key_digests) {
      const auto [holder, added] = holders.emplace(digest, entry.name);
      if (!added && holder->second != entry.name) {
        return "tenants " + std::string(holder->second) + " and " + entry.name +
               " have the same key";
      }
    }
  }
  return std::nullopt;
}

std::size_t tenant_directory::digest_hash::operator()(
    const api_key_digest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof hash);
  return hash;
}

tenant_directory::tenant_directory(const std::vector<tenant>& tenants)
    : tenants_(tenants) {
  for (const auto& entry : tenants_) {
    for (const auto& digest : entry.key_digests) {
      by_key_.emplace(digest, &entry);
    }
  }
}

const tenant* tenant_directory::Find(const api_key_digest& digest) const {
  const auto found = by_key_.find(digest);
  return found == by_key_.end() ? nullptr : found->second;
}

authentication tenant_directory::Authenticate(
    const std::vector<std::string_view>& authorization, bool is_public) const {
  const tenant* holder = nullptr;
  if (authorization.size() == 1) {
    if (const auto key = ParseBearerToken(authorization.front()))
      holder = Find(DigestApiKey(*key));
  }
  if (holder != nullptr)
    return {.result = authentication_result::kTenant, .holder = holder};
  const bool needs_key = !IsEmpty() && !is_public;
  return {.result = needs_key ? authentication_result::kDenied
                              : authentication_result::kAnonymous};
}

}  // namespace pomelohall
