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
    return RunApply(where_, {.document = DocumentText(services),
                             .resume = "",
                             .wait = wait,
                             .timeout = std::chrono::seconds(10),
                             .format = output_format::kJson});
  }

  command_output Resume(const std::string& change_id) {
    return RunApply(where_, {.document = "",
                             .resume = change_id,
                             .wait = false,
                             .timeout = std::chrono::seconds(10),
                             .format = output_format::kJson});
  }

  void Report(const std::string& name, config_version lowest,
              config_version highest) {
    where_.Report({.data_centre = name,
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

  fake_environment where_;
};

}  // namespace

TEST_CASE_METHOD(apply_fixture, "Apply_NewDocument_ShowsVersionAndChangeId") {
  const auto output = Apply(3);
  CHECK(ExitCode(output) == 0);
  const json shown = json::parse(output.text);
  CHECK(shown["version"] == 1);
  // The id was shown before the write, for an operator whose command dies.
  CHECK(where_.Notices() ==
        std::vector<std::string>{"writing change " +
                                 shown["change_id"].get<std::string>()});
}

// Guards against a lost race that the operator cannot trace.
TEST_CASE_METHOD(apply_fixture, "Apply_RaceLost_NamesTheWinner") {
  Apply(3);
  json winner;
  where_.Fake().BeforeNext("update",
                           [&] { winner = json::parse(Apply(4).text); });
  const auto output = Apply(5);
  CHECK(ExitCode(output) == 4);
  CHECK(Details(output)["winner"]["version"] == 2);
  CHECK(Details(output)["winner"]["change_id"] == winner["change_id"]);
  CHECK(output.failure->message.find(winner["change_id"].get<std::string>()) !=
        std::string::npos);
}

// Guards against an outcome that stays unknown for ever.
TEST_CASE_METHOD(apply_fixture, "Apply_AnswerLostThenDown_ResumeFindsOutcome") {
  Apply(3);
  where_.Fake().BeforeNext("update", [&] {
    where_.Fake().LoseResponses(1);
    where_.Fake().BeforeNext("get", [&] { where_.Fake().SetDown(true); });
  });
  const auto output = Apply(4);
  CHECK(ExitCode(output) == 6);
  const std::string change_id = Details(output)["change_id"];
  CHECK(output.failure->message.find("apply --resume " + change_id) !=
        std::string::npos);
  where_.Fake().SetDown(false);
  CHECK(json::parse(Resume(change_id).text)["version"] == 2);
}

TEST_CASE_METHOD(apply_fixture, "Apply_PlatformDown_IsUnavailableAndNotRun") {
  where_.Fake().SetDown(true);
  const auto output = Apply(3);
  CHECK(ExitCode(output) == 5);
  CHECK(Details(output)["ran"] == "not_run");
}

// Guards against a wait that ends before the slowest daemon has the version.
TEST_CASE_METHOD(apply_fixture, "ApplyWait_LastDataCentreFollows_Succeeds") {
  Report("office", 1, 1);
  Report("plant", 0, 1);
  int sleeps = 0;
  where_.OnSleep([&] {
    if (++sleeps == 3) Report("plant", 1, 1);
  });
  CHECK(ExitCode(Apply(3, /*wait=*/true)) == 0);
  CHECK(sleeps == 3);
}

// Guards against a timeout that hides that the change was accepted, or where
// it is missing.
TEST_CASE_METHOD(apply_fixture, "ApplyWait_Timeout_NamesTheLaggingOnes") {
  Report("office", 1, 1);
  Report("plant", 0, 1);
  const auto output = Apply(3, /*wait=*/true);
  CHECK(ExitCode(output) == 8);
  CHECK(json::parse(output.text)["version"] == 1);
  const json details = Details(output);
  CHECK(details["ran"] == "ran");
  REQUIRE(details["lagging"].size() == 1);
  CHECK(details["lagging"][0]["data_centre"] == "plant");
  CHECK(details["lagging"][0]["lagging"] == 2);
}

// Guards against "in force everywhere" when no data centre has said so.
TEST_CASE_METHOD(apply_fixture, "ApplyWait_NoReports_TimesOut") {
  CHECK(ExitCode(Apply(3, /*wait=*/true)) == 8);
}

// Guards against a wait that fails on a short outage after the acceptance.
TEST_CASE_METHOD(apply_fixture, "ApplyWait_PlatformDownForAWhile_Succeeds") {
  Report("plant", 1, 1);
  where_.Fake().BeforeNext("list", [&] { where_.Fake().SetDown(true); });
  where_.OnSleep([&] { where_.Fake().SetDown(false); });
  CHECK(ExitCode(Apply(3, /*wait=*/true)) == 0);
}

TEST_CASE_METHOD(apply_fixture, "Apply_InvalidDocument_ExitCode3") {
  const auto output = RunApply(where_, {.document = "{}"});
  CHECK(ExitCode(output) == 3);
  CHECK(where_.Fake().Table().Version() == 0);
}

}  // namespace pomelohall
