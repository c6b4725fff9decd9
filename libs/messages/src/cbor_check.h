#ifndef POMELOHALL_MESSAGES_CBOR_CHECK_H_
#define POMELOHALL_MESSAGES_CBOR_CHECK_H_

#include <string_view>

namespace pomelohall {

/// Returns whether `frame` is exactly one CBOR item of the subset that the
/// messages use: unsigned integers, byte and text strings, arrays and
/// booleans, with definite lengths and at most four levels of arrays.
///
/// Frames are checked before the JSON library parses them: it parses nested
/// arrays recursively, so a malicious frame could overflow the stack, and it
/// throws on counts above the container's limit even with exceptions disabled.
bool IsAcceptableCbor(std::string_view frame);

}  // namespace pomelohall

#endif  // POMELOHALL_MESSAGES_CBOR_CHECK_H_
