#include "response_table.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace pomelohall {
namespace {

using fault = message_fault;
using namespace std::string_literals;

/// How the end of a body is marked.
struct framing {
  const char* name;
  const char* prefix;  ///< Bytes before the response.
  const char* fields;
  const char* body;
  bool ends_with_connection = false;
};

constexpr framing kFramings[] = {
    {"length", "", "Content-Length: 5\r\n", "hello"},
    {"chunked", "", "Transfer-Encoding: chunked\r\n",
     "5\r\nhello\r\n0\r\n\r\n"},
    {"without length", "", "", "hello", true},
    {"behind 100", "HTTP/1.1 100 Continue\r\n\r\n", "Content-Length: 5\r\n",
     "hello"},
};

class table_builder {
 public:
  /// A status line, without its line ending, and complete field lines. Each
  /// framing gives a row.
  void AddHead(const std::string& name, const std::string& status_line,
               const std::string& fields, std::optional<fault> expected,
               int status = 200, const http_fields& passed_on = {}) {
    for (const auto& framing : kFramings) {
      // HTTP/1.0 has no transfer codings.
      if (status_line.starts_with("HTTP/1.0") &&
          std::string_view(framing.name) == "chunked") {
        continue;
      }
      std::string start = framing.prefix;
      start.append(status_line).append("\r\n");
      start.append(fields).append(framing.fields);
      rows_.push_back({.name = name + ", " + framing.name,
                       .start = start,
                       .rest = "\r\n"s + framing.body,
                       .fault = expected,
                       .status = status,
                       .body = "hello",
                       .fields = passed_on,
                       .ends_with_connection = framing.ends_with_connection});
    }
  }

  /// A response with fields of its own.
  response_row& Add(const std::string& name, const std::string& start,
                    const std::string& body, std::optional<fault> expected,
                    const std::string& passed_on = "hello") {
    rows_.push_back({.name = name,
                     .start = start,
                     .rest = "\r\n" + body,
                     .fault = expected,
                     .body = passed_on});
    return rows_.back();
  }

  /// The start of a response after which nothing follows.
  void AddStart(const std::string& bytes, fault expected) {
    rows_.push_back({.name = "stops after " + bytes,
                     .start = bytes,
                     .rest = "",
                     .stops_after_start = true,
                     .fault = expected});
  }

  std::vector<response_row> Take() { return std::move(rows_); }

 private:
  std::vector<response_row> rows_;
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";

void AddStatusLines(table_builder& table) {
  const auto sound = [&](const std::string& line, int status) {
    table.AddHead("status line " + line, line, "", std::nullopt, status);
  };
  sound("HTTP/1.1 200 OK", 200);
  sound("HTTP/1.1 200 ", 200);
  sound("HTTP/1.1 200 caf\xE9 \t!", 200);
  sound("HTTP/1.0 200 OK", 200);
  sound("HTTP/1.1 201 Created", 201);
  sound("HTTP/1.1 299 X", 299);
  sound("HTTP/1.1 302 Found", 302);
  sound("HTTP/1.1 404 Not Found", 404);
  sound("HTTP/1.1 499 X", 499);
  sound("HTTP/1.1 500 X", 500);
  sound("HTTP/1.1 599 X", 599);

  const auto broken = [&](const std::string& line, fault expected) {
    table.AddHead("status line " + line, line, "", expected);
  };
  for (const char* code : {"000", "001", "099", "600", "700", "999"}) {
    broken("HTTP/1.1 "s + code + " X", fault::kStatusCode);
  }
  broken("HTTP/1.1 101 Switching Protocols", fault::kProtocolSwitch);
  for (const std::string& line : {"HTTP/1.1 20 OK"s,     "HTTP/1.1 2000 OK"s,
                                  "HTTP/1.1 2x0 OK"s,    "HTTP/1.1 -20 OK"s,
                                  "HTTP/1.1  200 OK"s,   "HTTP/1.1\t200 OK"s,
                                  "HTTP/1.1 200"s,       "HTTP/1.1 200\tOK"s,
                                  "HTTP/1.1 OK"s,        "HTTP/1.1"s,
                                  "HTTP/0.9 200 OK"s,    "HTTP/1.2 200 OK"s,
                                  "HTTP/1.10 200 OK"s,   "HTTP/2.0 200 OK"s,
                                  "http/1.1 200 OK"s,    "HTTP 200 OK"s,
                                  "ICY 200 OK"s,         "200 OK"s,
                                  " HTTP/1.1 200 OK"s,   "\r\nHTTP/1.1 200 OK"s,
                                  "HTTP/1.1 200 \0"s,    "HTTP/1.1 200 O\x01K"s,
                                  "HTTP/1.1 200 O\x7FK"s}) {
    broken(line, fault::kStatusLine);
  }
  broken("HTTP/1.1 200 O\rK", fault::kLineEnding);
  broken("HTTP/1.1 200 OK\nX-Own: 1", fault::kLineEnding);
}

void AddFieldLines(table_builder& table) {
  const auto sound = [&](const std::string& fields,
                         const http_fields& passed_on) {
    table.AddHead("fields " + fields, "HTTP/1.1 200 OK", fields, std::nullopt,
                  200, passed_on);
  };
  sound("X-Own:1\r\n", {{"X-Own", "1"}});
  sound("X-Own: \t 1 2\t3 \t\r\n", {{"X-Own", "1 2\t3"}});
  sound("X-Own:\r\n", {{"X-Own", ""}});
  sound("X-Own: caf\xE9\r\n", {{"X-Own", "caf\xE9"}});
  sound("X-Own: a:b\r\n", {{"X-Own", "a:b"}});
  sound("X-Own: 1\r\nX-Own: 2\r\n", {{"X-Own", "1"}, {"X-Own", "2"}});
  sound("!#$%&'*+-.^_`|~1aZ: 1\r\n", {{"!#$%&'*+-.^_`|~1aZ", "1"}});
  sound("Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Own: 1\r\n",
        {{"X-Own", "1"}});
  sound("Connection: ,\r\n", {});
  sound("Connection:\r\n", {});

  const auto broken = [&](const std::string& fields, fault expected) {
    table.AddHead("fields " + fields, "HTTP/1.1 200 OK", fields, expected);
  };
  for (const std::string& fields :
       {"X Own: 1\r\n"s, "X-Own : 1\r\n"s, "X-Own\t: 1\r\n"s, "X\tOwn: 1\r\n"s,
        "X\0Own: 1\r\n"s, "X\x01Own: 1\r\n"s, "X\x1FOwn: 1\r\n"s,
        "X\x7FOwn: 1\r\n"s, "X\xE9: 1\r\n"s, "X(Own): 1\r\n"s, "\"X\": 1\r\n"s,
        "X\rOwn: 1\r\n"s, "X\nOwn: 1\r\n"s, ": 1\r\n"s, "X-Own\r\n"s,
        "X-Own: 1\r\nX Own: 1\r\n"s, "HTTP/1.1 200 OK\r\n"s}) {
    broken(fields, fault::kFieldName);
  }
  for (const std::string& fields :
       {" X-Own: 1\r\n"s, "\tX-Own: 1\r\n"s, "X-Own: 1\r\n 2\r\n"s,
        "X-Own: 1\r\n\t2\r\n"s, "X-Own: 1\r\n \r\n"s, "X-Own:\r\n 1\r\n"s,
        " \r\n"s}) {
    broken(fields, fault::kFoldedLine);
  }
  for (const std::string& fields :
       {"X-Own: \0\r\n"s, "X-Own: a\x01\r\n"s, "X-Own: a\x1F\r\n"s,
        "X-Own: a\x7F\r\n"s, "Connection: a b\r\n"s}) {
    broken(fields, fault::kFieldValue);
  }
  broken("X-Own: 1\rX-Two: 2\r\n", fault::kLineEnding);
  broken("X-Own: 1\nX-Two: 2\r\n", fault::kLineEnding);
  broken("\n", fault::kLineEnding);
}

void AddFramings(table_builder& table) {
  const auto add = [&](const std::string& fields, const std::string& body,
                       std::optional<fault> expected) {
    table.Add("framing " + fields, kOk + fields, body, expected);
  };
  const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
  add("content-LENGTH: 05\r\n", "hello", std::nullopt);
  add("Content-Length: 5, 5\r\n", "hello", std::nullopt);
  add("Content-Length: 5\r\nContent-Length: 5\r\n", "hello", std::nullopt);
  for (const char* value :
       {"", "x", "5x", "-5", "+5", "5 5", "5, 6", "5,", ",5", "0x5", "5;",
        "5.0", "18446744073709551616", "5\r\nContent-Length: 6"}) {
    add("Content-Length: "s + value + "\r\n", "hello", fault::kContentLength);
  }
  add("Transfer-Encoding: Chunked\r\n", chunks, std::nullopt);
  add("Transfer-Encoding: , chunked ,\r\n", chunks, std::nullopt);
  for (const char* value :
       {"", "gzip", "identity", "x", "gzip, chunked", "chunked, gzip",
        "chunked, chunked", "chunked chunked", "chunked;q=1", "\"chunked\"",
        "chun\r\n ked", "chunked\r\nTransfer-Encoding: chunked",
        "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nContent-Length: 5"}) {
    add("Transfer-Encoding: "s + value + "\r\n", chunks,
        fault::kTransferCoding);
  }
  add("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunks,
      fault::kTransferCoding);
  table.Add("chunked in HTTP/1.0",
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", chunks,
            fault::kTransferCoding);
}

void AddWithoutBody(table_builder& table) {
  const auto add = [&](const std::string& start, int status,
                       std::optional<fault> expected) {
    auto& row = table.Add("without body " + start, start, "", expected, "");
    row.status = status;
  };
  const std::string length = "Content-Length: 5\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  add(kOk + "Content-Length: 0\r\n", 200, std::nullopt);
  add("HTTP/1.1 204 No Content\r\n", 204, std::nullopt);
  add("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n", 204, std::nullopt);
  add("HTTP/1.1 204 No Content\r\n" + length, 204, fault::kContentLength);
  add("HTTP/1.1 204 No Content\r\n" + chunked, 204, fault::kTransferCoding);
  add("HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n", 205, std::nullopt);
  add("HTTP/1.1 304 Not Modified\r\n", 304, std::nullopt);
  add("HTTP/1.1 304 Not Modified\r\n" + length, 304, std::nullopt);
  add("HTTP/1.1 304 Not Modified\r\n" + chunked, 304, std::nullopt);
  for (const auto& fields : {length, chunked, ""s}) {
    auto& row =
        table.Add("to HEAD " + fields, kOk + fields, "", std::nullopt, "");
    row.method = "HEAD";
  }
  auto& row = table.Add("to HEAD, status 000",
                        "HTTP/1.1 000 X\r\nContent-Length: 5\r\n", "",
                        fault::kStatusCode);
  row.method = "HEAD";
}

void AddChunks(table_builder& table) {
  const std::string start = kOk + "Transfer-Encoding: chunked\r\n";
  const auto add = [&](const std::string& body, std::optional<fault> expected,
                       const std::string& passed_on = "hello") {
    table.Add("chunks " + body, start, body, expected, passed_on);
  };
  const std::string last = "0\r\n\r\n";
  add(last, std::nullopt, "");
  add("2\r\nhe\r\n3\r\nllo\r\n" + last, std::nullopt);
  add("0005\r\nhello\r\n000\r\n\r\n", std::nullopt);
  add("A\r\n0123456789\r\na\r\n0123456789\r\n" + last, std::nullopt,
      "01234567890123456789");
  for (const char* extension :
       {";a", ";a=b", ";a;b=c", " ; a = b", ";a=\"b c\"", ";a=\"\\\"\xE9\"",
        ";a=\"\"", "\t;a"}) {
    std::string body = "5";
    body.append(extension).append("\r\nhello\r\n0");
    body.append(extension).append("\r\n\r\n");
    add(body, std::nullopt);
  }
  add("5\r\nhello\r\n0\r\nX-End: 1\r\nX-More:\r\n\r\n", std::nullopt);

  for (const std::string& size :
       {""s, "x"s, "-5"s, "+5"s, "0x5"s, " 5"s, "5 "s, "5,"s, "5;"s, "5;="s,
        "5;a="s, "5;a b"s, "5;a=\"b"s, "5;a=\"b\"c"s, "5;a=\"\x01\""s,
        "5;a=\"\0\""s, "5;a\x01"s, "5\x01"s, "10000000000000005"s}) {
    add(std::string(size).append("\r\nhello\r\n").append(last), fault::kChunk);
  }
  add("5\nhello\r\n" + last, fault::kLineEnding);
  add("5;a=\"b\nc\"\r\nhello\r\n" + last, fault::kChunk);
  add("5\r\nhello!\r\n" + last, fault::kChunk);
  add("5\r\nhello" + last, fault::kChunk);
  add("5\r\nhello\n" + last, fault::kChunk);
  add("5\r\nhello\r" + last, fault::kChunk);
  add("6\r\nhello\r\n" + last, fault::kChunk);

  const auto trailer = [&](const std::string& lines, fault expected) {
    add("5\r\nhello\r\n0\r\n" + lines + "\r\n", expected);
  };
  trailer("X End: 1\r\n", fault::kFieldName);
  trailer("X\x01: 1\r\n", fault::kFieldName);
  trailer("X-End\r\n", fault::kFieldName);
  trailer(" X-End: 1\r\n", fault::kFoldedLine);
  trailer("X-End: 1\r\n 2\r\n", fault::kFoldedLine);
  trailer("X-End: \x01\r\n", fault::kFieldValue);
  trailer("X-End: 1\nX-Two: 2\r\n", fault::kLineEnding);
  trailer("Content-Length: 5\r\n", fault::kContentLength);
  trailer("Transfer-Encoding: chunked\r\n", fault::kTransferCoding);
}

void AddInterim(table_builder& table) {
  const auto add = [&](const std::string& interim,
                       std::optional<fault> expected) {
    table.Add("interim " + interim, interim + kOk + "Content-Length: 5\r\n",
              "hello", expected);
  };
  add("HTTP/1.1 100 \r\n\r\n", std::nullopt);
  add("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n",
      std::nullopt);
  add("HTTP/1.1 199 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
      std::nullopt);
  add("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
      fault::kProtocolSwitch);
  add("HTTP/1.1 100 X\r\nContent-Length: 5\r\n\r\nhello",
      fault::kContentLength);
  add("HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      fault::kTransferCoding);
  add("HTTP/1.1 100 X\r\nX Own: 1\r\n\r\n", fault::kFieldName);
  add("HTTP/1.1 100 X\r\n X-Own: 1\r\n\r\n", fault::kFoldedLine);
  add("HTTP/1.1 099 X\r\n\r\n", fault::kStatusCode);
}

void AddLarge(table_builder& table) {
  const std::string large(20'000, 'a');
  table.Add("large field", kOk + "X-Own: " + large + "\r\n", "hello",
            fault::kTooLarge);
  table.Add("large chunk extension", kOk + "Transfer-Encoding: chunked\r\n",
            "5;" + large + "\r\nhello\r\n0\r\n\r\n", fault::kTooLarge);
  table
      .Add("large trailer", kOk + "Transfer-Encoding: chunked\r\n",
           "5\r\nhello\r\n0\r\nX-End: " + large + "\r\n\r\n", fault::kTooLarge)
      .starts_sound = true;
  std::string interim;
  for (int i = 0; i < 4'000; ++i) interim += "HTTP/1.1 100 Continue\r\n\r\n";
  table.Add("many interim responses", interim + kOk + "Content-Length: 5\r\n",
            "hello", fault::kTooLarge);
}

void AddStarts(table_builder& table) {
  table.AddStart("X", fault::kStatusLine);
  table.AddStart("HTTP/1.1 000 ", fault::kStatusCode);
  table.AddStart("HTTP/1.1 200 \x01", fault::kStatusLine);
  table.AddStart(kOk + "X Own", fault::kFieldName);
  table.AddStart(kOk + "X\x01", fault::kFieldName);
  table.AddStart(kOk + " ", fault::kFoldedLine);
  table.AddStart(kOk + "X-Own: \x01", fault::kFieldValue);
  table.AddStart(kOk + "Content-Length: x\r\n", fault::kContentLength);
  table.AddStart(kOk + "Transfer-Encoding: x\r\n", fault::kTransferCoding);
  table.AddStart("HTTP/1.1 101 X\r\n", fault::kProtocolSwitch);
}

}  // namespace

const std::vector<response_row>& ResponseTable() {
  static const std::vector<response_row> rows = [] {
    table_builder table;
    AddStatusLines(table);
    AddFieldLines(table);
    AddFramings(table);
    AddWithoutBody(table);
    AddChunks(table);
    AddInterim(table);
    AddLarge(table);
    AddStarts(table);
    return table.Take();
  }();
  return rows;
}

namespace {

constexpr std::string_view kRowMark = "row-";

}  // namespace

std::string RowPath(std::size_t index) {
  return std::string(kRowMark).append(std::to_string(index));
}

const response_row* RequestedRow(const std::string& header) {
  const auto at = header.find(kRowMark);
  if (at == std::string::npos) return nullptr;
  return &ResponseTable().at(std::stoul(header.substr(at + kRowMark.size())));
}

std::size_t FirstRowWith(message_fault expected) {
  const auto& table = ResponseTable();
  const auto row = std::find_if(table.begin(), table.end(),
                                [expected](const response_row& entry) {
                                  return entry.fault == expected;
                                });
  return static_cast<std::size_t>(row - table.begin());
}

}  // namespace pomelohall
