#ifndef POMELOHALL_PEER_PEER_ENTRY_H_
#define POMELOHALL_PEER_PEER_ENTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "websocket/peer_link.h"
#include "websocket/reconnect_backoff.h"

namespace pomelohall {

using peer_link_ptr = std::shared_ptr<peer_link>;

/// What the transport keeps of one peer: its links, and the frames that wait
/// until a link is open.
struct peer_entry {
  explicit peer_entry(std::uint32_t seed) : backoff(seed) {}

  /// Returns the link to send on, or null. Of two links that were dialled from
  /// both sides, both sides select the one that the smaller address dialled.
  peer_link_ptr Active(bool prefer_dialled) const {
    peer_link_ptr selected;
    for (const auto& link : links) {
      if (link->state != peer_link::stage::kOpen) continue;
      if (!selected || link->IsDialled() == prefer_dialled) selected = link;
    }
    return selected;
  }

  std::vector<peer_link_ptr> links;  ///< Open, oldest first.
  peer_link_ptr dialling;
  std::deque<std::string> waiting;
  std::size_t waiting_bytes = 0;
  reconnect_backoff backoff;
  peer_link::clock::time_point next_dial;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_PEER_ENTRY_H_
