#ifndef POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_
#define POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "answer_sender.h"
#include "caller/call_server.h"
#include "server_gate.h"
#include "sidecar/exchange_fields.h"

namespace pomelohall {

// Exchanges the version in force with other daemons, on requests and answers: a
// daemon whose view of the store is stale learns that a newer one exists.
class version_exchange {
 public:
  virtual ~version_exchange() = default;
  // Version in force; 0 before the first one.
  virtual std::uint64_t OwnVersion() const = 0;
  virtual void OnPeerVersion(const std::string& version) = 0;
};

// Takes requests of other daemons for the backend server of this VM.
class mesh_endpoint final : public call_handler {
 public:
  // References must outlive the endpoint.
  mesh_endpoint(server_gate& gate, answer_sender& sender,
                version_exchange& versions, exchange_fields fields);

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  void Forward(const std::shared_ptr<incoming_request>& request,
               outgoing_request outgoing);
  void OnAnswer(const std::shared_ptr<incoming_request>& request,
                instant target_at, result<incoming_answer> answer);
  // Reads a large answer into memory, which frees the backend server while the
  // answer waits for the network link.
  void Hold(const std::shared_ptr<incoming_request>& request, instant target_at,
            incoming_answer answer);
  void Answer(const std::shared_ptr<incoming_request>& request,
              instant target_at, result<incoming_answer> answer);

  server_gate& gate_;
  answer_sender& sender_;
  version_exchange& versions_;
  const exchange_fields fields_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_
