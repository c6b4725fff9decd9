#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

// The bound of the default settings of a sidecar.
constexpr std::chrono::seconds kMaxConfigDelay(2);

/// Sidecars whose requests show whether a new configuration is active.
class config_delay_fixture : public sidecar_fleet {
 protected:
  static constexpr const char* kAddedRoute = "/added/";

  /// Publishes a version with a route more, and waits as long as the daemons
  /// may take to apply it.
  void PublishAddedRoute() {
    PublishConfig(9, kAddedRoute);
    std::this_thread::sleep_for(kMaxConfigDelay);
  }

  /// Returns whether a sidecar has the added route. Without a backend server,
  /// requests on known routes are refused with 503.
  bool HasAddedRoute(std::size_t index) {
    return Call(index, "GET", std::string(kAddedRoute) + "1").status != 404;
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
  std::this_thread::sleep_for(kMaxConfigDelay / 2);
  RunOnIoThread([this] { store_->FreezeStaleReads(); });
  PublishAddedRoute();
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

}  // namespace
}  // namespace pomelohall
