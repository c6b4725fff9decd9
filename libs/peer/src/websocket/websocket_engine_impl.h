#ifndef POMELOHALL_PEER_WEBSOCKET_ENGINE_IMPL_H_
#define POMELOHALL_PEER_WEBSOCKET_ENGINE_IMPL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "websocket/peer_entry.h"
#include "websocket/peer_link.h"
#include "websocket/websocket_config.h"
#include "websocket/websocket_engine.h"

namespace pomelohall {

/// Runs all links on one thread. Members that are not marked as guarded by the
/// mutex are accessed on that thread only.
class websocket_engine_impl : public websocket_engine {
 public:
  explicit websocket_engine_impl(engine_options options);
  ~websocket_engine_impl() override;

  std::string Start(frame_handler on_frame, error_handler on_error) override;
  std::string LocalAddress() const override { return local_address_; }
  void Send(const std::string& address, std::string frame) override;
  void SetBlocked(const std::string& address, bool blocked) override;
  engine_counters Counters() const override;
  void Stop(std::uint32_t grace_ms) override;

 private:
  using clock = peer_link::clock;
  using connection_handle = websocketpp::connection_hdl;
  using message_ptr = websocket_connection::message_ptr;

  struct outgoing_frame {
    std::string address;
    std::string frame;
  };

  struct atomic_counters {
    std::atomic<std::uint64_t> frames_sent{0};
    std::atomic<std::uint64_t> frames_received{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> frames_dropped{0};
    std::atomic<std::uint64_t> frames_malformed{0};
    std::atomic<std::uint64_t> links_opened{0};
  };

  // Set-up.
  std::string Listen();
  void ConfigureEndpoints();
  void Run();

  // Sending.
  void DrainSendQueue();
  void Route(const std::string& address, std::string frame);
  void FlushPending(peer_entry& peer, peer_link& link);
  void DropPending(peer_entry& peer);
  peer_entry& GetOrCreatePeer(const std::string& address);
  peer_link_ptr ActiveLink(const std::string& address,
                           const peer_entry& peer) const;

  // Links.
  void Dial(const std::string& address, peer_entry& peer);
  void OnAcceptedSocket(const connection_handle& handle);
  void OnAccepted(const connection_handle& handle);
  void OnOpen(const peer_link_ptr& link);
  void OnDialled(const peer_link_ptr& link);
  void OnMessage(const peer_link_ptr& link, const message_ptr& message);
  void OnGreeting(const peer_link_ptr& link, const std::string& greeting);
  void RegisterLink(const peer_link_ptr& link);
  void OnClosed(const peer_link_ptr& link);
  void CloseMalformed(const peer_link_ptr& link, const std::string& reason);
  void ReportMalformed(const peer_link& link, const std::string& reason);
  void CloseLink(const peer_link_ptr& link,
                 websocketpp::close::status::value code,
                 const std::string& reason);
  void RemoveFromPeer(const peer_link_ptr& link);
  void CountHandshake(peer_link& link);
  void CountWritten(peer_link& link);
  bool IsBlocked(const std::string& address) const;

  // Periodic work.
  void ScheduleTick();
  void Tick();
  void CheckLink(const peer_link_ptr& link, clock::time_point now);
  void CheckPeers(clock::time_point now);

  // Stopping.
  void BeginStop(clock::time_point deadline);
  void ContinueStop(clock::time_point now);
  bool AllFlushed();
  void CloseAll();
  void ReleaseConnections();

  const engine_options options_;
  std::string local_address_;  // Constant after Start().
  bool listens_on_any_ = false;
  frame_handler on_frame_;
  error_handler on_error_;

  boost::asio::io_context io_{1};
  boost::asio::steady_timer tick_timer_{io_};
  websocket_server server_;
  websocket_client client_;
  std::thread thread_;

  std::minstd_rand random_{std::random_device{}()};
  std::unordered_map<std::string, peer_entry> peers_;
  std::unordered_set<peer_link_ptr> links_;
  /// All accepted connections, including those before the opening handshake.
  std::vector<std::weak_ptr<websocket_connection>> accepted_connections_;
  bool stopping_ = false;
  bool closed_all_ = false;
  clock::time_point stop_deadline_;

  mutable std::mutex mutex_;
  bool running_ = false;                    // Guarded by mutex_.
  std::vector<outgoing_frame> send_queue_;  // Guarded by mutex_.
  std::size_t send_queue_bytes_ = 0;        // Guarded by mutex_.
  std::set<std::string> blocked_;           // Guarded by mutex_.

  atomic_counters counters_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PEER_WEBSOCKET_ENGINE_IMPL_H_
