#ifndef POMELOHALL_MEMBERSHIP_MEMBERSHIP_ACTION_H_
#define POMELOHALL_MEMBERSHIP_MEMBERSHIP_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "messages/message.h"

namespace pomelohall {

/// Send a message to a member, at the peer address in its record.
struct send_to_member {
  std::string member;
  peer_message body;
};

/// Send a message to a peer by address. Used for a seed whose member name is
/// unknown.
struct send_to_address {
  std::string address;  ///< "ip:port"
  peer_message body;
};

/// Records, roles, unreachable data centres or the quorum size changed. The
/// owner reads them again and passes the view to `distribution`.
struct membership_changed {};

/// An action that the owner of `membership` executes.
using membership_action =
    std::variant<send_to_member, send_to_address, membership_changed>;
using membership_actions = std::vector<membership_action>;

}  // namespace pomelohall

#endif  // POMELOHALL_MEMBERSHIP_MEMBERSHIP_ACTION_H_
