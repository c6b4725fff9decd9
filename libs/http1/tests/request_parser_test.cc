#include "http1/request_parser.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohall {
namespace {

/// What a reader got of a request.
struct parse_result {
  std::optional<message_fault> fault;
  bool head_done = false;
  bool done = false;
  std::string method;
  std::string target;
  http_fields fields;
  std::string body;
  std::size_t consumed = 0;
};

parse_result Parse(std::string_view bytes, std::size_t piece_size,
                   const request_parser_options& options = {}) {
  request_parser parser(options);
  parse_result seen;
  while (!bytes.empty() && !parser.Fault() && !parser.IsDone()) {
    auto piece = bytes.substr(0, piece_size);
    bytes.remove_prefix(piece.size());
    if (!parser.IsHeadDone()) {
      const auto consumed = parser.ParseHead(piece);
      seen.consumed += consumed;
      piece.remove_prefix(consumed);
    }
    while (parser.IsHeadDone() && !piece.empty() && !parser.Fault() &&
           !parser.IsDone()) {
      const auto step = parser.ParseBody(piece, piece.size());
      seen.consumed += step.consumed;
      piece.remove_prefix(step.consumed);
      seen.body += step.content;
    }
  }
  seen.fault = parser.Fault();
  seen.head_done = parser.IsHeadDone();
  seen.done = parser.IsDone();
  seen.method = parser.Method();
  seen.target = parser.Target();
  seen.fields = parser.Fields();
  return seen;
}

constexpr std::size_t kPieceSizes[] = {1, 3, 1000, 1'000'000};

}  // namespace

// Guards against parts that are lost at the ends of pieces.
TEST_CASE("RequestParser_SoundRequest_IsParsedInAnyPieces",
          "[request_parser]") {
  const std::string bytes =
      "\r\nPOST /a?b=%20c HTTP/1.1\r\nHost: h\r\nX:  two words \r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "5;ext=\"v\"\r\nhello\r\n1\r\n!\r\n0\r\nTrailer-Field: t\r\n\r\n";
  for (const auto size : kPieceSizes) {
    INFO(size);
    const auto seen = Parse(bytes + "GET /next HTTP/1.1\r\n", size);
    CHECK_FALSE(seen.fault);
    CHECK(seen.done);
    CHECK(seen.consumed == bytes.size());
    CHECK(seen.method == "POST");
    CHECK(seen.target == "/a?b=%20c");
    CHECK(seen.fields == http_fields{{"Host", "h"}, {"X", "two words"}});
    CHECK(seen.body == "hello!");
  }
}

// Guards against a bound below the limit of the head for a target, a name or a
// value: the library used before ended the process at 64 KiB.
TEST_CASE("RequestParser_LongPartWithinLimit_IsParsed", "[request_parser]") {
  const std::string text(66'000, 'a');
  for (const auto& head : {"GET /" + text + " HTTP/1.1\r\nHost: h\r\n\r\n",
                           text + " / HTTP/1.1\r\nHost: h\r\n\r\n",
                           "GET / HTTP/1.1\r\n" + text + ": v\r\n\r\n",
                           "GET / HTTP/1.1\r\nCookie: " + text + "\r\n\r\n"}) {
    for (const auto size : kPieceSizes) {
      const auto seen = Parse(head, size, {.max_head_bytes = head.size()});
      CHECK_FALSE(seen.fault);
      CHECK(seen.done);
      const auto too_large =
          Parse(head, size, {.max_head_bytes = head.size() - 1});
      CHECK(too_large.fault == message_fault::kTooLarge);
    }
  }
}

// Guards against a trailer or an extension that is bounded by the library, or
// by nothing.
TEST_CASE("RequestParser_LongTrailerOrExtension_IsHeldToItsLimit",
          "[request_parser]") {
  const std::string head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string text(70'000, 'a');
  for (const auto& body :
       {"0\r\nT: " + text + "\r\n\r\n", "1;" + text + "=v\r\nx\r\n0\r\n\r\n",
        "0;" + text + "\r\n\r\n"}) {
    for (const auto size : kPieceSizes) {
      CHECK(Parse(head + body, size, {.max_framing_bytes = 71'000}).done);
      CHECK(Parse(head + body, size).fault == message_fault::kTooLarge);
    }
  }
}

// Guards against a request that is cut off by a limit that was lowered while
// its head arrived.
TEST_CASE("RequestParser_LimitChanged_LargestOneApplies", "[request_parser]") {
  request_parser parser({.max_head_bytes = 100});
  const std::string start =
      "GET / HTTP/1.1\r\nX: " + std::string(60, 'x') + "\r\n";
  CHECK(parser.ParseHead(start) == start.size());
  parser.RaiseLimits({.max_head_bytes = 300});
  parser.RaiseLimits({.max_head_bytes = 10});
  CHECK(parser.ParseHead(start.substr(16)) == start.size() - 16);
  CHECK_FALSE(parser.Fault());
  CHECK(parser.ParseHead("\r\n") == 2);
  CHECK(parser.IsDone());
}

// Guards against requests whose end is not certain, which could hide another
// one, and against parts that are changed when they are passed on.
TEST_CASE("RequestParser_MalformedRequest_IsAFault", "[request_parser]") {
  struct row {
    const char* bytes;
    message_fault fault;
  };
  using enum message_fault;
  const row rows[] = {
      {"GARBAGE\r\n", kRequestLine},
      {"GET /\r\n", kRequestLine},
      {"GET  HTTP/1.1\r\n", kRequestLine},
      {"GET / HTTP/2.0\r\n", kRequestLine},
      {"GET /a b HTTP/1.1\r\n", kRequestLine},
      {"GE\tT / HTTP/1.1\r\n", kRequestLine},
      {"GET /\x7F HTTP/1.1\r\n", kRequestLine},
      {"GET / HTTP/1.1 \r\n", kRequestLine},
      {"\r\n\r\nGET / HTTP/1.1\r\n", kRequestLine},
      {"GET / HTTP/1.1\n", kLineEnding},
      {"GET / HTTP/1.1\r\nA: b\n", kLineEnding},
      {"GET / HTTP/1.1\r\nA: b\rc\r\n", kLineEnding},
      {"GET / HTTP/1.1\r\nA : b\r\n", kFieldName},
      {"GET / HTTP/1.1\r\n: b\r\n", kFieldName},
      {"GET / HTTP/1.1\r\nA: b\r\n c\r\n", kFoldedLine},
      {"GET / HTTP/1.1\r\nA: b\x01\r\n", kFieldValue},
      {"GET / HTTP/1.1\r\nContent-Length: -1\r\n", kContentLength},
      {"GET / HTTP/1.1\r\nContent-Length: 18446744073709551616\r\n",
       kContentLength},
      {"GET / HTTP/1.1\r\nContent-Length: 1, 1\r\n", kContentLength},
      {"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n",
       kContentLength},
      {"GET / HTTP/1.1\r\nContent-Length: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       kTransferCoding},
      {"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", kTransferCoding},
      {"GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n",
       kTransferCoding},
      {"GET / HTTP/1.1\r\nTransfer-Encoding:\r\n\r\n", kTransferCoding},
      {"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxy\r\n", kChunk},
      {"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n",
       kChunk},
      {"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA b\r\n",
       kFieldName},
  };
  for (const auto& [bytes, fault] : rows) {
    for (const auto size : kPieceSizes) {
      INFO(bytes << " in pieces of " << size);
      CHECK(Parse(bytes, size).fault == fault);
    }
  }
}

}  // namespace pomelohall
