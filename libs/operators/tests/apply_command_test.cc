#include "operators/apply_command.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "acceptance/config_objects.h"
#include "fake_environment.h"

namespace pomelohall {
namespace {

using nlohmann::json;

class apply_fixture {
 protected:
  command_output Apply(int services, bool wait = false) {
    return RunApply(env_, {.document = DocumentText(services),
                           .resume = "",
                           .wait = wait,
                           .timeout = std::chrono::seconds(10),
                           .format = output_format::kJson});
  }

  command_output Resume(const std::string& change_id) {
    return RunApply(env_, {.document = "",
                           .resume = change_id,
                           .wait = false,
                           .timeout = std::chrono::seconds(10),
                           .format = output_format::kJson});
  }

  void StoreStatus(const std::string& name, config_version lowest,
                   config_version highest) {
    env_.StoreStatus({.data_centre = name,
                      .members = 3,
                      .lowest = lowest,
                      .highest = highest,
                      .at_highest = lowest == highest ? 3U : 1U,
                      .backend_servers = {},
                      .updated_unix_ms = 0});
  }

  static json Details(const command_output& output) {
    return json::parse(ErrorText(output, output_format::kJson));
  }

  fake_environment env_;
};

}  // namespace

TEST_CASE_METHOD(apply_fixture, "Apply_NewDocument_ShowsVersionAndChangeId") {
  const auto output = Apply(3);
  CHECK(ExitCode(output) == 0);
  const json shown = json::parse(output.text);
  CHECK(shown["version"] == 1);
  // The id is printed before the write, in case the command is killed.
  CHECK(env_.Notices() ==
        std::vector<std::string>{"writing change " +
                                 shown["change_id"].get<std::string>()});
}

// Guards against a conflict error that does not identify the winning change.
TEST_CASE_METHOD(apply_fixture, "Apply_RaceLost_NamesTheWinner") {
  Apply(3);
  json winner;
  env_.FakeStore().BeforeNext("update",
                              [&] { winner = json::parse(Apply(4).text); });
  const auto output = Apply(5);
  CHECK(ExitCode(output) == 4);
  CHECK(Details(output)["winner"]["version"] == 2);
  CHECK(Details(output)["winner"]["change_id"] == winner["change_id"]);
  CHECK(output.failure->message.find(winner["change_id"].get<std::string>()) !=
        std::string::npos);
}

// Guards against an unknown outcome that cannot be resolved later.
TEST_CASE_METHOD(apply_fixture, "Apply_AnswerLostThenDown_ResumeFindsOutcome") {
  Apply(3);
  env_.FakeStore().BeforeNext("update", [&] {
    env_.FakeStore().LoseResponses(1);
    env_.FakeStore().BeforeNext("get", [&] { env_.FakeStore().SetDown(true); });
  });
  const auto output = Apply(4);
  CHECK(ExitCode(output) == 6);
  const std::string change_id = Details(output)["change_id"];
  CHECK(output.failure->message.find("apply --resume " + change_id) !=
        std::string::npos);
  env_.FakeStore().SetDown(false);
  CHECK(json::parse(Resume(change_id).text)["version"] == 2);
}

TEST_CASE_METHOD(apply_fixture, "Apply_PlatformDown_IsUnavailableAndNotRun") {
  env_.FakeStore().SetDown(true);
  const auto output = Apply(3);
  CHECK(ExitCode(output) == 5);
  CHECK(Details(output)["ran"] == "not_run");
}

// Guards against a wait that ends before the slowest daemon has the version.
TEST_CASE_METHOD(apply_fixture, "ApplyWait_LastDataCentreFollows_Succeeds") {
  StoreStatus("office", 1, 1);
  StoreStatus("plant", 0, 1);
  int sleeps = 0;
  env_.OnSleep([&] {
    if (++sleeps == 3) StoreStatus("plant", 1, 1);
  });
  CHECK(ExitCode(Apply(3, /*wait=*/true)) == 0);
  CHECK(sleeps == 3);
}

// Guards against a timeout error that does not say that the change was accepted
// or which data centres lag.
TEST_CASE_METHOD(apply_fixture, "ApplyWait_Timeout_NamesLaggingDataCentres") {
  StoreStatus("office", 1, 1);
  StoreStatus("plant", 0, 1);
  const auto output = Apply(3, /*wait=*/true);
  CHECK(ExitCode(output) == 8);
  CHECK(json::parse(output.text)["version"] == 1);
  const json details = Details(output);
  CHECK(details["ran"] == "ran");
  REQUIRE(details["lagging"].size() == 1);
  CHECK(details["lagging"][0]["data_centre"] == "plant");
  CHECK(details["lagging"][0]["lagging"] == 2);
}

// Guards against reporting success when no data centre has a status.
TEST_CASE_METHOD(apply_fixture, "ApplyWait_NoReports_TimesOut") {
  CHECK(ExitCode(Apply(3, /*wait=*/true)) == 8);
}

// Guards against a wait that fails on a short platform outage after acceptance.
TEST_CASE_METHOD(apply_fixture, "ApplyWait_PlatformDownForAWhile_Succeeds") {
  StoreStatus("plant", 1, 1);
  env_.FakeStore().BeforeNext("list", [&] { env_.FakeStore().SetDown(true); });
  env_.OnSleep([&] { env_.FakeStore().SetDown(false); });
  CHECK(ExitCode(Apply(3, /*wait=*/true)) == 0);
}

TEST_CASE_METHOD(apply_fixture, "Apply_InvalidDocument_ExitCode3") {
  const auto output = RunApply(env_, {.document = "{}"});
  CHECK(ExitCode(output) == 3);
  CHECK(env_.FakeStore().Table().Version() == 0);
}

}  // namespace pomelohall
