#include "http1/head_writer.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>
// status.hpp of Beast uses std::ostream without including it.
#include <ostream>
//
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace pomelohall {
namespace {

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7F;
}

std::string_view UsualReason(int status) {
  const auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

}  // namespace

head_writer head_writer::Request(std::string_view method,
                                 std::string_view target) {
  head_writer head;
  head.text_.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  return head;
}

head_writer head_writer::Response(int minor_version, int status,
                                  std::string_view reason) {
  head_writer head;
  head.text_.append(minor_version == 0 ? "HTTP/1.0 " : "HTTP/1.1 ")
      .append(std::to_string(status))
      .append(" ")
      .append(reason.empty() ? UsualReason(status) : reason)
      .append("\r\n");
  return head;
}

void head_writer::Add(std::string_view name, std::string_view value) {
  text_.append(name).append(": ");
  const auto start = text_.size();
  text_.append(value);
  std::replace_if(text_.begin() + static_cast<std::ptrdiff_t>(start),
                  text_.end(), IsControl, ' ');
  text_.append("\r\n");
}

void head_writer::AddLength(std::uint64_t bytes) {
  Add("Content-Length", std::to_string(bytes));
}

void head_writer::AddChunked() { Add("Transfer-Encoding", "chunked"); }

std::string head_writer::Finish() {
  text_.append("\r\n");
  return std::move(text_);
}

std::string_view AppendChunkStart(std::string& text, std::size_t bytes,
                                  bool last) {
  if (bytes == 0) return last ? "0\r\n\r\n" : "";
  std::array<char, 2 * sizeof bytes> digits{};
  const auto written =
      std::to_chars(digits.data(), digits.data() + digits.size(), bytes, 16);
  text.append(digits.data(), written.ptr).append("\r\n");
  return last ? "\r\n0\r\n\r\n" : "\r\n";
}

}  // namespace pomelohall
