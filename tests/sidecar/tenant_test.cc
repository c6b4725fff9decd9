#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>

#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

/// Two sidecars and a backend server. The configuration has two tenants:
/// "north" with the key "n-key" and no limit, and "south" with the key "s-key",
/// which may send two requests at once and one per minute after that.
class tenant_fixture : public sidecar_fleet {
 protected:
  tenant_fixture() {
    quotas_ = quota_settings();
    Publish(3, "n-key");
    AddSidecar(&server_);
    AddSidecar(nullptr, "front");
    WaitUntilOffered(1);
  }

  void Publish(int version, const std::string& north_key) {
    tenants_ = {{{"name", "north"}, {"apiKeys", {north_key}}, {"priority", 0}},
                {{"name", "south"},
                 {"apiKeys", {"s-key"}},
                 {"ratePerS", 1.0 / 60},
                 {"burst", 2}}};
    PublishConfig(version, "/open/");
  }

  raw_response Get(const std::string& target, const std::string& fields) {
    return Call(1, "GET", target, fields);
  }

  std::string LastHeader() {
    const std::lock_guard lock(mutex_);
    return last_header_;
  }

  std::mutex mutex_;
  std::string last_header_;
  scripted_server server_{[this](const std::string& header) {
    const std::lock_guard lock(mutex_);
    last_header_ = header;
    return OkResponse(header);
  }};
};

}  // namespace

// Guards against a key that reaches a backend server, and a tenant's name that
// the caller has chosen.
TEST_CASE_METHOD(tenant_fixture,
                 "Sidecar_KeyOfTenant_IsReplacedByTheTenantsName",
                 "[sidecar]") {
  const auto answer =
      Get("/safe/1",
          "Authorization: Bearer n-key\r\npomelohall-tenant: south\r\n"
          "Pomelohall-Tenant: south\r\nConnection: Pomelohall-Tenant\r\n");
  CHECK(answer.status == 200);
  const auto header = LastHeader();
  CHECK(HeaderValue(header, "Pomelohall-Tenant") == "north");
  CHECK(header.find("n-key") == std::string::npos);
  CHECK(header.find("south") == std::string::npos);
}

// Guards against requests that run although nobody holds their key.
TEST_CASE_METHOD(tenant_fixture, "Sidecar_UnknownKey_IsAnsweredWith401",
                 "[sidecar]") {
  for (const std::string fields :
       {"", "Authorization: Bearer other\r\n", "Authorization: n-key\r\n",
        "Authorization: Basic n-key\r\n",
        "Authorization: Bearer n-key\r\nAuthorization: Bearer n-key\r\n"}) {
    INFO(fields);
    CHECK(Get("/safe/1", fields).status == 401);
  }
  CHECK(server_.Requests() == 0);
  CHECK(Get("/none/1", "").status == 404);
}

// Guards against public routes that ask for a key, and against a tenant's name
// on requests that have none.
TEST_CASE_METHOD(tenant_fixture, "Sidecar_PublicRoute_NeedsNoKey",
                 "[sidecar]") {
  CHECK(Get("/open/1", "Pomelohall-Tenant: south\r\n").status == 200);
  CHECK(HeaderValue(LastHeader(), "Pomelohall-Tenant").empty());
  CHECK(Get("/open/1", "Authorization: Bearer other\r\n").status == 200);
  CHECK(LastHeader().find("other") == std::string::npos);
}

// Guards against a removed key that still works, and an added one that does
// not, on a daemon that fetches the version from another.
TEST_CASE_METHOD(tenant_fixture, "Sidecar_ReplacedKey_TakesEffect",
                 "[sidecar]") {
  Publish(4, "new-key");
  std::this_thread::sleep_for(milliseconds(2000));
  CHECK(Get("/safe/1", "Authorization: Bearer n-key\r\n").status == 401);
  CHECK(Get("/safe/1", "Authorization: Bearer new-key\r\n").status == 200);
}

// Guards against a quota that is not applied, or applied for each daemon.
TEST_CASE_METHOD(tenant_fixture, "Sidecar_QuotaUsedUp_IsAnsweredWith429",
                 "[sidecar]") {
  int served = 0;
  for (std::size_t i = 0; i < 12; ++i) {
    const auto answer =
        Call(i % 2, "GET", "/safe/1", "Authorization: Bearer s-key\r\n");
    if (answer.status == 200) {
      ++served;
      continue;
    }
    INFO(answer.status);
    CHECK((answer.status == 429 || answer.status == 503));
    CHECK_FALSE(answer.Field("Retry-After").empty());
  }
  // The bound allows (1/60 x 5 + 2) x 1.1 + 20.
  CHECK(served <= 6);
  CHECK(Get("/safe/1", "Authorization: Bearer n-key\r\n").status == 200);
}

}  // namespace pomelohall
