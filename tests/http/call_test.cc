#include <catch2/catch.hpp>
#include <string>

#include "backend_stub/pattern.h"
#include "mesh_fixture.h"
#include "raw_client.h"

namespace pomelohall {
namespace {

// Guards against a call that is not routed or whose response is incomplete, on
// the path where one daemon is both entry and owner.
TEST_CASE("Call_EntryIsOwner_ReturnsResponse") {
  mesh_fixture mesh;
  mesh.AddDaemon();
  mesh.AddBackend(0);
  mesh.PublishSnapshot();
  raw_client client(mesh.CallerAddress(0));
  const auto response = client.Call("GET", "/look/7");
  CHECK(response.status == 200);
  CHECK(response.body == "/look/7\n");
  CHECK(response.Field("Pomelohall-Outcome") == "ran");
}

// Same as above, on the path through a separate owner daemon.
TEST_CASE("Call_OwnerIsOtherDaemon_ReturnsResponse") {
  mesh_fixture mesh;
  mesh.AddDaemon();
  mesh.AddDaemon();
  mesh.AddBackend(1);
  mesh.PublishSnapshot();
  raw_client client(mesh.CallerAddress(0));
  const auto response = client.Call("GET", "/look/8");
  CHECK(response.status == 200);
  CHECK(response.body == "/look/8\n");
}

}  // namespace
}  // namespace pomelohall
