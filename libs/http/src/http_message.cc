#include "http/http_message.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

#include "base/ascii_text.h"
#include "base/json_text.h"

namespace pomelohall {
namespace {

using nlohmann::json;

}  // namespace

std::string_view FindHeader(const http_headers& headers,
                            std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoringCase(key, name)) return value;
  }
  return {};
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  const auto start = target.find('?');
  if (start == std::string_view::npos) return {};
  std::string_view rest = target.substr(start + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string_view item = rest.substr(0, end);
    const auto equals = std::min(item.find('='), item.size());
    if (PercentDecode(item.substr(0, equals)) == name) {
      return equals < item.size() ? PercentDecode(item.substr(equals + 1)) : "";
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16)
                .ptr == text.data() + i + 3) {
      decoded.push_back(static_cast<char>(value));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded.push_back(static_cast<char>(c));
    } else {
      encoded.push_back('%');
      encoded.push_back(kDigits[c >> 4U]);
      encoded.push_back(kDigits[c & 0x0FU]);
    }
  }
  return encoded;
}

http_response JsonResponse(int status, std::string json_text) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(json_text)};
}

http_response ErrorResponse(const error& failure) {
  const auto& answer = GetErrorInfo(failure.kind);
  const json body = {{"error", answer.name},
                     {"message", failure.message},
                     {"ran", RunStateName(failure.ran)}};
  // The message may contain bytes of a request that are not valid UTF-8.
  return JsonResponse(
      answer.http_status,
      body.dump(-1, ' ', false, json::error_handler_t::replace));
}

error ParseErrorResponse(const http_response& response) {
  const json body = ParseJson(response.body);
  if (body.is_object() && body.value("error", json()).is_string()) {
    const auto kind = FindErrorKind(body["error"].get<std::string>());
    const json message = body.value("message", json());
    if (kind && message.is_string()) {
      const json ran = body.value("ran", json());
      const auto state =
          FindRunState(ran.is_string() ? ran.get<std::string>() : "");
      return {*kind, message.get<std::string>(),
              state.value_or(GetErrorInfo(*kind).ran)};
    }
  }
  return {error_kind::kProtocolError, "the response has status " +
                                          std::to_string(response.status) +
                                          " and no JSON error object"};
}

}  // namespace pomelohall
