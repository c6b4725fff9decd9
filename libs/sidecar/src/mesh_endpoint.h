#ifndef POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_
#define POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "answer_sender.h"
#include "caller/body_prefix.h"
#include "caller/call_server.h"
#include "local_dispatcher.h"
#include "mesh/server_directory.h"
#include "peer_config_sync.h"
#include "quarantine/crash_history.h"
#include "sidecar/header_field_names.h"
#include "stop_notices.h"

namespace pomelohall {

class quota_exchange;
class rollout_coordinator;

// Handles requests of other daemons for the backend server of this VM.
class mesh_endpoint final : public call_handler {
 public:
  // All references must outlive the endpoint.
  mesh_endpoint(local_dispatcher& dispatcher, answer_sender& sender,
                peer_config_sync& config_sync, crash_history& crashes,
                header_field_names fields);

  // Sets the directory whose loads are shared, which must outlive the endpoint.
  void SetDirectory(server_directory* directory) { directory_ = directory; }
  // Sets the coordinator of roll-outs, which must outlive the endpoint.
  void SetRollouts(rollout_coordinator* rollouts) { rollouts_ = rollouts; }
  // Sets the exchange of quotas, which must outlive the endpoint.
  void SetQuotas(quota_exchange* quotas) { quotas_ = quotas; }

  void OnRequest(std::shared_ptr<incoming_request> request) override;

 private:
  // Handles the notice of another daemon that it stops.
  void OnPeerStopping(incoming_request& request);
  void Forward(const std::shared_ptr<incoming_request>& request,
               outgoing_request outgoing, const body_prefix& body);
  void Refuse(const std::shared_ptr<incoming_request>& request,
              const answer_times& times, std::uint64_t fingerprint,
              const error& failure);
  void OnResponse(const std::shared_ptr<incoming_request>& request,
                  const answer_times& times, request_kind kind,
                  incoming_response answer);
  // Reads a large answer into memory, which frees its slot on the backend
  // server while the answer waits for the network link.
  void BufferAnswer(const std::shared_ptr<incoming_request>& request,
                    const answer_times& times, incoming_response answer);
  void Answer(const std::shared_ptr<incoming_request>& request,
              const answer_times& times, incoming_response answer);
  // Adds the state of this daemon.
  void Send(const std::shared_ptr<incoming_request>& request,
            const answer_times& times, incoming_response answer);

  local_dispatcher& dispatcher_;
  answer_sender& sender_;
  peer_config_sync& config_sync_;
  crash_history& crashes_;
  const header_field_names fields_;
  stop_notices stop_notices_;
  server_directory* directory_ = nullptr;    // Null if loads are not shared.
  rollout_coordinator* rollouts_ = nullptr;  // Null without roll-outs.
  quota_exchange* quotas_ = nullptr;         // Null without quotas.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MESH_ENDPOINT_H_
