#ifndef POMELOHALL_MEMBERSHIP_MEMBERSHIP_ACTION_H_
#define POMELOHALL_MEMBERSHIP_MEMBERSHIP_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "messages/message.h"

namespace pomelohall {

/// Send a message to a member; its address is in its record.
struct send_to_member {
  std::string member;
  peer_message body;
};

/// Send a message to a peer address (a seed whose name is not known).
struct send_to_address {
  std::string address;  ///< "ip:port"
  peer_message body;
};

/// Records, roles, unreachable data centres or the quorum changed: read them
/// again and hand the view to `distribution`.
struct membership_changed {};

/// An action that `membership` asks its owner to carry out.
using membership_action =
    std::variant<send_to_member, send_to_address, membership_changed>;
using membership_actions = std::vector<membership_action>;

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBERSHIP_ACTION_H_
