#include <catch2/catch.hpp>
#include <string>

#include "backend_stub/pattern.h"
#include "mesh_fixture.h"
#include "raw_client.h"

namespace pomelohall {
namespace {

// Guards against a call that is not routed, or an answer that is not whole, on
// the short path (entry and owner are one daemon).
TEST_CASE("Call_EntryIsOwner_GetsTheAnswer") {
  mesh_fixture mesh;
  mesh.AddDaemon();
  mesh.AddBackend(0);
  mesh.Publish();
  raw_client client(mesh.Caller(0));
  const auto answer = client.Call("GET", "/look/7");
  CHECK(answer.status == 200);
  CHECK(answer.body == "/look/7\n");
  CHECK(answer.Field("Pomelohall-Outcome") == "ran");
}

// The same over another daemon.
TEST_CASE("Call_OwnerIsAnotherDaemon_GetsTheAnswer") {
  mesh_fixture mesh;
  mesh.AddDaemon();
  mesh.AddDaemon();
  mesh.AddBackend(1);
  mesh.Publish();
  raw_client client(mesh.Caller(0));
  const auto answer = client.Call("GET", "/look/8");
  CHECK(answer.status == 200);
  CHECK(answer.body == "/look/8\n");
}

}  // namespace
}  // namespace pomelohall
