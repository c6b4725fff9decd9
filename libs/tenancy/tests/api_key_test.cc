#include "tenancy/api_key.h"

#include <catch2/catch.hpp>
#include <string>

namespace pomelohall {
namespace {

// Guards against a digest that differs between daemons: the expected one is
// that of the standard's example.
TEST_CASE("ApiKeyDigest_KnownText_MatchesTheStandard", "[tenancy]") {
  CHECK(EncodeApiKeyDigest(DigestApiKey("abc")) ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a difference between daemons that yields another key.
TEST_CASE("ApiKeyDigest_Text_IsDecodedExactly", "[tenancy]") {
  const auto digest = DigestApiKey("k");
  CHECK(DecodeApiKeyDigest(EncodeApiKeyDigest(digest)) == digest);
  const auto text = EncodeApiKeyDigest(digest);
  CHECK_FALSE(DecodeApiKeyDigest(text.substr(1)));
  CHECK_FALSE(DecodeApiKeyDigest("g" + text.substr(1)));
  CHECK_FALSE(DecodeApiKeyDigest("-1" + text.substr(2)));
  CHECK_FALSE(DecodeApiKeyDigest(""));
}

// Guards against a malformed field that passes as a key, and against a sound
// one that does not.
TEST_CASE("BearerToken_FormsOfTheField_AreTakenAsListed", "[tenancy]") {
  CHECK(ParseBearerToken("Bearer k1") == "k1");
  CHECK(ParseBearerToken("bearer k1") == "k1");
  CHECK(ParseBearerToken("BEARER   k1") == "k1");
  const std::string long_key(16'000, 'k');
  CHECK(ParseBearerToken("Bearer " + long_key) == long_key);
  for (const std::string field :
       {"", "Bearer", "Bearer ", "Bearer    ", "Bearerk1", "Basic k1", "k1",
        "Bearer k1 k2", "Bearer k1 ", "Bearer\tk1", "Bearer k\xc3\xa9",
        " Bearer k1", "Bearer k\x7f"}) {
    INFO(field);
    CHECK_FALSE(ParseBearerToken(field));
  }
}

}  // namespace
}  // namespace pomelohall
