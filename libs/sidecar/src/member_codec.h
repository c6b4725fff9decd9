#ifndef POMELOHALL_SIDECAR_SRC_MEMBER_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_MEMBER_CODEC_H_

#include <string>

#include "base/error.h"
#include "mesh/mesh_member.h"

namespace pomelohall {

// Returns the record as compact JSON with a fixed order of fields, so that
// equal records have equal texts.
std::string EncodeMember(const mesh_member& member);

// Fails with `kProtocolError` on a malformed record: other programs may write
// to the collection.
result<mesh_member> DecodeMember(const std::string& name,
                                 const std::string& spec);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MEMBER_CODEC_H_
