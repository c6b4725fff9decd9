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

/// Version of the messages; daemons with another one are refused.
inline constexpr std::uint64_t kPeerProtocol = 1;

/// Most records of one message: twice the largest fleet.
inline constexpr std::size_t kMaxRecordsPerMessage = 11'000;

/// Most data centres that one message names.
inline constexpr std::size_t kMaxDataCentresPerMessage = 64;

/// Longest name, address or id in a message, in bytes.
inline constexpr std::size_t kMaxTextBytes = 512;

/// First message on a link; also sent to the seeds by a starting daemon.
struct hello_message {
  std::string cluster;
  std::string member;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  std::uint64_t protocol = kPeerProtocol;

  bool operator==(const hello_message&) const = default;
};

/// Heartbeat.
struct ping_message {
  std::uint64_t seq = 0;

  bool operator==(const ping_message&) const = default;
};

/// Answer to a ping; an indirect probe forwards it with the requester's `seq`.
struct ping_ack_message {
  std::uint64_t seq = 0;
  /// Member that answered. Differs from the sender for an indirect probe.
  std::string member;

  bool operator==(const ping_ack_message&) const = default;
};

/// Asks the receiver to ping `target` and to forward the answer.
struct probe_request_message {
  std::string target;
  std::uint64_t seq = 0;

  bool operator==(const probe_request_message&) const = default;
};

/// Changed records, relayed over the overlay.
struct member_event_message {
  std::vector<member_record> records;

  bool operator==(const member_event_message&) const = default;
};

/// Digest of the member table, to find differences.
struct member_digest_message {
  std::string digest;  ///< Opaque bytes, see membership/member_table.h.
  std::uint64_t count = 0;
  bool reply = false;  ///< The receiver does not answer with its own digest.

  bool operator==(const member_digest_message&) const = default;
};

/// Records that repair a difference or fill the table of a joiner.
struct member_sync_message {
  std::vector<member_record> records;
  bool complete = false;  ///< The sender knows all members of the cluster.

  bool operator==(const member_sync_message&) const = default;
};

/// Offers a version that the sender holds staged.
struct offer_message {
  config_version version = 0;
  std::string digest;  ///< SHA-256, 64 hexadecimal digits, or empty.
  /// Highest version known as committed in the sender's data centre.
  config_version committed = 0;

  bool operator==(const offer_message&) const = default;
};

/// Asks for the sections that changed since `base`; 0 asks for the full state.
struct pull_message {
  config_version base = 0;

  bool operator==(const pull_message&) const = default;
};

/// Answer to a pull.
struct delta_message {
  config_delta delta;
};

/// Refuses a pull of the full state; the receiver retries elsewhere.
struct busy_message {
  bool operator==(const busy_message&) const = default;
};

/// Tells an aggregator what the sender holds staged and has in force.
struct ack_message {
  config_version version = 0;  ///< Highest version held staged.
  std::uint64_t incarnation = 0;
  config_version in_force = 0;  ///< 0: none.

  bool operator==(const ack_message&) const = default;
};

/// Second phase of a commit: asks whether the receiver still holds `version`.
struct confirm_message {
  config_version version = 0;
  std::uint64_t round = 0;

  bool operator==(const confirm_message&) const = default;
};

/// Answer to a confirm.
struct confirmed_message {
  config_version version = 0;
  std::uint64_t round = 0;
  std::uint64_t incarnation = 0;

  bool operator==(const confirmed_message&) const = default;
};

/// Asks a reader for a head read that starts after this request arrived.
struct fresh_query_message {
  std::uint64_t id = 0;

  bool operator==(const fresh_query_message&) const = default;
};

/// Answer to a fresh query.
struct fresh_answer_message {
  std::uint64_t id = 0;
  config_version version = 0;
  bool available = false;  ///< False: the platform did not answer.

  bool operator==(const fresh_answer_message&) const = default;
};

/// Asks a member of the data centre for the version it holds.
struct recover_query_message {
  std::uint64_t id = 0;

  bool operator==(const recover_query_message&) const = default;
};

/// Answer to a recover query.
struct recover_answer_message {
  std::uint64_t id = 0;
  config_version version = 0;      ///< Highest version held staged.
  bool recovered = false;          ///< The sender is past its own recovery.
  std::uint64_t member_count = 0;  ///< N of the commit quorum at the sender.

  bool operator==(const recover_answer_message&) const = default;
};

/// A request is suspected of crashing backend servers, or is cleared of it.
struct suspect_event_message {
  std::string service;
  std::uint64_t fingerprint = 0;
  std::uint64_t state = 0;  ///< Enumerator of quarantine's suspect_state.
  std::uint64_t id = 0;     ///< Random; each event is relayed once.

  bool operator==(const suspect_event_message&) const = default;
};

/// A window of the figures per class, encoded by the slo library.
struct slo_window_message {
  std::string payload;  ///< Opaque bytes.

  bool operator==(const slo_window_message&) const = default;
};

/// A reader's view of the other data centres, relayed over the overlay.
struct reachability_message {
  std::string reader;
  std::uint64_t incarnation = 0;
  std::uint64_t seq = 0;  ///< Grows with each message of this incarnation.
  std::vector<std::string> unreachable;  ///< Data centres without an answer.

  bool operator==(const reachability_message&) const = default;
};

/// Every message between daemons.
using peer_message = std::variant<
    hello_message, ping_message, ping_ack_message, probe_request_message,
    member_event_message, member_digest_message, member_sync_message,
    offer_message, pull_message, delta_message, busy_message, ack_message,
    confirm_message, confirmed_message, fresh_query_message,
    fresh_answer_message, recover_query_message, recover_answer_message,
    suspect_event_message, slo_window_message, reachability_message>;

/// Returns the name of a message for logs and metrics, for example "offer".
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

/// Decodes a frame. A frame that is cut short, has a field of a wrong type, an
/// unknown message, a count or a text above its limit or bytes left over gives
/// `kProtocolError`. Never throws and allocates in proportion to the frame.
result<envelope> DecodeEnvelope(std::string_view frame);

}  // namespace pomelohall

#endif  // POMELOHALL_MESSAGES_MESSAGE_H_
