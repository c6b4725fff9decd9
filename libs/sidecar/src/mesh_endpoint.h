#ifndef POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_
#define POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_

#include <memory>

#include "caller/call_server.h"
#include "server_gate.h"
#include "sidecar/exchange_fields.h"

namespace pomelohall {

// Takes requests of other daemons for the backend server of this VM.
class mesh_endpoint final : public call_handler {
 public:
  // `gate` must outlive the endpoint.
  mesh_endpoint(server_gate& gate, exchange_fields fields);

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  void Forward(const std::shared_ptr<incoming_request>& request,
               outgoing_request outgoing);
  void Answer(incoming_request& request, result<incoming_answer> answer) const;

  server_gate& gate_;
  const exchange_fields fields_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_
