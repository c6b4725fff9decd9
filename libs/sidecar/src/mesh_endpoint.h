#ifndef POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_
#define POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "answer_sender.h"
#include "caller/call_server.h"
#include "config_exchange.h"
#include "server_gate.h"
#include "sidecar/exchange_fields.h"

namespace pomelohall {

// Takes requests of other daemons for the backend server of this VM.
class mesh_endpoint final : public call_handler {
 public:
  // References must outlive the endpoint.
  mesh_endpoint(server_gate& gate, answer_sender& sender,
                config_exchange& configs, exchange_fields fields);

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  void Forward(const std::shared_ptr<incoming_request>& request,
               outgoing_request outgoing);
  void OnAnswer(const std::shared_ptr<incoming_request>& request,
                instant target_at, result<incoming_response> answer);
  // Reads a large answer into memory, which frees the backend server while the
  // answer waits for the network link.
  void Hold(const std::shared_ptr<incoming_request>& request, instant target_at,
            incoming_response answer);
  void Answer(const std::shared_ptr<incoming_request>& request,
              instant target_at, result<incoming_response> answer);

  server_gate& gate_;
  answer_sender& sender_;
  config_exchange& configs_;
  const exchange_fields fields_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_
