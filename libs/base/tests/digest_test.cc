#include "base/digest.h"

#include <catch2/catch.hpp>

namespace pomelohall {

// Guards against a digest that differs from the published SHA-256 vectors.
TEST_CASE("Sha256Hex_KnownInput_MatchesPublishedVector") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223"
        "b00361a396177a9cb410ff61f20015ad");
}

// Guards against placement that changes between releases or machines.
TEST_CASE("FastHash_KnownInput_MatchesPublishedVector") {
  CHECK(FastHash("") == 0xEF46DB3751D8E999ULL);
  CHECK(FastHash("abc") == 0x44BC2CF5AD770999ULL);
}

}  // namespace pomelohall
