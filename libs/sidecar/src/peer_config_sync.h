#ifndef POMELOHALL_SIDECAR_SRC_PEER_CONFIG_SYNC_H_
#define POMELOHALL_SIDECAR_SRC_PEER_CONFIG_SYNC_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "active_config.h"
#include "backend/connection_pool.h"
#include "base/callback_scope.h"
#include "caller/incoming_request.h"
#include "config_reader.h"
#include "mesh/config_difference.h"
#include "sidecar/header_field_names.h"

namespace pomelohall {

// How recent the active configuration is.
struct config_currency {
  duration age{0};                   // Time since its last confirmation.
  std::uint64_t newest_version = 0;  // Newest version seen at another daemon.
  // Whether there may be a newer version that is not active here: another
  // daemon had one, or the last confirmation is too old.
  bool may_be_outdated = false;
};

// Spreads the version of the active configuration, and its last confirmation,
// by attaching them to requests and answers between daemons. A daemon that sees
// a newer version fetches it.
class config_version_gossip {
 public:
  virtual ~config_version_gossip() = default;
  // Sets the fields of a message to another daemon that say which configuration
  // is active here.
  virtual void AddState(http_fields& fields) const = 0;
  // Address at which other daemons can fetch the active configuration.
  virtual const std::string& LocalAddress() const = 0;
  // Handles these fields of a message from another daemon.
  // @param address Address at which that daemon serves its configuration.
  // @param sent_at When the message was sent, or earlier. Without it the
  //     message confirms nothing: it may have been on its way for seconds,
  //     behind others on a full link or while one of both was cut off or
  //     paused.
  virtual void OnPeerState(const http_fields& fields,
                           const std::string& address,
                           std::optional<instant> sent_at) = 0;
  virtual config_currency Currency() const = 0;
};

struct peer_config_sync_options {
  std::string attempt_id_field;  // Name of the header field that answers echo.
  // Minimum time between the starts of two fetches, so that a burst of versions
  // causes only a few fetches.
  duration min_fetch_interval{0};
  // A fetch is given up, and the store is read instead, if nothing arrives for
  // this time. A long difference takes longer than this on a slow link.
  duration silence_timeout{0};
  // Time within which a version has to be active after its publication.
  duration max_config_delay{0};
  // Rate of the link for answers; 0 if unknown.
  double bytes_per_second = 0;
  // A long difference is refused if the link is occupied by others for longer
  // than this; the other daemon then reads the store.
  duration max_link_wait{0};
};

// Synchronizes the configuration between daemons. Only the routes that differ
// are transferred, whereas the store sends the whole object to each reader: a
// configuration with a thousand routes takes a quarter of a second on a slow
// link, and a burst of versions would saturate the link for its whole duration.
class peer_config_sync final : public config_version_gossip {
 public:
  // References must outlive this object.
  peer_config_sync(boost::asio::io_context& io, connection_pool& peers,
                   active_config& config, config_reader& reader,
                   peer_config_sync_options options);

  void SetAddress(std::string address) { address_ = std::move(address); }

  // config_version_gossip
  void AddState(http_fields& fields) const override;
  const std::string& LocalAddress() const override { return address_; }
  void OnPeerState(const http_fields& fields, const std::string& address,
                   std::optional<instant> sent_at) override;
  config_currency Currency() const override;

  // Asks another daemon for its configuration and confirmation.
  void Ask(const std::string& address);
  // Returns whether another daemon is sending its configuration, or is expected
  // to have a newer one. A mere question may get no answer.
  bool IsFetching() const { return fetch_ != nullptr && !IsAsking(); }

  void Stop();

  // Answers a fetch of another daemon.
  void Serve(const std::shared_ptr<incoming_request>& request);

 private:
  bool IsAsking() const {
    return !responding_ && expected_version_ <= config_.Version();
  }
  void OnNewerVersion(std::uint64_t version, const std::string& address);
  // @param version Version expected there.
  void Fetch(const std::string& address, std::uint64_t version);
  // Starts the silence timeout again.
  void StartTimer();
  void OnResponse(result<incoming_response> answer, instant sent_at);
  void OnDifference(const std::string& text,
                    const std::optional<config_confirmation>& confirmation);
  void EndFetch();
  void Answer(incoming_request& request,
              const std::optional<config_digest>& digest);
  // Reserves the link for a difference. Returns false if the link is occupied
  // for too long.
  bool ReserveLink(std::size_t routes);
  // Ends the fetch. Reads the store instead if a newer version was expected.
  void OnFailure(const std::string& reason);

  connection_pool& peers_;
  active_config& config_;
  config_reader& reader_;
  const peer_config_sync_options options_;
  std::string address_;
  std::shared_ptr<exchange> fetch_;
  std::uint64_t expected_version_ = 0;
  bool responding_ = false;  // The fetch has got the head of its answer.
  std::uint64_t newest_version_ = 0;  // Newest one seen at another daemon.
  instant link_free_at_;  // When the long differences accepted so far are sent.
  std::uint64_t fetches_ = 0;
  instant next_fetch_;
  boost::asio::steady_timer timer_;
  callback_scope timeouts_;  // Those of an earlier timer are ignored.
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_PEER_CONFIG_SYNC_H_
