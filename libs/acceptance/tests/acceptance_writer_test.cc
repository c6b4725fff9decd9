#include "acceptance/acceptance_writer.h"

#include <catch2/catch.hpp>

#include "acceptance_driver.h"

namespace pomelohall {

TEST_CASE_METHOD(acceptance_fixture, "Accept_FirstAndNext_AreVersions1And2") {
  CHECK(Accept(100, "a").outcome->version == 1);
  CHECK(StoredConfiguration().services.size() == 100);
  CHECK(Accept(101, "b").outcome->version == 2);
  CHECK(StoredConfiguration().services.size() == 101);
}

// Guards against writes of unchanged sections, which would use up the
// platform's write rate.
TEST_CASE_METHOD(acceptance_fixture,
                 "Accept_OneServiceAdded_CreatesOneSection") {
  Accept(100, "a");
  const int before = store_.Calls("create");
  Accept(101, "b");
  CHECK(store_.Calls("create") == before + 1);
}

TEST_CASE_METHOD(acceptance_fixture, "Accept_SameDocument_MakesNoVersion") {
  Accept(3, "a");
  const auto again = Accept(3, "b");
  CHECK_FALSE(again.changed);
  CHECK(again.outcome->version == 1);
  CHECK(Head().version == 1);
}

TEST_CASE_METHOD(acceptance_fixture, "Accept_InvalidDocument_WritesNothing") {
  auto document = MakeDocument(2);
  document.routes.push_back(
      {.path_prefix = "/a", .method = "", .work_class = "missing"});
  const auto done = acceptance_driver(store_, document, "a").Run();
  CHECK(done.outcome.error().kind == error_kind::kInvalidConfiguration);
  CHECK(store_.Calls("get") == 0);
  CHECK(store_.Table().Version() == 0);
}

// Guards against a head that refers to sections that are not stored yet.
TEST_CASE_METHOD(acceptance_fixture, "Accept_EachStepOfWrite_HeadIsWhole") {
  Accept(10, "a");
  acceptance_driver driver(store_, MakeDocument(40), "b");
  while (driver.Step()) CHECK_NOTHROW(StoredConfiguration());
  CHECK(StoredConfiguration().services.size() == 40);
}

// Guards against an operator's change that is overwritten by a concurrent one
// without either operator being told.
TEST_CASE_METHOD(acceptance_fixture,
                 "Race_OtherWriterFirst_LoserLearnsWinner") {
  Accept(5, "a");
  acceptance_driver slow(store_, MakeDocument(6), "b");
  slow.RunToHeadWrite();
  const auto winner = Accept(7, "c");
  const auto loser = slow.Run();
  REQUIRE_FALSE(loser.outcome.has_value());
  CHECK(loser.outcome.error().kind == error_kind::kConflict);
  CHECK(loser.winner == *winner.outcome);
  CHECK(StoredConfiguration().services.size() == 7);
}

// Guards against a writer that resumes after a long pause and reverts the
// changes made meanwhile.
TEST_CASE_METHOD(acceptance_fixture,
                 "PausedWriter_ManyNewVersions_ChangesNothing") {
  Accept(5, "a");
  acceptance_driver paused(store_, MakeDocument(6), "b");
  paused.RunToHeadWrite();
  for (int i = 0; i < 70; ++i) Accept(7 + i, "c" + std::to_string(i));
  const auto done = paused.Run();
  CHECK(done.outcome.error().kind == error_kind::kConflict);
  CHECK(done.outcome.error().ran == run_state::kNotRun);
  CHECK(Head().version == 71);
}

// Guards against overwriting a head that the writer has not read: one restored
// from a backup, or one that another change gave the same version.
TEST_CASE_METHOD(acceptance_fixture,
                 "HeadReplaced_BeforeWrite_IsNotOverwritten") {
  Accept(5, "a");
  const auto older = *store_.Table().Get(kHeadPlural, kHeadName);
  Accept(6, "b");
  acceptance_driver driver(store_, MakeDocument(7), "c");
  driver.RunToHeadWrite();
  auto replaced = *store_.Table().Get(kHeadPlural, kHeadName);
  SECTION("by an older version") { replaced.spec = older.spec; }
  SECTION("by another change") {
    auto head = ParseHeadObject(replaced).value();
    head.change_id = "2-other";
    replaced.spec = FormatHead(head);
  }
  REQUIRE(store_.Table().Update(replaced));
  const auto done = driver.Run();
  REQUIRE_FALSE(done.outcome.has_value());
  CHECK(done.outcome.error().kind == error_kind::kConflict);
  CHECK(store_.Table().Get(kHeadPlural, kHeadName)->spec == replaced.spec);
}

// Guards against a lost answer that is reported as a failure or that leads to
// a second version.
TEST_CASE_METHOD(acceptance_fixture, "AnswerLost_EachWrite_IsAcceptedOnce") {
  Accept(5, "a");
  const auto steps_before = GENERATE(range(0, 8));
  acceptance_driver driver(store_, MakeDocument(10), "b");
  for (int i = 0; i < steps_before; ++i) driver.Step();
  store_.LoseResponses(1);
  const auto done = driver.Run();
  REQUIRE(done.outcome.has_value());
  CHECK(done.outcome->version == 2);
  CHECK(Head().version == 2);
  CHECK(StoredConfiguration().services.size() == 10);
}

// Guards against a lost answer that is reported as a conflict because other
// writers have created later versions.
TEST_CASE_METHOD(acceptance_fixture, "AnswerLost_HeadMovedOn_IsStillAccepted") {
  Accept(5, "a");
  acceptance_driver driver(store_, MakeDocument(6), "b");
  driver.RunToHeadWrite();
  store_.LoseResponses(1);
  driver.Step();
  Accept(9, "c");
  Accept(10, "d");
  const auto done = driver.Run();
  REQUIRE(done.outcome.has_value());
  CHECK(done.outcome->version == 2);
  CHECK(StoredConfiguration().services.size() == 10);
}

// Guards against reporting a conflict for a change that took effect but whose
// id the head no longer lists.
TEST_CASE_METHOD(acceptance_fixture,
                 "AnswerLost_ChangeIdNotRecorded_IsUnknown") {
  Accept(5, "a");
  acceptance_driver driver(store_, MakeDocument(6), "b");
  driver.RunToHeadWrite();
  store_.LoseResponses(1);
  driver.Step();
  for (int i = 0; i < 64; ++i) Accept(7 + i, "c" + std::to_string(i));
  const auto done = driver.Run();
  REQUIRE_FALSE(done.outcome.has_value());
  CHECK(done.outcome.error().kind == error_kind::kOutcomeUnknown);
  CHECK(done.change_id == "2-b");
}

// Guards against a change that fails because of a short outage at some step.
TEST_CASE_METHOD(acceptance_fixture,
                 "PlatformDown_ShortAtEachStep_IsAccepted") {
  Accept(5, "a");
  const auto steps_before = GENERATE(range(0, 7));
  acceptance_driver driver(store_, MakeDocument(10), "b");
  for (int i = 0; i < steps_before; ++i) driver.Step();
  store_.SetDown(true);
  for (int i = 0; i < 5; ++i) driver.Step();
  store_.SetDown(false);
  CHECK(driver.Run().outcome->version == 2);
  CHECK(StoredConfiguration().services.size() == 10);
}

// Guards against reporting the outcome as unknown for a change that certainly
// did not take effect.
TEST_CASE_METHOD(acceptance_fixture,
                 "PlatformDown_BeforeHeadWrite_NothingChanged") {
  Accept(5, "a");
  const auto steps_before = GENERATE(range(0, 5));
  acceptance_driver driver(store_, MakeDocument(10), "b");
  for (int i = 0; i < steps_before; ++i) driver.Step();
  store_.SetDown(true);
  const auto done = driver.Run();
  CHECK(done.outcome.error().kind == error_kind::kPlatformUnavailable);
  CHECK(done.outcome.error().ran == run_state::kNotRun);
  CHECK(Head().version == 1);
}

// Guards against reporting that nothing changed for a change that took effect,
// and against an outcome that cannot be resolved later.
TEST_CASE_METHOD(acceptance_fixture, "AnswerLost_ThenDown_IsResolvedByResume") {
  Accept(5, "a");
  acceptance_driver driver(store_, MakeDocument(6), "b");
  driver.RunToHeadWrite();
  store_.LoseResponses(1);
  driver.Step();
  store_.SetDown(true);
  const auto done = driver.Run();
  REQUIRE_FALSE(done.outcome.has_value());
  CHECK(done.outcome.error().kind == error_kind::kOutcomeUnknown);
  store_.SetDown(false);
  CHECK(Resolve(done.change_id).outcome->version == 2);
}

// Guards against a burst of writes, against a failed section that is not
// retried, and against answers that arrive during a pause.
TEST_CASE("Writer_OneOfEightSectionsFails_WaitsForTheOthersAndRetries") {
  acceptance_writer writer(MakeDocument(300), "a", {}, /*seed=*/1);
  const instant now;
  writer.Start(now);
  const auto creates = writer.OnHead(Fail(error_kind::kNotFound, ""), now);
  REQUIRE(creates.size() == 8);
  const auto name = [](const acceptance_action& action) {
    return std::get<create_section>(action).object.name;
  };
  const auto lost = Fail(error_kind::kPlatformUnavailable, "lost");
  CHECK(writer.OnSection(name(creates[0]), lost, now).empty());
  for (int i = 1; i < 7; ++i) {
    CHECK(writer.OnSection(name(creates[i]), stored_object{}, now).empty());
  }
  const auto last = writer.OnSection(name(creates[7]), stored_object{}, now);
  REQUIRE(last.size() == 1);
  CHECK(std::holds_alternative<pause_for>(last[0]));
  const auto again = writer.OnPauseEnded(now);
  REQUIRE(again.size() == 8);
  CHECK(name(again[0]) == name(creates[0]));
}

// Guards against an endless loop without pauses if the platform reports a
// conflict although the head is unchanged.
TEST_CASE("Writer_ConflictsWithUnchangedHead_PausesAndGivesUp") {
  acceptance_writer writer(MakeDocument(1), "a", {}, /*seed=*/1);
  instant now;
  writer.Start(now);
  const auto missing = Fail(error_kind::kNotFound, "");
  const auto conflict = Fail(error_kind::kConflict, "");
  const auto created = writer.OnHead(missing, now);
  writer.OnSection(std::get<create_section>(created.at(0)).object.name,
                   stored_object{}, now);
  writer.OnHeadWritten(conflict, now);
  writer.OnHead(missing, now);
  const auto paused = writer.OnHeadWritten(conflict, now);
  REQUIRE(std::holds_alternative<pause_for>(paused.at(0)));
  now += std::chrono::hours(1);
  const auto end = writer.OnPauseEnded(now);
  const auto& done = std::get<acceptance_done>(end.at(0));
  CHECK(done.outcome.error().kind == error_kind::kPlatformUnavailable);
}

// Guards against a step that runs twice because an answer is delivered twice.
TEST_CASE("Writer_AnswersOfOtherSteps_AreIgnored") {
  acceptance_writer writer(MakeDocument(1), "a", {}, /*seed=*/1);
  const instant now;
  const auto missing = Fail(error_kind::kNotFound, "none");
  writer.Start(now);
  CHECK(writer.OnHeadWritten(missing, now).empty());
  CHECK(writer.OnPauseEnded(now).empty());
  REQUIRE(writer.OnHead(missing, now).size() == 1);
  CHECK(writer.OnHead(missing, now).empty());
  CHECK(writer.OnSection("other", stored_object{}, now).empty());
}

}  // namespace pomelohall
