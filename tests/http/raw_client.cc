#include "raw_client.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <limits>

#include "backend/tcp_socket.h"

namespace pomelohall {

namespace http = boost::beast::http;
using boost::system::error_code;

std::string raw_response::Field(std::string_view name) const {
  const auto* value = FindField(fields, name);
  return value == nullptr ? std::string() : *value;
}

raw_client::raw_client(const std::string& address) : socket_(io_) {
  socket_.connect(*ParseTcpEndpoint(address));
}

raw_client::raw_client(const std::string& address, int receive_buffer_bytes)
    : socket_(io_) {
  const auto server = *ParseTcpEndpoint(address);
  socket_.open(server.protocol());
  SetReceiveBuffer(receive_buffer_bytes);
  socket_.connect(server);
}

void raw_client::Send(std::string_view bytes) {
  // A server may reject the request early and close.
  boost::asio::write(socket_, boost::asio::buffer(bytes), send_failure_);
}

void raw_client::SendRequest(std::string_view method, std::string_view target,
                             std::string_view fields, std::string_view body) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  text.append("Host: test\r\n").append(fields);
  if (!body.empty()) {
    text.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  }
  text.append("\r\n").append(body);
  Send(text);
}

raw_response raw_client::Read(bool to_head) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  parser.skip(to_head);
  error_code failure;
  http::read(socket_, buffer_, parser, failure);
  raw_response response;
  if (!parser.is_header_done()) return response;
  response.status = static_cast<int>(parser.get().result_int());
  for (const auto& field : parser.get()) {
    response.fields.push_back(
        {field.name_string().to_string(), field.value().to_string()});
  }
  response.body = parser.get().body();
  const bool ends_with_connection =
      !parser.get().has_content_length() && !parser.get().chunked();
  const bool was_reset = send_failure_ == boost::asio::error::connection_reset;
  response.complete = !failure && !(ends_with_connection && was_reset);
  return response;
}

raw_response raw_client::Call(std::string_view method, std::string_view target,
                              std::string_view fields, std::string_view body) {
  SendRequest(method, target, fields, body);
  return Read(method == "HEAD");
}

std::string raw_client::ReadBytes(std::size_t count) {
  std::string bytes = boost::beast::buffers_to_string(buffer_.data());
  bytes.resize(std::min(bytes.size(), count));
  buffer_.consume(bytes.size());
  std::string rest(count - bytes.size(), '\0');
  error_code ended;
  rest.resize(boost::asio::read(socket_, boost::asio::buffer(rest), ended));
  return bytes + rest;
}

bool raw_client::HasInput() {
  return buffer_.size() > 0 || socket_.available() > 0;
}

bool raw_client::WaitForClose() {
  std::array<char, 4096> bytes{};
  error_code failure;
  while (!failure) socket_.read_some(boost::asio::buffer(bytes), failure);
  return true;
}

void raw_client::Close() {
  error_code ignored;
  socket_.close(ignored);
}

void raw_client::SetReceiveBuffer(int bytes) {
  socket_.set_option(boost::asio::socket_base::receive_buffer_size(bytes));
}

}  // namespace pomelohall
