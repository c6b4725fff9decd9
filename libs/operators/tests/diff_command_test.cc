#include "operators/diff_command.h"

#include <catch2/catch.hpp>

#include "acceptance/config_objects.h"
#include "fake_environment.h"
#include "operators/apply_command.h"
#include "operators/configuration_diff.h"

namespace pomelohall {
namespace {

class diff_fixture {
 protected:
  diff_fixture() { RunApply(env_, {.document = DocumentText(2)}); }

  std::string Diff(const std::string& document) {
    return RunDiff(env_, {.document = document}).text;
  }

  fake_environment env_;
};

}  // namespace

TEST_CASE_METHOD(diff_fixture, "Diff_SameDocument_ShowsNoDifference") {
  CHECK(Diff(DocumentText(2)) == "no difference from version 1\n");
}

TEST_CASE_METHOD(diff_fixture, "Diff_ChangedDocument_ShowsEachItem") {
  auto document = *ParseConfiguration(DocumentText(3));
  document.services.erase(document.services.begin());
  document.classes.erase(document.classes.begin());
  document.routes.erase(document.routes.begin());
  document.classes[0].target.within_ms = 250;
  CHECK(Diff(FormatConfiguration(document)) ==
        "differences from version 1:\n"
        "- service s0: declared\n"
        "+ service s2: declared\n"
        "- class s0-read: service s0, kind lookup, within 100 ms, share 0.99\n"
        "~ class s1-read: service s1, kind lookup, within 100 ms, share 0.99 "
        "-> service s1, kind lookup, within 250 ms, share 0.99\n"
        "+ class s2-read: service s2, kind lookup, within 100 ms, share 0.99\n"
        "- route /s0: class s0-read\n"
        "+ route /s2: class s2-read\n");
}

// Guards against comparing with an incomplete stored configuration.
TEST_CASE_METHOD(diff_fixture, "Diff_StoredSectionMissing_IsAnError") {
  const auto& sections = env_.FakeStore().Table().List(kSectionPlural);
  REQUIRE(env_.FakeStore().Table().Delete(sections.front()));
  const auto output = RunDiff(env_, {.document = DocumentText(2)});
  REQUIRE(output.failure.has_value());
  CHECK(output.failure->kind == error_kind::kProtocolError);
}

}  // namespace pomelohall
