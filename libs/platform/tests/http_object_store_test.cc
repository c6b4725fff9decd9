#include "platform/http_object_store.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "http/http_client.h"
#include "http/http_server.h"
#include "platform/object_table.h"
#include "platform_stub/platform_api.h"

namespace pomelohall {
namespace {

class store_fixture {
 protected:
  store_fixture() {
    server_ = std::move(*http_server::Listen(
        io_, {.max_body_bytes = platform_api::kMaxRequestBytes},
        api_.Handler()));
    store_ = std::make_unique<http_object_store>(
        io_, http_object_store_options{.address = server_->Address(),
                                       .timeout = std::chrono::seconds(60)});
  }

  static stored_object Object(const std::string& name, const std::string& spec,
                              const std::string& version = "") {
    return {.plural = "claims",
            .name = name,
            .resource_version = version,
            .spec = spec};
  }

  /// Starts a call with `start(callback)` and runs until it has completed.
  template <typename Answer = stored_object, typename Start>
  result<Answer> Do(Start start) {
    std::optional<result<Answer>> answer;
    start([&](result<Answer> got) { answer = std::move(got); });
    while (!answer) REQUIRE(io_.run_one() > 0);
    return *answer;
  }

  result<stored_object> Create(const stored_object& object) {
    return Do([&](auto done) { store_->Create(object, done); });
  }
  result<stored_object> Update(const stored_object& object) {
    return Do([&](auto done) { store_->Update(object, done); });
  }
  result<stored_object> Get(const std::string& name) {
    return Do([&](auto done) { store_->Get("claims", name, done); });
  }

  void SetFault(const std::string& body) {
    http_client client(io_);
    const auto answer = Do<http_response>([&](auto done) {
      client.Send(server_->Address(),
                  {.method = "POST", .target = "/control/faults", .body = body},
                  std::chrono::seconds(60), done);
    });
    REQUIRE(answer->status == 200);
  }

  boost::asio::io_context io_;
  platform_api api_{io_};
  std::unique_ptr<http_server> server_;
  std::unique_ptr<http_object_store> store_;
};

}  // namespace

TEST_CASE_METHOD(store_fixture,
                 "HttpStore_CreateGetUpdateDelete_FollowsVersions") {
  const auto created = Create(Object("a", R"({"x":1})"));
  REQUIRE(created.has_value());
  CHECK(Create(Object("a", "{}")).error().kind == error_kind::kConflict);
  const auto updated = Update(Object("a", "2", created->resource_version));
  REQUIRE(updated.has_value());
  CHECK(Get("a")->spec == "2");
  CHECK(Update(Object("a", "3", created->resource_version)).error().kind ==
        error_kind::kConflict);
  CHECK(Update(Object("a", "3")).error().kind == error_kind::kInvalidRequest);
  const auto remove = [&](const stored_object& object) {
    return Do([&](auto done) { store_->Delete(object, done); });
  };
  CHECK(remove(*created).error().kind == error_kind::kConflict);
  CHECK(remove(*updated).has_value());
  CHECK(Get("a").error().kind == error_kind::kNotFound);
}

TEST_CASE_METHOD(store_fixture, "HttpStore_ValueAboveLimit_IsBodyTooLarge") {
  const std::string large = "\"" + std::string(kMaxObjectBytes, 'x') + "\"";
  CHECK(Create(Object("a", large)).error().kind == error_kind::kBodyTooLarge);
}

// Guards against a list that stops after the first page.
TEST_CASE_METHOD(store_fixture, "HttpStore_ListOfSeveralPages_HasAllObjects") {
  constexpr int kObjects = 501;
  for (int i = 0; i < kObjects; ++i) {
    REQUIRE(Create(Object("n" + std::to_string(i), "{}")).has_value());
  }
  const auto list = Do<std::vector<stored_object>>(
      [&](auto done) { store_->List("claims", done); });
  REQUIRE(list.has_value());
  CHECK(list->size() == kObjects);
}

TEST_CASE_METHOD(store_fixture, "HttpStore_Wait_SeesTheNextChangeOfItsObject") {
  const auto first = Create(Object("a", "1"));
  std::optional<result<stored_object>> changed;
  store_->WaitForChange(
      "claims", "a", first->resource_version, 60'000,
      [&](const result<stored_object>& got) { changed = got; });
  REQUIRE(Create(Object("b", "1")).has_value());
  CHECK_FALSE(changed.has_value());
  REQUIRE(Update(Object("a", "2", first->resource_version)).has_value());
  while (!changed) REQUIRE(io_.run_one() > 0);
  CHECK((*changed)->spec == "2");
}

TEST_CASE_METHOD(store_fixture, "HttpStore_WaitForNewObject_EndsWhenCreated") {
  std::optional<result<stored_object>> found;
  store_->WaitForChange("claims", "a", "", 60'000,
                        [&](const result<stored_object>& got) { found = got; });
  REQUIRE(Create(Object("a", "1")).has_value());
  while (!found) REQUIRE(io_.run_one() > 0);
  CHECK((*found)->spec == "1");
}

TEST_CASE_METHOD(store_fixture, "HttpStore_WaitUnchanged_ReturnsTheObject") {
  const auto first = Create(Object("a", "1"));
  const auto same = Do([&](auto done) {
    store_->WaitForChange("claims", "a", first->resource_version, 1, done);
  });
  CHECK(same->resource_version == first->resource_version);
}

// Guards against a wait that fails because the platform's history no longer
// reaches back to its version.
TEST_CASE_METHOD(store_fixture,
                 "HttpStore_WaitFromExpiredVersion_ReadsObject") {
  auto object = Create(Object("a", "0"));
  const std::string old = object->resource_version;
  for (int i = 0; i < 1001; ++i) object = Update(*object);
  const auto now = Do([&](auto done) {
    store_->WaitForChange("claims", "a", old, 60'000, done);
  });
  CHECK(now->resource_version == object->resource_version);
}

// Guards against a write reported as not run when only its response was lost.
TEST_CASE_METHOD(store_fixture, "HttpStore_AnswerLost_IsUnknownAndTookEffect") {
  SetFault(R"({"mode":"lose_answers","count":1})");
  const auto created = Create(Object("a", "1"));
  REQUIRE_FALSE(created.has_value());
  CHECK(created.error().kind == error_kind::kPlatformUnavailable);
  CHECK(created.error().ran == run_state::kUnknown);
  CHECK(Get("a").has_value());
}

TEST_CASE_METHOD(store_fixture, "HttpStore_Down_IsUnavailableAndEndsWaits") {
  std::optional<result<stored_object>> waited;
  const auto first = Create(Object("a", "1"));
  store_->WaitForChange(
      "claims", "a", first->resource_version, 60'000,
      [&](const result<stored_object>& got) { waited = got; });
  REQUIRE(Get("a").has_value());
  SetFault(R"({"mode":"down"})");
  while (!waited) REQUIRE(io_.run_one() > 0);
  CHECK_FALSE(waited->has_value());
  CHECK(Get("a").error().kind == error_kind::kPlatformUnavailable);
  SetFault(R"({"mode":"none"})");
  CHECK(Get("a").has_value());
}

TEST_CASE_METHOD(store_fixture, "HttpStore_NoServer_IsUnavailableAndNotRun") {
  server_.reset();
  const auto got = Get("a");
  CHECK(got.error().kind == error_kind::kPlatformUnavailable);
  CHECK(got.error().ran == run_state::kNotRun);
}

// Guards against a watch that is counted as several calls to the platform.
TEST_CASE_METHOD(store_fixture, "PlatformApi_Calls_AreCountedByVerbAndPlural") {
  const auto first = Create(Object("a", "1"));
  Do([&](auto done) {
    store_->WaitForChange("claims", "a", "", 60'000, done);
  });
  http_client client(io_);
  const auto answer = Do<http_response>([&](auto done) {
    client.Send(server_->Address(), {.target = "/control/calls"},
                std::chrono::seconds(60), done);
  });
  const auto counts = nlohmann::json::parse(answer->body);
  CHECK(counts["total"] == 2);
  CHECK(counts["verbs"]["create"]["claims"] == 1);
  CHECK(counts["verbs"]["watch"]["claims"] == 1);
}

}  // namespace pomelohall
