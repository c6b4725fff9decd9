#include "tenancy/tenant_directory.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace pomelohall {
namespace {

tenant MakeTenant(const std::string& name,
                  const std::vector<std::string>& keys) {
  tenant entry{.name = name};
  for (const auto& key : keys) entry.key_digests.push_back(DigestApiKey(key));
  return entry;
}

class tenant_directory_fixture {
 protected:
  const std::vector<tenant> tenants_{MakeTenant("north", {"n1", "n2"}),
                                     MakeTenant("south", {"s1"})};
  const tenant_directory directory_{tenants_};
};

// Guards against a request that is attributed to another tenant, or to none.
TEST_CASE_METHOD(tenant_directory_fixture,
                 "TenantDirectory_KeyOfTenant_NamesItsHolder", "[tenancy]") {
  for (const auto* const field : {"Bearer n1", "Bearer n2"}) {
    const auto found = directory_.Authenticate({field}, false);
    REQUIRE(found.result == authentication_result::kTenant);
    CHECK(found.holder->name == "north");
  }
  const auto on_public_route = directory_.Authenticate({"Bearer s1"}, true);
  REQUIRE(on_public_route.result == authentication_result::kTenant);
  CHECK(on_public_route.holder->name == "south");
}

// Guards against requests that pass without a key, and against public routes
// that ask for one.
TEST_CASE_METHOD(tenant_directory_fixture,
                 "TenantDirectory_UnknownKey_PassesOnPublicRoutesOnly",
                 "[tenancy]") {
  const std::vector<std::vector<std::string_view>> unknown{
      {}, {"Bearer n"}, {"Bearer "}, {"n1"}, {"Bearer n1", "Bearer n1"}};
  for (const auto& fields : unknown) {
    CHECK(directory_.Authenticate(fields, false).result ==
          authentication_result::kDenied);
    CHECK(directory_.Authenticate(fields, true).result ==
          authentication_result::kAnonymous);
  }
}

// Guards against deployments without tenants whose callers would need keys.
TEST_CASE("TenantDirectory_NoTenants_AsksForNoKey", "[tenancy]") {
  const std::vector<tenant> none;
  const tenant_directory directory(none);
  CHECK(directory.Authenticate({}, false).result ==
        authentication_result::kAnonymous);
  CHECK(directory.Authenticate({"Bearer x"}, false).result ==
        authentication_result::kAnonymous);
}

// Guards against a configuration in which the holder of a key is chosen by
// chance, and against keys in its refusal.
TEST_CASE("TenantFault_TenantsThatClash_AreNamedWithoutKeys", "[tenancy]") {
  CHECK_FALSE(FindTenantFault({}));
  CHECK_FALSE(FindTenantFault(
      {MakeTenant("a", {"k1", "k1"}), MakeTenant("b", {"k2"})}));
  const auto shared = FindTenantFault(
      {MakeTenant("a", {"secret"}), MakeTenant("b", {"secret"})});
  REQUIRE(shared);
  CHECK(*shared == "tenants a and b have the same key");
  CHECK(FindTenantFault({MakeTenant("a", {}), MakeTenant("a", {})}) ==
        "tenant a is listed twice");
  CHECK(FindTenantFault({MakeTenant("", {"k"})}) == "a tenant has no name");
}

}  // namespace
}  // namespace pomelohall
