#include "websocket/websocket_engine_impl.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include "websocket/endpoint_address.h"

namespace pomelohall {
namespace {

using boost::asio::ip::tcp;
namespace close_status = websocketpp::close::status;

// The dialling side sends a greeting as its first frame: this prefix followed
// by its listen address.
constexpr char kGreetingPrefix[] = "pomelohall-peer/1 ";
constexpr std::size_t kGreetingPrefixSize = sizeof(kGreetingPrefix) - 1;

// Maximum number of links opened by other daemons. An aggregator receives
// acknowledgements and SLO windows from all 917 members of its data centre; the
// limit of about twice that leaves room for dead links of restarted members. At
// 16 KB each, the links take up to 33 MB.
constexpr std::size_t kMaxAcceptedLinks = 2048;

// File descriptors kept free for the other listeners. Without a free one,
// accept() fails and websocketpp retries it in a busy loop.
constexpr rlim_t kReservedDescriptors = 64;

// The kernel assigns the lowest free descriptor, so a high one means that few
// are free.
bool IsNearDescriptorLimit(int descriptor) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return false;
  return static_cast<rlim_t>(descriptor) + kReservedDescriptors >=
         limit.rlim_cur;
}

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kStoppingTickInterval{2};

// Minimum age of a link that resets the backoff when it closes, so that a peer
// that accepts and closes connections immediately is not dialled in a tight
// loop.
constexpr std::chrono::seconds kStableLinkAge{5};

// Delay before a duplicate link is closed, so that frames already sent on it
// arrive.
constexpr std::chrono::seconds kDuplicateCloseDelay{1};

// How long the entry of a peer without a link is kept after its next dial time.
// Exceeds the longest backoff delay, so that the backoff is not lost with it.
constexpr std::chrono::seconds kUnusedPeerTtl{10};

}  // namespace

websocket_engine_impl::websocket_engine_impl(engine_options options)
    : options_(std::move(options)) {}

websocket_engine_impl::~websocket_engine_impl() { Stop(0); }

std::string websocket_engine_impl::Start(frame_handler on_frame,
                                         error_handler on_error) {
  on_frame_ = std::move(on_frame);
  on_error_ = std::move(on_error);
  std::string error = Listen();
  if (!error.empty()) return error;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    running_ = true;
  }
  ScheduleTick();
  thread_ = std::thread([this] { Run(); });
  return error;
}

std::string websocket_engine_impl::Listen() {
  const auto endpoint = ParseEndpoint(options_.listen_address);
  if (!endpoint) {
    return "listen address \"" + options_.listen_address +
           "\" is not of the form ip:port";
  }
  ConfigureEndpoints();
  websocketpp::lib::error_code error;
  server_.listen(*endpoint, error);
  if (!error) server_.start_accept(error);
  if (error) {
    return "cannot listen on " + options_.listen_address + ": " +
           error.message();
  }
  boost::system::error_code ignored;
  local_address_ = FormatPeerEndpoint(server_.get_local_endpoint(ignored));
  listens_on_any_ = endpoint->address().is_unspecified();
  return "";
}

void websocket_engine_impl::ConfigureEndpoints() {
  client_.init_asio(&io_);
  server_.init_asio(&io_);
  client_.set_user_agent("");
  server_.set_user_agent("");
  server_.set_reuse_addr(true);
  server_.set_max_message_size(options_.max_frame_bytes);
  // A handshake has no body.
  server_.set_max_http_body_size(0);
  server_.set_open_handshake_timeout(options_.connect_timeout_ms);
  server_.set_tcp_pre_init_handler(
      [this](const connection_handle& handle) { OnAcceptedSocket(handle); });
  server_.set_open_handler(
      [this](const connection_handle& handle) { OnAccepted(handle); });
}

void websocket_engine_impl::Run() {
  while (true) {
    try {
      io_.run();
      return;
    } catch (const std::exception& error) {
      on_error_(std::string("uncaught exception on the transport's thread: ") +
                error.what());
    }
  }
}

void websocket_engine_impl::Send(const std::string& address,
                                 std::string frame) {
  bool was_empty = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!running_ || frame.size() > options_.max_frame_bytes ||
        send_queue_bytes_ + frame.size() > options_.max_queue_bytes ||
        blocked_.count(address) != 0) {
      ++counters_.frames_dropped;
      return;
    }
    was_empty = send_queue_.empty();
    send_queue_bytes_ += frame.size();
    send_queue_.push_back({address, std::move(frame)});
  }
  if (was_empty) boost::asio::post(io_, [this] { DrainSendQueue(); });
}

void websocket_engine_impl::SetBlocked(const std::string& address,
                                       bool blocked) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (blocked) {
    blocked_.insert(address);
  } else {
    blocked_.erase(address);
  }
}

bool websocket_engine_impl::IsBlocked(const std::string& address) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return blocked_.count(address) != 0;
}

engine_counters websocket_engine_impl::Counters() const {
  engine_counters totals;
  totals.frames_sent = counters_.frames_sent;
  totals.frames_received = counters_.frames_received;
  totals.bytes_sent = counters_.bytes_sent;
  totals.bytes_received = counters_.bytes_received;
  totals.frames_dropped = counters_.frames_dropped;
  totals.frames_malformed = counters_.frames_malformed;
  totals.links_opened = counters_.links_opened;
  return totals;
}

void websocket_engine_impl::DrainSendQueue() {
  std::vector<outgoing_frame> frames;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    frames.swap(send_queue_);
    send_queue_bytes_ = 0;
  }
  for (auto& item : frames) Route(item.address, std::move(item.frame));
}

void websocket_engine_impl::Route(const std::string& address,
                                  std::string frame) {
  if (address == local_address_) {
    on_frame_(local_address_, std::move(frame));
    return;
  }
  peer_entry& peer = GetOrCreatePeer(address);
  if (const auto link = ActiveLink(address, peer)) {
    if (!link->Send(frame, options_.max_queue_bytes)) {
      ++counters_.frames_dropped;
    }
    CountWritten(*link);
    return;
  }
  if (peer.pending_bytes + frame.size() > options_.max_queue_bytes) {
    ++counters_.frames_dropped;
    return;
  }
  peer.pending_bytes += frame.size();
  peer.pending_frames.push_back(std::move(frame));
  if (!peer.dialling_link && clock::now() >= peer.next_dial_time)
    Dial(address, peer);
}

void websocket_engine_impl::FlushPending(peer_entry& peer, peer_link& link) {
  for (const auto& frame : peer.pending_frames) {
    if (!link.Send(frame, options_.max_queue_bytes)) {
      ++counters_.frames_dropped;
    }
  }
  peer.pending_frames.clear();
  peer.pending_bytes = 0;
  CountWritten(link);
}

void websocket_engine_impl::DropPending(peer_entry& peer) {
  counters_.frames_dropped += peer.pending_frames.size();
  peer.pending_frames.clear();
  peer.pending_bytes = 0;
}

peer_entry& websocket_engine_impl::GetOrCreatePeer(const std::string& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) return found->second;
  return peers_.emplace(address, peer_entry(random_())).first->second;
}

peer_link_ptr websocket_engine_impl::ActiveLink(const std::string& address,
                                                const peer_entry& peer) const {
  std::string self = local_address_;
  if (listens_on_any_ && !peer.links.empty()) {
    // The peer identifies this side by the local address of the connection.
    const auto port = ParseEndpoint(local_address_)->port();
    self =
        FormatPeerEndpoint(tcp::endpoint(peer.links.front()->LocalIp(), port));
  }
  return peer.ActiveLink(self < address);
}

void websocket_engine_impl::Dial(const std::string& address, peer_entry& peer) {
  websocketpp::lib::error_code error;
  websocket_client::connection_ptr connection;
  if (ParseEndpoint(address)) {
    connection = client_.get_connection("ws://" + address + "/", error);
  }
  if (!connection || error) {
    DropPending(peer);
    peer.next_dial_time = clock::now() + peer.backoff.NextDelay();
    return;
  }
  const auto link = std::make_shared<peer_link>(connection, true, address);
  const std::weak_ptr<peer_link> weak = link;
  connection->set_max_message_size(options_.max_frame_bytes);
  connection->set_open_handshake_timeout(options_.connect_timeout_ms);
  connection->set_open_handler([this, weak](const connection_handle&) {
    if (const auto opened = weak.lock()) OnDialled(opened);
  });
  connection->set_fail_handler([this, weak](const connection_handle&) {
    if (const auto failed = weak.lock()) OnClosed(failed);
  });
  links_.insert(link);
  peer.dialling_link = link;
  client_.connect(connection);
}

void websocket_engine_impl::OnAcceptedSocket(const connection_handle& handle) {
  accepted_connections_.erase(
      std::remove_if(
          accepted_connections_.begin(), accepted_connections_.end(),
          [](const auto& connection) { return connection.expired(); }),
      accepted_connections_.end());
  const auto connection = server_.get_con_from_hdl(handle);
  auto& socket = connection->get_raw_socket();
  if (stopping_ || accepted_connections_.size() >= kMaxAcceptedLinks ||
      IsNearDescriptorLimit(socket.native_handle())) {
    boost::system::error_code ignored;
    socket.close(ignored);
    return;
  }
  accepted_connections_.push_back(connection);
}

void websocket_engine_impl::OnAccepted(const connection_handle& handle) {
  const auto link = std::make_shared<peer_link>(
      server_.get_con_from_hdl(handle), false, std::string());
  links_.insert(link);
  OnOpen(link);
}

void websocket_engine_impl::OnOpen(const peer_link_ptr& link) {
  const std::weak_ptr<peer_link> weak = link;
  link->state = peer_link::link_state::kOpen;
  link->state_since = link->last_traffic = clock::now();
  link->ConfigureSocket();
  link->Connection().set_message_handler(
      [this, weak](const connection_handle&, const message_ptr& message) {
        if (const auto receiver = weak.lock()) OnMessage(receiver, message);
      });
  link->Connection().set_close_handler([this, weak](const connection_handle&) {
    if (const auto closed = weak.lock()) OnClosed(closed);
  });
  ++counters_.links_opened;
  CountHandshake(*link);
}

void websocket_engine_impl::OnDialled(const peer_link_ptr& link) {
  OnOpen(link);
  link->Send(kGreetingPrefix + local_address_, options_.max_queue_bytes);
  GetOrCreatePeer(link->address).dialling_link.reset();
  RegisterLink(link);
}

void websocket_engine_impl::OnMessage(const peer_link_ptr& link,
                                      const message_ptr& message) {
  std::string& frame = message->get_raw_payload();
  link->last_traffic = clock::now();
  counters_.bytes_received += link->ReceivedSize(frame.size());
  ++counters_.frames_received;
  if (message->get_opcode() != websocketpp::frame::opcode::binary) {
    CloseMalformed(link, "the frame is not binary");
  } else if (link->address.empty()) {
    OnGreeting(link, frame);
  } else if (IsBlocked(link->address)) {
    ++counters_.frames_dropped;
  } else if (!on_frame_(link->address, std::move(frame))) {
    CloseMalformed(link, "the frame is malformed");
  }
}

void websocket_engine_impl::OnGreeting(const peer_link_ptr& link,
                                       const std::string& greeting) {
  std::optional<tcp::endpoint> peer_endpoint;
  if (greeting.compare(0, kGreetingPrefixSize, kGreetingPrefix) == 0) {
    peer_endpoint = ParseEndpoint(greeting.substr(kGreetingPrefixSize));
  }
  if (!peer_endpoint || peer_endpoint->port() == 0) {
    CloseMalformed(link, "the first frame does not state a listen address");
    return;
  }
  if (peer_endpoint->address().is_unspecified())
    peer_endpoint->address(link->RemoteIp());
  link->address = FormatPeerEndpoint(*peer_endpoint);
  RegisterLink(link);
}

void websocket_engine_impl::RegisterLink(const peer_link_ptr& link) {
  peer_entry& peer = GetOrCreatePeer(link->address);
  const auto existing_links = peer.links;
  for (const auto& other : existing_links) {
    if (other->IsDialled() == link->IsDialled()) {
      CloseLink(other, close_status::going_away, "replaced by a newer link");
    }
  }
  peer.links.push_back(link);
  const auto active = ActiveLink(link->address, peer);
  for (const auto& other : peer.links) {
    // The side that dialled the duplicate link closes it.
    if (other != active && other->IsDialled()) {
      other->close_at = clock::now() + kDuplicateCloseDelay;
    }
  }
  FlushPending(peer, *active);
}

void websocket_engine_impl::OnClosed(const peer_link_ptr& link) {
  CountWritten(*link);
  counters_.frames_dropped += link->QueuedFrames();
  if (link->state == peer_link::link_state::kOpen &&
      link->PeerViolatedProtocol()) {
    ReportMalformed(
        *link, "the frame is too large or violates the WebSocket protocol");
  }
  const bool was_open = link->state != peer_link::link_state::kConnecting;
  const bool was_stable = was_open && clock::now() - link->state_since >=
                                          clock::duration(kStableLinkAge);
  RemoveFromPeer(link);
  links_.erase(link);
  if (link->address.empty()) return;
  peer_entry& peer = GetOrCreatePeer(link->address);
  if (peer.dialling_link == link) {
    peer.dialling_link.reset();
    if (!ActiveLink(link->address, peer)) DropPending(peer);
  }
  if (was_stable) peer.backoff.Reset();
  if (!was_open || !link->ClosedCleanly()) {
    peer.next_dial_time = clock::now() + peer.backoff.NextDelay();
  }
}

void websocket_engine_impl::CloseMalformed(const peer_link_ptr& link,
                                           const std::string& reason) {
  ReportMalformed(*link, reason);
  CloseLink(link, close_status::protocol_error, reason);
}

void websocket_engine_impl::ReportMalformed(const peer_link& link,
                                            const std::string& reason) {
  ++counters_.frames_malformed;
  on_error_("closed the link to " +
            (link.address.empty() ? "an unknown peer" : link.address) + ": " +
            reason);
}

void websocket_engine_impl::CloseLink(const peer_link_ptr& link,
                                      close_status::value code,
                                      const std::string& reason) {
  link->Close(code, reason);
  RemoveFromPeer(link);
}

void websocket_engine_impl::RemoveFromPeer(const peer_link_ptr& link) {
  const auto found = peers_.find(link->address);
  if (found == peers_.end()) return;
  auto& links = found->second.links;
  links.erase(std::remove(links.begin(), links.end(), link), links.end());
}

void websocket_engine_impl::CountHandshake(peer_link& link) {
  const std::size_t request = link.Connection().get_request().raw().size();
  const std::size_t response = link.Connection().get_response().raw().size();
  counters_.bytes_sent += link.IsDialled() ? request : response;
  counters_.bytes_received += link.IsDialled() ? response : request;
}

void websocket_engine_impl::CountWritten(peer_link& link) {
  const link_traffic written = link.TakeWritten();
  // Bytes are added first, so that a reader that sees the frame in the counters
  // also sees its bytes.
  counters_.bytes_sent += written.bytes;
  counters_.frames_sent += written.frames;
}

void websocket_engine_impl::ScheduleTick() {
  tick_timer_.expires_after(stopping_ ? kStoppingTickInterval : kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void websocket_engine_impl::Tick() {
  const auto now = clock::now();
  const std::vector<peer_link_ptr> links(links_.begin(), links_.end());
  for (const auto& link : links) CheckLink(link, now);
  CheckPeers(now);
  if (stopping_) ContinueStop(now);
  ScheduleTick();
}

void websocket_engine_impl::CheckLink(const peer_link_ptr& link,
                                      clock::time_point now) {
  const std::chrono::milliseconds connect_limit(options_.connect_timeout_ms);
  const std::chrono::milliseconds idle_limit(options_.idle_close_ms);
  CountWritten(*link);
  if (link->state == peer_link::link_state::kConnecting) {
    if (now - link->state_since >= connect_limit) link->Abort();
    return;
  }
  if (link->state != peer_link::link_state::kOpen) return;
  if (link->address.empty()) {
    if (now - link->state_since < connect_limit) return;
    CloseMalformed(link, "the peer did not state its listen address");
  } else if (now - link->last_traffic >= idle_limit) {
    CloseLink(link, close_status::normal, "idle");
  } else if (link->close_at && now >= *link->close_at) {
    link->close_at.reset();
    if (ActiveLink(link->address, GetOrCreatePeer(link->address)) == link)
      return;
    CloseLink(link, close_status::normal, "duplicate link");
  }
}

void websocket_engine_impl::CheckPeers(clock::time_point now) {
  for (auto next = peers_.begin(); next != peers_.end();) {
    auto& [address, peer] = *next;
    const bool has_no_link = peer.links.empty() && !peer.dialling_link;
    if (has_no_link && !peer.pending_frames.empty() &&
        now >= peer.next_dial_time) {
      Dial(address, peer);
    }
    const bool is_unused =
        has_no_link && !peer.dialling_link && peer.pending_frames.empty();
    if (is_unused && now >= peer.next_dial_time + kUnusedPeerTtl) {
      next = peers_.erase(next);
    } else {
      ++next;
    }
  }
}

void websocket_engine_impl::Stop(std::uint32_t grace_ms) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!running_) return;
    running_ = false;
  }
  const auto deadline = clock::now() + std::chrono::milliseconds(grace_ms);
  boost::asio::post(io_, [this, deadline] { BeginStop(deadline); });
  thread_.join();
  ReleaseConnections();
}

void websocket_engine_impl::BeginStop(clock::time_point deadline) {
  stopping_ = true;
  stop_deadline_ = deadline;
  websocketpp::lib::error_code ignored;
  server_.stop_listening(ignored);
  ScheduleTick();
}

void websocket_engine_impl::ContinueStop(clock::time_point now) {
  if (!closed_all_ && AllFlushed()) CloseAll();
  if (links_.empty() || now >= stop_deadline_) io_.stop();
}

bool websocket_engine_impl::AllFlushed() {
  const bool links_flushed =
      std::all_of(links_.begin(), links_.end(), [](const auto& link) {
        return link->QueuedFrames() == 0 &&
               link->state != peer_link::link_state::kConnecting;
      });
  const bool none_pending = std::all_of(
      peers_.begin(), peers_.end(),
      [](const auto& item) { return item.second.pending_frames.empty(); });
  return links_flushed && none_pending;
}

void websocket_engine_impl::CloseAll() {
  closed_all_ = true;
  const std::vector<peer_link_ptr> links(links_.begin(), links_.end());
  for (const auto& link : links) {
    CloseLink(link, close_status::going_away, "stopping");
  }
}

// Runs on the thread that calls Stop(), after the transport's thread has ended.
// Closing the sockets completes their pending operations, whose handlers keep
// the connections alive.
void websocket_engine_impl::ReleaseConnections() {
  const std::vector<peer_link_ptr> links(links_.begin(), links_.end());
  for (const auto& link : links) link->Abort();
  for (const auto& connection : accepted_connections_) {
    boost::system::error_code ignored;
    if (const auto open = connection.lock())
      open->get_raw_socket().close(ignored);
  }
  tick_timer_.cancel();
  io_.restart();
  io_.poll();
  for (auto& item : peers_) DropPending(item.second);
  links_.clear();
  peers_.clear();
}

}  // namespace pomelohall
