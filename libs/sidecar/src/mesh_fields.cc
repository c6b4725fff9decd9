#include "mesh_fields.h"

#include <string_view>

#include "base/ascii_text.h"
#include "sidecar/header_field_names.h"

namespace pomelohall {

void RemoveMeshFields(http_fields& fields) {
  std::erase_if(fields, [](const http_field& field) {
    const std::string_view name = field.name;
    return EqualsIgnoringCase(name.substr(0, kMeshFieldPrefix.size()),
                              kMeshFieldPrefix);
  });
}

}  // namespace pomelohall
