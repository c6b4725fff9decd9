#include "http1/response_parser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "response_table.h"

namespace pomelohall {
namespace {

/// What a reader got of a response.
struct parse_result {
  std::optional<message_fault> fault;
  bool complete = false;
  int status = 0;
  std::string body;
  http_fields fields;
};

/// Parses bytes that arrive in pieces of the same size.
parse_result Parse(std::string_view bytes, std::size_t piece_size,
                   const char* method, std::size_t max_content) {
  response_parser parser({.to_head = std::string_view(method) == "HEAD"});
  parse_result seen;
  while (!bytes.empty() && !parser.Fault() && !parser.IsDone()) {
    auto piece = bytes.substr(0, piece_size);
    bytes.remove_prefix(piece.size());
    if (!parser.IsHeadDone()) {
      piece.remove_prefix(parser.ParseHead(piece));
      if (!parser.IsHeadDone()) continue;
    }
    while (!piece.empty() && !parser.Fault() && !parser.IsDone()) {
      const auto step = parser.ParseBody(piece, max_content);
      REQUIRE((step.consumed > 0 || parser.Fault()));
      piece.remove_prefix(step.consumed);
      seen.body += step.content;
    }
  }
  seen.fault = parser.Fault();
  seen.complete = !seen.fault && parser.ParseEnd({});
  seen.status = parser.Status();
  seen.fields = parser.Fields();
  return seen;
}

void CheckRow(const response_row& row, std::size_t piece_size,
              std::size_t max_content) {
  INFO(row.name << ", pieces of " << piece_size << " bytes");
  const auto seen = Parse(row.Bytes(""), piece_size, row.method, max_content);
  CHECK(seen.fault == row.fault);
  if (row.fault) {
    CHECK_FALSE(seen.complete);
    return;
  }
  CHECK(seen.complete);
  CHECK(seen.status == row.status);
  CHECK(seen.body == row.body);
  for (const auto& field : row.fields) {
    CHECK(std::count(seen.fields.begin(), seen.fields.end(), field) == 1);
  }
}

constexpr auto kAll = std::numeric_limits<std::size_t>::max();

}  // namespace

// Guards against bytes that are taken as a response although they are none, and
// against a rare but sound response that is rejected or changed.
TEST_CASE("ResponseParser_EachRowOfTheTable_IsTakenAsListed") {
  for (const auto& row : ResponseTable()) CheckRow(row, kAll, kAll);
}

// Guards against a fault that is missed, or found only at the end of the head,
// when the bytes arrive in pieces.
TEST_CASE("ResponseParser_TableInPieces_IsTakenAsListed") {
  for (const auto& row : ResponseTable()) {
    CheckRow(row, 1, kAll);
    CheckRow(row, 7, 3);
  }
}

// Guards against a truncated response that is taken as complete.
TEST_CASE("ResponseParser_TruncatedResponse_IsNotComplete") {
  for (const auto& row : ResponseTable()) {
    const auto bytes = row.Bytes("");
    const std::string_view whole = bytes;
    if (row.fault || bytes.size() > 1'000) continue;
    // From here on, the end of the connection ends the response.
    const auto end = row.ends_with_connection ? bytes.size() - row.body.size()
                                              : bytes.size();
    for (std::size_t size = 0; size < end; ++size) {
      INFO(row.name << ", cut after " << size << " bytes");
      const auto seen = Parse(whole.substr(0, size), kAll, row.method, kAll);
      CHECK_FALSE(seen.fault);
      CHECK_FALSE(seen.complete);
    }
  }
}

// Guards against a part of a body that is taken as the whole when the
// connection was lost and a write got the error, and against a whole one that
// is not taken.
TEST_CASE("ResponseParser_EndAfterFailedWrite_CountsIfThePeerEndedItsSide") {
  using boost::system::errc::make_error_code;
  namespace errc = boost::system::errc;
  const auto complete = [](const std::string& response,
                           const boost::system::error_code& write_failure) {
    response_parser parser({});
    std::string_view bytes = response;
    bytes.remove_prefix(parser.ParseHead(bytes));
    if (!bytes.empty()) parser.ParseBody(bytes, kAll);
    return parser.ParseEnd(write_failure);
  };
  const std::string without_length = "HTTP/1.1 200 OK\r\n\r\nbody";
  const std::string with_length =
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
  CHECK(complete(without_length, {}));
  CHECK(complete(without_length, make_error_code(errc::broken_pipe)));
  for (const auto code :
       {errc::connection_reset, errc::timed_out, errc::host_unreachable}) {
    INFO(make_error_code(code).message());
    CHECK_FALSE(complete(without_length, make_error_code(code)));
    CHECK(complete(with_length, make_error_code(code)));
  }
}

// Guards against bytes behind a response that are taken as a part of it.
TEST_CASE("ResponseParser_BytesBehindAResponse_AreNotConsumed") {
  const std::string next = "HTTP/1.1 200 OK\r\n\r\n";
  for (const auto& row : ResponseTable()) {
    if (row.fault || row.ends_with_connection) continue;
    INFO(row.name);
    const auto bytes = row.Bytes("") + next;
    std::string_view rest = bytes;
    response_parser parser({.to_head = std::string_view(row.method) == "HEAD"});
    rest.remove_prefix(parser.ParseHead(rest));
    while (!parser.IsDone() && !parser.Fault()) {
      rest.remove_prefix(parser.ParseBody(rest, kAll).consumed);
    }
    CHECK(rest == next);
  }
}

// Guards against a connection that is used again although its server closes it,
// and against one that is closed without need.
TEST_CASE("ResponseParser_ConnectionOptions_DecideOnTheConnection") {
  const auto keeps = [](const std::string& head) {
    response_parser parser({});
    parser.ParseHead(head + "Content-Length: 0\r\n\r\n");
    REQUIRE(parser.IsDone());
    return parser.KeepsConnection();
  };
  CHECK(keeps("HTTP/1.1 200 OK\r\n"));
  CHECK(keeps("HTTP/1.1 200 OK\r\nConnection: closed\r\n"));
  CHECK_FALSE(keeps("HTTP/1.1 200 OK\r\nConnection: a, Close\r\n"));
  CHECK_FALSE(
      keeps("HTTP/1.1 200 OK\r\nConnection: a\r\nconnection: close\r\n"));
  CHECK_FALSE(keeps("HTTP/1.0 200 OK\r\n"));
  CHECK(keeps("HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n"));
  CHECK(
      keeps("HTTP/1.1 100 X\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\n"));
}

}  // namespace pomelohall
