#ifndef POMELOHALL_MESSAGES_MESSAGE_H_
#define POMELOHALL_MESSAGES_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "membership/member_record.h"
#include "model/image.h"

namespace pomelohall {

/// Version of the peer protocol. Peers with another version are rejected.
inline constexpr std::uint64_t kPeerProtocolVersion = 1;

/// Maximum number of member records in a message: twice the largest number of
/// members of a cluster.
inline constexpr std::size_t kMaxRecordsPerMessage = 11'000;

/// Maximum number of data centres in a message.
inline constexpr std::size_t kMaxDataCentresPerMessage = 64;

/// Maximum length of a name, address or id in a message.
inline constexpr std::size_t kMaxTextBytes = 512;

/// Introduces the sender: the first message on a link, also sent to the seed
/// members by a starting daemon.
struct hello_message {
  std::string cluster;
  std::string member;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  std::uint64_t protocol = kPeerProtocolVersion;

  bool operator==(const hello_message&) const = default;
};

/// Heartbeat.
struct ping_message {
  std::uint64_t seq = 0;

  bool operator==(const ping_message&) const = default;
};

/// Response to a ping. The helper of an indirect probe forwards it with the
/// `seq` of the probe request.
struct ping_ack_message {
  std::uint64_t seq = 0;
  /// Member that was pinged. Differs from the sender for an indirect probe.
  std::string member;

  bool operator==(const ping_ack_message&) const = default;
};

/// Requests an indirect probe: the receiver pings `target` and forwards the
/// response.
struct probe_request_message {
  std::string target;
  std::uint64_t seq = 0;

  bool operator==(const probe_request_message&) const = default;
};

/// Changed member records, relayed through the overlay network.
struct member_event_message {
  std::vector<member_record> records;

  bool operator==(const member_event_message&) const = default;
};

/// Digest of the member table, for anti-entropy between two members.
struct member_digest_message {
  std::string digest;  ///< Opaque bytes, see membership/member_table.h.
  std::uint64_t count = 0;
  bool reply = false;  ///< Response to a digest; not answered with another.

  bool operator==(const member_digest_message&) const = default;
};

/// Member records that resolve a difference between two member tables, or the
/// whole table for a joining member.
struct member_sync_message {
  std::vector<member_record> records;
  bool complete = false;  ///< The sender has all members of the cluster.

  bool operator==(const member_sync_message&) const = default;
};

/// Announces a configuration version that the sender has staged.
struct offer_message {
  config_version version = 0;
  std::string digest;  ///< SHA-256, 64 hexadecimal digits, or empty.
  /// Highest version that the sender knows to be committed in its data centre.
  config_version committed = 0;

  bool operator==(const offer_message&) const = default;
};

/// Requests the sections that changed since version `base`, or all sections if
/// `base` is 0.
struct pull_message {
  config_version base = 0;

  bool operator==(const pull_message&) const = default;
};

/// Response to a pull.
struct delta_message {
  config_delta delta;
};

/// Rejects a pull of all sections; the receiver retries with another member.
struct busy_message {
  bool operator==(const busy_message&) const = default;
};

/// Reports the sender's staged version and its version in force to an
/// aggregator.
struct ack_message {
  config_version version = 0;  ///< Highest staged version.
  std::uint64_t incarnation = 0;
  config_version in_force = 0;  ///< 0: none.

  bool operator==(const ack_message&) const = default;
};

/// Second phase of a commit: asks whether the receiver still has `version`
/// staged.
struct confirm_message {
  config_version version = 0;
  std::uint64_t round = 0;

  bool operator==(const confirm_message&) const = default;
};

/// Response to a confirm.
struct confirmed_message {
  config_version version = 0;
  std::uint64_t round = 0;
  std::uint64_t incarnation = 0;

  bool operator==(const confirmed_message&) const = default;
};

/// Requests a read of the configuration head that a reader starts after this
/// request arrived.
struct fresh_query_message {
  std::uint64_t id = 0;

  bool operator==(const fresh_query_message&) const = default;
};

/// Response to a fresh query.
struct fresh_answer_message {
  std::uint64_t id = 0;
  config_version version = 0;
  bool available = false;  ///< False if the platform did not respond.

  bool operator==(const fresh_answer_message&) const = default;
};

/// Asks a member of the data centre for its staged version.
struct recover_query_message {
  std::uint64_t id = 0;

  bool operator==(const recover_query_message&) const = default;
};

/// Response to a recover query.
struct recover_answer_message {
  std::uint64_t id = 0;
  config_version version = 0;      ///< Highest staged version.
  bool recovered = false;          ///< The sender's own recovery is complete.
  std::uint64_t member_count = 0;  ///< N of the sender's commit quorum.

  bool operator==(const recover_answer_message&) const = default;
};

/// Reports that a request is suspected of crashing backend servers, or no
/// longer is.
struct suspect_event_message {
  std::string service;
  std::uint64_t fingerprint = 0;
  std::uint64_t state = 0;  ///< Value of quarantine's suspect_state.
  std::uint64_t id = 0;     ///< Random; used to relay each event once.

  bool operator==(const suspect_event_message&) const = default;
};

/// SLO statistics per class of one time window, encoded by the slo library.
struct slo_window_message {
  std::string payload;  ///< Opaque bytes.

  bool operator==(const slo_window_message&) const = default;
};

/// Reachability of the other data centres as seen by a reader, relayed through
/// the overlay network.
struct reachability_message {
  std::string reader;
  std::uint64_t incarnation = 0;
  std::uint64_t seq = 0;  ///< Incremented with each message of an incarnation.
  std::vector<std::string> unreachable;  ///< Data centres that did not respond.

  bool operator==(const reachability_message&) const = default;
};

/// The message types between daemons. The index is the kind in the encoding.
using peer_message = std::variant<
    hello_message, ping_message, ping_ack_message, probe_request_message,
    member_event_message, member_digest_message, member_sync_message,
    offer_message, pull_message, delta_message, busy_message, ack_message,
    confirm_message, confirmed_message, fresh_query_message,
    fresh_answer_message, recover_query_message, recover_answer_message,
    suspect_event_message, slo_window_message, reachability_message>;

/// Returns the name of a message type for logs and metrics, such as "offer".
std::string_view MessageName(const peer_message& message);

/// A message with its sender.
struct envelope {
  std::string from;               ///< Name of the sending member.
  std::uint64_t incarnation = 0;  ///< Incarnation of the sending process.
  peer_message body;
};

/// Encodes an envelope as one CBOR frame: `[kind, from, incarnation,
/// field...]`, with the fields by position. Digests are stored as bytes.
std::string EncodeEnvelope(const envelope& message);

/// Decodes a frame. Returns `kProtocolError` if the frame is truncated, has
/// trailing bytes, an unknown kind, a field of the wrong type, or a count or
/// text above its limit. Never throws. Allocates memory in proportion to the
/// size of the frame.
result<envelope> DecodeEnvelope(std::string_view frame);

}  // namespace pomelohall

#endif  // POMELOHALL_MESSAGES_MESSAGE_H_
