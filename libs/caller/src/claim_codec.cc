#include "claim_codec.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/name_table.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr name_table<claim_op, 3> kOpNames{{{
    {claim_op::kGrant, "grant"},
    {claim_op::kComplete, "complete"},
    {claim_op::kRelease, "release"},
}}};

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json ResponseToJson(const stored_response& response) {
  const std::vector<std::uint8_t> body(response.body.begin(),
                                       response.body.end());
  return {{"status", response.status},
          {"headers", response.headers},
          {"body", json::binary(body)},
          {"complete", response.complete}};
}

// Throws json::exception if a field is missing or has the wrong type.
stored_response ResponseFromJson(const json& value) {
  stored_response response;
  value.at("status").get_to(response.status);
  value.at("headers").get_to(response.headers);
  value.at("complete").get_to(response.complete);
  const auto& body = value.at("body").get_binary();
  response.body.assign(body.begin(), body.end());
  return response;
}

// Converts a json::exception of `parser` to an error of kind `kind`.
template <typename Value, typename Parser>
result<Value> Parse(std::string_view bytes, error_kind kind, Parser parser) {
  try {
    return parser(json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const json::exception& fault) {
    return Fail(kind, std::string("malformed claim: ") + fault.what());
  }
}

}  // namespace

std::string EncodeClaim(const claim_request& claim) {
  json value{{"op", kOpNames.Name(claim.op)},
             {"key", claim.key},
             {"holder", claim.holder}};
  if (claim.op == claim_op::kComplete) {
    value["answer"] = ResponseToJson(claim.response);
  }
  return ToCbor(value);
}

result<claim_request> DecodeClaim(std::string_view bytes) {
  const auto parse = [](const json& value) -> result<claim_request> {
    claim_request claim;
    const auto op = kOpNames.Find(value.at("op").get<std::string>());
    if (!op)
      return Fail(error_kind::kInvalidRequest, "unknown claim operation");
    claim.op = *op;
    value.at("key").get_to(claim.key);
    value.at("holder").get_to(claim.holder);
    if (claim.op == claim_op::kComplete) {
      claim.response = ResponseFromJson(value.at("answer"));
    }
    return claim;
  };
  return Parse<claim_request>(bytes, error_kind::kInvalidRequest, parse);
}

std::string EncodeGrant(const grant_result& grant) {
  json value{{"verdict", GrantVerdictName(grant.verdict)}};
  if (grant.response) value["answer"] = ResponseToJson(*grant.response);
  return ToCbor(value);
}

result<grant_result> DecodeGrant(std::string_view bytes) {
  const auto parse = [](const json& value) -> result<grant_result> {
    grant_result grant;
    const auto verdict =
        FindGrantVerdict(value.at("verdict").get<std::string>());
    if (!verdict)
      return Fail(error_kind::kProtocolError, "unknown grant verdict");
    grant.verdict = *verdict;
    if (value.contains("answer")) {
      grant.response = ResponseFromJson(value.at("answer"));
    }
    return grant;
  };
  return Parse<grant_result>(bytes, error_kind::kProtocolError, parse);
}

}  // namespace pomelohall
