#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

/// Sidecars whose requests show whether a new configuration is active.
class config_delay_fixture : public sidecar_fleet {
 protected:
  static constexpr const char* kAddedRoute = "/added/";

  /// Publishes a version with a route more, and waits as long as the daemons
  /// may take to apply it.
  void PublishAddedRoute() {
    PublishConfig(9, kAddedRoute);
    std::this_thread::sleep_for(max_config_delay_);
  }

  /// Returns whether a sidecar has the added route. Without a backend server,
  /// requests on known routes are refused for this reason.
  bool HasAddedRoute(std::size_t index) {
    const auto response = Call(index, "GET", std::string(kAddedRoute) + "1");
    return response.status == 200 ||
           (response.status == 503 &&
            response.body.find("no_backend_server") != std::string::npos);
  }
};

// Guards against a configuration that no daemon reads because the daemons that
// should are gone, while their records are still in the store.
TEST_CASE_METHOD(config_delay_fixture,
                 "Sidecar_ReadersAreGone_ChangeIsInForceInTime", "[sidecar]") {
  RunOnIoThread([this] {
    for (int i = 0; i < 20; ++i) {
      store_->Put("pomelohall-members", "gone-" + std::to_string(i),
                  {{"address", "127.0.0.1:1"},
                   {"data_centre", "near"},
                   {"incarnation", 1}});
    }
  });
  PublishConfig(3);
  AddSidecar(nullptr);
  WaitUntilOffered(0);
  // The change ends calls that began before the records were known.
  PublishConfig(4);
  std::this_thread::sleep_for(max_config_delay_ / 2);
  RunOnIoThread([this] { store_->FreezeStaleReads(); });
  PublishAddedRoute();
  CHECK(HasAddedRoute(0));
}

// Guards against daemons that the store turns away and that ask only the
// designated reader, which the store turns away as well.
TEST_CASE_METHOD(config_delay_fixture,
                 "Sidecar_ReaderIsTurnedAwayByStore_ChangeIsInForceInTime",
                 "[sidecar]") {
  scripted_server server(OkResponse);
  PublishConfig(3);
  store_link_rate_ = 1e9;
  link_mbps_ = 100;
  AddSidecar(&server);  // The designated reader.
  link_mbps_ = 10;
  AddSidecar(&server);
  AddSidecar(&server);
  WaitUntilOffered(3);  // All know each other.
  RunOnIoThread([this] {
    nodes_[0]->store_link->Silence();
    nodes_[1]->store_link->Silence();
  });
  PublishAddedRoute();
  CHECK(HasAddedRoute(1));
  CHECK(HasAddedRoute(0));
}

// Guards against a daemon that notices only after the bound that the store no
// longer answers its watch.
TEST_CASE_METHOD(config_delay_fixture,
                 "Sidecar_WatchGoesSilent_ChangeIsInForceInTime", "[sidecar]") {
  PublishConfig(3);
  AddSidecar(nullptr);
  while (!IsReady(0)) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  // The watch has just started, so its end is as far away as it can be.
  RunOnIoThread([this] { store_->CompactHistory(); });
  PublishAddedRoute();
  CHECK(HasAddedRoute(0));
}

// Guards against a final answer from data that may be outdated: without the
// store, the daemon cannot know whether a newer version has the route. Callers
// do not repeat a request after 404.
TEST_CASE_METHOD(config_delay_fixture,
                 "Sidecar_UnconfirmedConfig_UnknownRouteIsRefusedNotDenied",
                 "[sidecar]") {
  PublishConfig(3);
  store_link_rate_ = 1e9;
  AddSidecar(nullptr);
  WaitUntilOffered(0);
  CHECK(Call(0, "GET", "/unknown/1").status == 404);
  RunOnIoThread([this] { nodes_[0]->store_link->Silence(); });
  // A watch that is under way may still confirm its end.
  std::this_thread::sleep_for(max_config_delay_ * 3 / 2);
  const auto refused = Call(0, "GET", "/unknown/1");
  CHECK(refused.status == 503);
  CHECK_FALSE(refused.Field("Retry-After").empty());
}

// Guards against a request that was on its way for seconds, behind others on a
// full link or during a cut, and confirms its sender's configuration as that of
// the moment of its arrival: the daemon answered 404 on an added route.
TEST_CASE_METHOD(config_delay_fixture,
                 "Sidecar_RequestWasLongOnItsWay_ConfirmsNothing",
                 "[sidecar]") {
  scripted_server server(OkResponse);
  PublishConfig(3);
  store_link_rate_ = 1e9;
  forward_link_rate_ = 1e9;
  AddSidecar(&server);
  WaitUntilOffered(1);
  RunOnIoThread([this] { nodes_[0]->store_link->Silence(); });
  std::this_thread::sleep_for(max_config_delay_ * 3 / 2);
  raw_client sender(nodes_[0]->forward_link->Address());
  sender.Call("GET", "/safe/1",
              "Pomelohall-Mesh-Version: 3\r\n"
              "Pomelohall-Mesh-Confirmed: 1 100000 0\r\n");
  CHECK(Call(0, "GET", "/unknown/1").status == 503);
}

// The same for a daemon that has heard of a newer version and does not have it
// yet.
TEST_CASE_METHOD(config_delay_fixture,
                 "Sidecar_NewerVersionKnown_UnknownRouteIsRefusedNotDenied",
                 "[sidecar]") {
  scripted_server server(OkResponse);
  PublishConfig(3);
  store_link_rate_ = 1e9;
  forward_link_rate_ = 1e9;
  AddSidecar(nullptr);
  AddSidecar(&server);
  WaitUntilOffered(1);
  CHECK(Call(1, "GET", "/added/1").status == 404);
  RunOnIoThread([this] {
    nodes_[1]->store_link->Silence();
    nodes_[0]->forward_link->Silence();  // No fetch of the new version.
  });
  PublishConfig(9, kAddedRoute);
  while (!HasAddedRoute(0)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  // The request tells the daemon beside the server of the version.
  CHECK(Call(0, "GET", "/added/1").status == 200);
  const auto refused = Call(1, "GET", "/added/1");
  CHECK(refused.status == 503);
  CHECK_FALSE(refused.Field("Retry-After").empty());
}

/// A configuration of about 1 MB, the maximum size of an object, and VMs with
/// the slowest link of a deployment.
class large_config_fixture : public config_delay_fixture {
 protected:
  static constexpr double kSlowLinkMbps = 7;
  static constexpr double kSlowLinkRate = kSlowLinkMbps * 125'000;
  static constexpr int kLargeConfigRoutes = 4'800;

  large_config_fixture() {
    max_config_delay_ = std::chrono::milliseconds(2500);
  }

  /// Starts a sidecar that watches the store for both, as its link is the
  /// faster one, and one with a slow link that fetches from it.
  void AddReaderAndSlowSidecar() {
    PublishConfig(3);
    link_mbps_ = 20 * kSlowLinkMbps;
    forward_link_rate_ = kSlowLinkRate;
    AddSidecar(nullptr);
    link_mbps_ = kSlowLinkMbps;
    store_link_rate_ = kSlowLinkRate;
    forward_link_rate_ = 0;
    AddSidecar(nullptr);
    WaitUntilOffered(0);
  }
};

// Guards against a daemon that abandons each read of a configuration that its
// link takes longer for than the timeout of a read: it stayed with the previous
// version and answered 404 on routes of the new one.
TEST_CASE_METHOD(large_config_fixture,
                 "Sidecar_LargeConfigOnSlowLink_ChangeIsInForceInTime",
                 "[sidecar]") {
  PublishConfig(3);
  link_mbps_ = kSlowLinkMbps;
  // The rest of the link carries requests.
  store_link_rate_ = 0.6 * kSlowLinkRate;
  AddSidecar(nullptr);
  WaitUntilOffered(0);
  idle_routes_ = kLargeConfigRoutes;
  PublishAddedRoute();
  CHECK(HasAddedRoute(0));
}

// The same for a daemon that fetches the routes from another daemon, and reads
// the store only if that fails.
TEST_CASE_METHOD(large_config_fixture,
                 "Sidecar_LargeFetchOnSlowLink_ChangeIsInForceInTime",
                 "[sidecar]") {
  AddReaderAndSlowSidecar();
  idle_routes_ = kLargeConfigRoutes;
  PublishAddedRoute();
  CHECK(HasAddedRoute(1));
}

// Guards against a fetch that is abandoned while its bytes arrive: a daemon
// that cannot reach the store then stays with the previous version.
TEST_CASE_METHOD(large_config_fixture,
                 "Sidecar_LargeFetchWithoutStore_ChangeIsInForceInTime",
                 "[sidecar]") {
  AddReaderAndSlowSidecar();
  RunOnIoThread([this] { nodes_[1]->store_link->Silence(); });
  idle_routes_ = kLargeConfigRoutes;
  PublishAddedRoute();
  CHECK(HasAddedRoute(1));
}

// Guards against a daemon with a slow link that sends the whole configuration
// to many others at a time: each of them waits for all, instead of reading it
// elsewhere.
TEST_CASE_METHOD(large_config_fixture,
                 "Sidecar_SecondLargeFetchFromSlowLink_IsRefusedAtOnce",
                 "[sidecar]") {
  idle_routes_ = kLargeConfigRoutes;
  PublishConfig(3);
  link_mbps_ = kSlowLinkMbps;
  forward_link_rate_ = kSlowLinkRate;
  AddSidecar(nullptr);
  WaitUntilOffered(0);
  // The digest of a daemon without a configuration.
  std::string digest = "[0";
  for (int bucket = 1; bucket < 64; ++bucket) digest += ",0";
  digest += "]";
  const std::string fields = "Pomelohall-Mesh-Fetch: 0\r\n";
  const auto address = nodes_[0]->forward_link->Address();
  raw_client first(address);
  raw_client second(address);
  first.SendRequest("POST", "/", fields, digest);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  second.SendRequest("POST", "/", fields, digest);
  std::thread reader([&first] {
    const auto response = first.Read();
    CHECK(response.status == 200);
    CHECK(response.complete);
  });
  const auto refused = second.Read();
  reader.join();
  CHECK(refused.status == 503);
  // The link is free again.
  raw_client third(address);
  third.SendRequest("POST", "/", fields, digest);
  CHECK(third.Read().status == 200);
}

}  // namespace
}  // namespace pomelohall
