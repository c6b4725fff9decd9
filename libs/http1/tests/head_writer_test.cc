#include "http1/head_writer.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "http1/request_parser.h"

namespace pomelohall {

// Guards against a part of a head that is cut or refused because of its size:
// the library used before ended the process at 64 KiB.
TEST_CASE("HeadWriter_AnySize_IsWrittenWhole", "[head_writer]") {
  for (const std::size_t size :
       {0UL, 65'533UL, 65'534UL, 70'000UL, 500'000UL}) {
    INFO(size);
    const std::string name = "n" + std::string(size, 'a');
    const std::string target = "/" + std::string(size, 't');
    auto writer = head_writer::Request("M" + std::string(size, 'M'), target);
    writer.Add(name, std::string(size, 'v'));
    const auto head = writer.Finish();
    request_parser parser({.max_head_bytes = head.size()});
    CHECK(parser.ParseHead(head) == head.size());
    REQUIRE(parser.IsDone());
    CHECK(parser.Target() == target);
    CHECK(parser.Fields() == http_fields{{name, std::string(size, 'v')}});
  }
}

// Guards against a value that ends its field and adds another one.
TEST_CASE("HeadWriter_ControlCharacterInValue_IsReplaced", "[head_writer]") {
  auto writer = head_writer::Response(1, 200, "");
  writer.Add("A", "b\r\nC: d");
  CHECK(writer.Finish() == "HTTP/1.1 200 OK\r\nA: b  C: d\r\n\r\n");
}

TEST_CASE("HeadWriter_ChunkSizeLine_IsHexadecimal", "[head_writer]") {
  const auto size_line = [](std::size_t bytes) {
    std::string text;
    CHECK(AppendChunkStart(text, bytes, false) == "\r\n");
    return text;
  };
  CHECK(size_line(1) == "1\r\n");
  CHECK(size_line(65'536) == "10000\r\n");
}

// Guards against an empty chunk within a body, which would end it early, and
// against a body without an end.
TEST_CASE("HeadWriter_EmptyOrLastPart_OnlyTheLastOneEndsTheBody",
          "[head_writer]") {
  std::string text;
  CHECK(AppendChunkStart(text, 0, false).empty());
  CHECK(AppendChunkStart(text, 0, true) == "0\r\n\r\n");
  CHECK(text.empty());
  CHECK(AppendChunkStart(text, 1, true) == "\r\n0\r\n\r\n");
}

}  // namespace pomelohall
