#include "logging/log_event.h"

#include <catch2/catch.hpp>

namespace pomelohall {

// Guards against log injection: a newline in untrusted input must not start
// another log line.
TEST_CASE("LogValue_WithNewline_StaysOneLine") {
  CHECK(EscapeLogValue("a\nevent=forged") == "\"a\\nevent=forged\"");
  CHECK(EscapeLogValue("\x1b[2J") == "\"?[2J\"");
}

TEST_CASE("LogValue_PlainWord_IsNotQuoted") {
  CHECK(EscapeLogValue("orders-1") == "orders-1");
  CHECK(EscapeLogValue("") == "\"\"");
}

}  // namespace pomelohall
