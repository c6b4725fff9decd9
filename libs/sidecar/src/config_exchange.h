#ifndef POMELOHALL_SIDECAR_SRC_CONFIG_EXCHANGE_H_
#define POMELOHALL_SIDECAR_SRC_CONFIG_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "backend/connection_pool.h"
#include "caller/incoming_request.h"
#include "collection_watch.h"
#include "config_holder.h"
#include "mesh/config_difference.h"
#include "sidecar/exchange_fields.h"

namespace pomelohall {

// Tells other daemons the version in force, on requests and answers. A daemon
// that hears of a newer one fetches it.
class version_exchange {
 public:
  virtual ~version_exchange() = default;
  // Version in force; 0 before the first one.
  virtual std::uint64_t OwnVersion() const = 0;
  // Address at which other daemons fetch it.
  virtual const std::string& OwnAddress() const = 0;
  virtual void OnPeerVersion(const std::string& version,
                             const std::string& address) = 0;
};

struct config_exchange_options {
  std::string attempt_id;  // Name of the field that answers repeat.
  // Between the starts of two fetches, so that a run of versions costs a few.
  duration pause{0};
  // A fetch that takes longer is given up, and the store is read instead.
  duration timeout{0};
};

// Hands configurations on between daemons: only the routes that differ travel,
// where the store sends the whole object to each reader. A configuration of a
// thousand routes takes a quarter of a second on a slow link, and a run of
// versions would occupy the link for as long as it lasts.
class config_exchange final : public version_exchange {
 public:
  // References must outlive the exchange.
  config_exchange(boost::asio::io_context& io, connection_pool& peers,
                  config_holder& holder, collection_watch& watch,
                  config_exchange_options options);

  void SetAddress(std::string address) { address_ = std::move(address); }

  // version_exchange
  std::uint64_t OwnVersion() const override { return holder_.Version(); }
  const std::string& OwnAddress() const override { return address_; }
  void OnPeerVersion(const std::string& version,
                     const std::string& address) override;

  void Stop();

  // Answers a fetch of another daemon.
  void Serve(const std::shared_ptr<incoming_request>& request);

 private:
  void Fetch(const std::string& address);
  void OnAnswer(result<incoming_response> answer);
  void OnDifference(const std::string& text);
  void EndFetch();
  void Answer(incoming_request& request,
              const std::optional<config_digest>& digest);
  // The store is read instead.
  void OnFailure(const std::string& reason);

  connection_pool& peers_;
  config_holder& holder_;
  collection_watch& watch_;
  const config_exchange_options options_;
  std::string address_;
  std::shared_ptr<exchange> fetching_;
  std::uint64_t fetches_ = 0;
  instant next_fetch_;
  boost::asio::steady_timer timer_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CONFIG_EXCHANGE_H_
