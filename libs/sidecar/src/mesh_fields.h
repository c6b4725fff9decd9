#ifndef POMELOHALL_SIDECAR_SRC_MESH_FIELDS_H_
#define POMELOHALL_SIDECAR_SRC_MESH_FIELDS_H_

#include "http1/http_field.h"

namespace pomelohall {

// Removes all fields that are only for daemons, also those that daemons of
// later versions add.
void RemoveMeshFields(http_fields& fields);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MESH_FIELDS_H_
