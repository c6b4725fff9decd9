#include "model/configuration.h"

#include <catch2/catch.hpp>
#include <string>

namespace pomelohall {
namespace {

constexpr const char* kValid = R"({
  "services": [{"name": "orders"}],
  "classes": [{"name": "release", "service": "orders", "kind": "transaction",
               "target": {"within_ms": 400, "share": 0.99}}],
  "routes": [{"path_prefix": "/orders", "method": "POST", "class": "release"}]
})";

std::string ReplaceText(std::string text, const std::string& from,
                        const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string ParseErrorMessage(const std::string& text) {
  const auto parsed = ParseConfiguration(text);
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().kind == error_kind::kInvalidConfiguration);
  return parsed.error().message;
}

}  // namespace

// Guards against fields lost when a document is parsed and formatted.
TEST_CASE("Configuration_RoundTrip_KeepsEveryField") {
  const auto parsed = ParseConfiguration(kValid);
  REQUIRE(parsed.has_value());
  CHECK(ParseConfiguration(FormatConfiguration(*parsed)) == parsed);
  CHECK(parsed->classes[0].kind == class_kind::kTransaction);
}

// Guards against a route to an undeclared class: every route must lead to
// something that exists (see the guarantee no_dangling in tests/matrix).
TEST_CASE("Configuration_RouteToUnknownClass_IsRefusedWithPath") {
  const auto text =
      ReplaceText(kValid, R"("class": "release")", R"("class": "relase")");
  CHECK(ParseErrorMessage(text).find("/routes/0/class") == 0);
}

TEST_CASE("Configuration_ClassOfUnknownService_IsRefusedWithPath") {
  const auto text =
      ReplaceText(kValid, R"("service": "orders")", R"("service": "order")");
  CHECK(ParseErrorMessage(text).find("/classes/0/service") == 0);
}

// Guards against silently ignoring a misspelt field.
TEST_CASE("Configuration_UnknownField_IsRefusedWithPath") {
  const auto text = ReplaceText(kValid, R"("within_ms": 400)",
                                R"("within_ms": 400, "within": 1)");
  CHECK(ParseErrorMessage(text).find(
            "/classes/0/target/within: unknown field") == 0);
}

TEST_CASE("Configuration_ShareOutOfRange_NamesFoundAndAllowed") {
  const auto message = ParseErrorMessage(ReplaceText(kValid, "0.99", "1.5"));
  CHECK(message.find("found 1.5") != std::string::npos);
  CHECK(message.find("below 1") != std::string::npos);
}

TEST_CASE("Configuration_TruncatedJson_IsRefused") {
  CHECK(ParseErrorMessage(std::string(kValid).substr(0, 40)) ==
        "the document is not valid JSON");
}

}  // namespace pomelohall
