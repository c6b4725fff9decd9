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

/// State of one peer: its links and the frames queued until a link is open.
struct peer_entry {
  explicit peer_entry(std::uint32_t seed) : backoff(seed) {}

  /// Returns the link to send on, or null. If each side dialled a link, both
  /// select the one dialled by the side with the smaller address.
  peer_link_ptr ActiveLink(bool prefer_dialled) const {
    peer_link_ptr selected;
    for (const auto& link : links) {
      if (link->state != peer_link::link_state::kOpen) continue;
      if (!selected || link->IsDialled() == prefer_dialled) selected = link;
    }
    return selected;
  }

  std::vector<peer_link_ptr> links;  ///< Open, oldest first.
  peer_link_ptr dialling_link;
  std::deque<std::string> pending_frames;  ///< Sent once a link is open.
  std::size_t pending_bytes = 0;
  reconnect_backoff backoff;
  peer_link::clock::time_point next_dial_time;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_PEER_ENTRY_H_
