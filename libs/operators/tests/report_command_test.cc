#include "operators/report_command.h"

#include <catch2/catch.hpp>

namespace pomelohall {

// Guards against parsing a window as a different length.
TEST_CASE("ReportWindow_Units_AreMinutesHoursDays") {
  CHECK(ParseReportWindow("30m") == 30);
  CHECK(ParseReportWindow("24h") == 24 * 60);
  CHECK(ParseReportWindow("28d") == 28 * 24 * 60);
}

TEST_CASE("ReportWindow_Malformed_IsRefusedWithWhatIsAllowed") {
  for (const char* text :
       {"", "h", "0h", "-1h", "1w", "1hh", "366d", "99999999999999999999d"}) {
    const auto parsed = ParseReportWindow(text);
    INFO(text);
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().kind == error_kind::kInvalidRequest);
  }
}

}  // namespace pomelohall
