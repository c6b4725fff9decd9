#include "websocket/websocket_engine_impl.h"

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

// First frame of the dialling side: this prefix, then its listen address.
constexpr char kGreetingPrefix[] = "pomelohall-peer/1 ";
constexpr std::size_t kGreetingPrefixSize = sizeof(kGreetingPrefix) - 1;

// Links that other daemons open to this one. An aggregator receives
// acknowledgements and windows from all 917 members of its data centre; twice
// that many leave room while dead links of restarted members are replaced. At
// 16 KB each (bench_transport) they take 33 MB.
constexpr std::size_t kMaxAcceptedLinks = 2048;

constexpr std::chrono::milliseconds kTick{50};
constexpr std::chrono::milliseconds kStoppingTick{2};

// A link that lasted less counts as a failed attempt, so that a peer which
// accepts and closes at once is not dialled in a tight loop.
constexpr std::chrono::seconds kProvenLink{5};

// Of two duplicate links the surplus one stays open this long, so that frames
// already sent on it arrive.
constexpr std::chrono::seconds kRetireDelay{1};

// Peers without a link are forgotten after this time; it exceeds the longest
// backoff, which would otherwise be forgotten too.
constexpr std::chrono::seconds kForgetPeer{10};

}  // namespace

websocket_engine_impl::websocket_engine_impl(engine_options options)
    : options_(std::move(options)) {}

websocket_engine_impl::~websocket_engine_impl() { Stop(0); }

std::string websocket_engine_impl::Start(frame_handler on_frame,
                                         fault_handler on_fault) {
  on_frame_ = std::move(on_frame);
  on_fault_ = std::move(on_fault);
  std::string fault = Listen();
  if (!fault.empty()) return fault;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    running_ = true;
  }
  ScheduleTick();
  thread_ = std::thread([this] { Run(); });
  return fault;
}

std::string websocket_engine_impl::Listen() {
  const auto endpoint = ParseEndpoint(options_.listen_address);
  if (!endpoint) {
    return "listen address \"" + options_.listen_address +
           "\" is not of the form ip:port";
  }
  PrepareServer();
  websocketpp::lib::error_code fault;
  server_.listen(*endpoint, fault);
  if (!fault) server_.start_accept(fault);
  if (fault) {
    return "cannot listen on " + options_.listen_address + ": " +
           fault.message();
  }
  boost::system::error_code unbound;
  local_address_ = FormatPeerEndpoint(server_.get_local_endpoint(unbound));
  listens_on_any_ = endpoint->address().is_unspecified();
  return "";
}

void websocket_engine_impl::PrepareServer() {
  client_.init_asio(&io_);
  server_.init_asio(&io_);
  client_.set_user_agent("");
  server_.set_user_agent("");
  server_.set_reuse_addr(true);
  server_.set_max_message_size(options_.max_frame_bytes);
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
    } catch (const std::exception& fault) {
      on_fault_(std::string("unexpected failure in a link: ") + fault.what());
    }
  }
}

void websocket_engine_impl::Send(const std::string& address,
                                 std::string frame) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!running_ || frame.size() > options_.max_frame_bytes ||
        inbox_bytes_ + frame.size() > options_.max_queue_bytes ||
        blocked_.count(address) != 0) {
      ++counters_.frames_dropped;
      return;
    }
    first = inbox_.empty();
    inbox_bytes_ += frame.size();
    inbox_.push_back({address, std::move(frame)});
  }
  if (first) boost::asio::post(io_, [this] { DrainInbox(); });
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

void websocket_engine_impl::DrainInbox() {
  std::vector<outgoing_frame> frames;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    frames.swap(inbox_);
    inbox_bytes_ = 0;
  }
  for (auto& item : frames) Route(item.address, std::move(item.frame));
}

void websocket_engine_impl::Route(const std::string& address,
                                  std::string frame) {
  if (address == local_address_) {
    on_frame_(local_address_, std::move(frame));
    return;
  }
  peer_entry& peer = PeerAt(address);
  if (const auto link = ActiveLink(address, peer)) {
    if (!link->Send(frame, options_.max_queue_bytes)) {
      ++counters_.frames_dropped;
    }
    CountWritten(*link);
    return;
  }
  if (peer.waiting_bytes + frame.size() > options_.max_queue_bytes) {
    ++counters_.frames_dropped;
    return;
  }
  peer.waiting_bytes += frame.size();
  peer.waiting.push_back(std::move(frame));
  if (!peer.dialling && clock::now() >= peer.next_dial) Dial(address, peer);
}

void websocket_engine_impl::FlushWaiting(peer_entry& peer, peer_link& link) {
  for (const auto& frame : peer.waiting) {
    if (!link.Send(frame, options_.max_queue_bytes)) {
      ++counters_.frames_dropped;
    }
  }
  peer.waiting.clear();
  peer.waiting_bytes = 0;
  CountWritten(link);
}

void websocket_engine_impl::DropWaiting(peer_entry& peer) {
  counters_.frames_dropped += peer.waiting.size();
  peer.waiting.clear();
  peer.waiting_bytes = 0;
}

peer_entry& websocket_engine_impl::PeerAt(const std::string& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) return found->second;
  return peers_.emplace(address, peer_entry(random_())).first->second;
}

peer_link_ptr websocket_engine_impl::ActiveLink(const std::string& address,
                                                const peer_entry& peer) const {
  std::string self = local_address_;
  if (listens_on_any_ && !peer.links.empty()) {
    // The peer knows this side by the address that the connection uses.
    const auto port = ParseEndpoint(local_address_)->port();
    self =
        FormatPeerEndpoint(tcp::endpoint(peer.links.front()->LocalIp(), port));
  }
  return peer.Active(self < address);
}

void websocket_engine_impl::Dial(const std::string& address, peer_entry& peer) {
  websocketpp::lib::error_code fault;
  websocket_client::connection_ptr connection;
  if (ParseEndpoint(address)) {
    connection = client_.get_connection("ws://" + address + "/", fault);
  }
  if (!connection || fault) {
    DropWaiting(peer);
    peer.next_dial = clock::now() + peer.backoff.NextPause();
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
  peer.dialling = link;
  client_.connect(connection);
}

void websocket_engine_impl::OnAcceptedSocket(const connection_handle& handle) {
  accepted_.erase(
      std::remove_if(accepted_.begin(), accepted_.end(),
                     [](const auto& known) { return known.expired(); }),
      accepted_.end());
  const auto connection = server_.get_con_from_hdl(handle);
  if (stopping_ || accepted_.size() >= kMaxAcceptedLinks) {
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
    return;
  }
  accepted_.push_back(connection);
}

void websocket_engine_impl::OnAccepted(const connection_handle& handle) {
  const auto link = std::make_shared<peer_link>(
      server_.get_con_from_hdl(handle), false, std::string());
  links_.insert(link);
  OnOpen(link);
}

void websocket_engine_impl::OnOpen(const peer_link_ptr& link) {
  const std::weak_ptr<peer_link> weak = link;
  link->state = peer_link::stage::kOpen;
  link->since = link->last_traffic = clock::now();
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
  PeerAt(link->address).dialling.reset();
  Adopt(link);
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
    Identify(link, frame);
  } else if (IsBlocked(link->address)) {
    ++counters_.frames_dropped;
  } else if (!on_frame_(link->address, std::move(frame))) {
    CloseMalformed(link, "the frame is malformed");
  }
}

void websocket_engine_impl::Identify(const peer_link_ptr& link,
                                     const std::string& greeting) {
  std::optional<tcp::endpoint> stated;
  if (greeting.compare(0, kGreetingPrefixSize, kGreetingPrefix) == 0) {
    stated = ParseEndpoint(greeting.substr(kGreetingPrefixSize));
  }
  if (!stated || stated->port() == 0) {
    CloseMalformed(link, "the first frame does not state a listen address");
    return;
  }
  if (stated->address().is_unspecified()) stated->address(link->RemoteIp());
  link->address = FormatPeerEndpoint(*stated);
  Adopt(link);
}

void websocket_engine_impl::Adopt(const peer_link_ptr& link) {
  peer_entry& peer = PeerAt(link->address);
  const auto known = peer.links;
  for (const auto& other : known) {
    if (other->IsDialled() == link->IsDialled()) {
      CloseLink(other, close_status::going_away, "replaced by a newer link");
    }
  }
  peer.links.push_back(link);
  const auto active = ActiveLink(link->address, peer);
  for (const auto& other : peer.links) {
    // The side that dialled the surplus link closes it.
    if (other != active && other->IsDialled()) {
      other->retire_at = clock::now() + kRetireDelay;
    }
  }
  FlushWaiting(peer, *active);
}

void websocket_engine_impl::OnClosed(const peer_link_ptr& link) {
  CountWritten(*link);
  counters_.frames_dropped += link->QueuedFrames();
  if (link->state == peer_link::stage::kOpen && link->BrokeProtocol()) {
    ReportMalformed(*link, "the frame is too large or no WebSocket frame");
  }
  const bool was_open = link->state != peer_link::stage::kConnecting;
  const bool proven =
      was_open && clock::now() - link->since >= clock::duration(kProvenLink);
  RemoveFromPeer(link);
  links_.erase(link);
  if (link->address.empty()) return;
  peer_entry& peer = PeerAt(link->address);
  if (peer.dialling == link) {
    peer.dialling.reset();
    if (!ActiveLink(link->address, peer)) DropWaiting(peer);
  }
  if (proven) peer.backoff.Reset();
  if (!was_open || !link->ClosedCleanly()) {
    peer.next_dial = clock::now() + peer.backoff.NextPause();
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
  on_fault_("closed the link to " +
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
  const std::size_t answer = link.Connection().get_response().raw().size();
  counters_.bytes_sent += link.IsDialled() ? request : answer;
  counters_.bytes_received += link.IsDialled() ? answer : request;
}

void websocket_engine_impl::CountWritten(peer_link& link) {
  const link_traffic written = link.TakeWritten();
  // Bytes first: whoever sees the frame counted also sees its bytes.
  counters_.bytes_sent += written.bytes;
  counters_.frames_sent += written.frames;
}

void websocket_engine_impl::ScheduleTick() {
  ticker_.expires_after(stopping_ ? kStoppingTick : kTick);
  ticker_.async_wait([this](const boost::system::error_code& fault) {
    if (!fault) Tick();
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
  if (link->state == peer_link::stage::kConnecting) {
    if (now - link->since >= connect_limit) link->Abort();
    return;
  }
  if (link->state != peer_link::stage::kOpen) return;
  if (link->address.empty()) {
    if (now - link->since < connect_limit) return;
    CloseMalformed(link, "the peer did not state its listen address");
  } else if (now - link->last_traffic >= idle_limit) {
    CloseLink(link, close_status::normal, "idle");
  } else if (link->retire_at && now >= *link->retire_at) {
    link->retire_at.reset();
    if (ActiveLink(link->address, PeerAt(link->address)) == link) return;
    CloseLink(link, close_status::normal, "duplicate link");
  }
}

void websocket_engine_impl::CheckPeers(clock::time_point now) {
  for (auto next = peers_.begin(); next != peers_.end();) {
    auto& [address, peer] = *next;
    const bool unlinked = peer.links.empty() && !peer.dialling;
    if (unlinked && !peer.waiting.empty() && now >= peer.next_dial) {
      Dial(address, peer);
    }
    const bool unused = unlinked && !peer.dialling && peer.waiting.empty();
    if (unused && now >= peer.next_dial + kForgetPeer) {
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
               link->state != peer_link::stage::kConnecting;
      });
  const bool none_waiting =
      std::all_of(peers_.begin(), peers_.end(),
                  [](const auto& item) { return item.second.waiting.empty(); });
  return links_flushed && none_waiting;
}

void websocket_engine_impl::CloseAll() {
  closed_all_ = true;
  const std::vector<peer_link_ptr> links(links_.begin(), links_.end());
  for (const auto& link : links) {
    CloseLink(link, close_status::going_away, "stopping");
  }
}

// Runs on the caller of Stop() after the thread has ended. Closing the sockets
// ends their operations, whose handlers hold the connections.
void websocket_engine_impl::ReleaseConnections() {
  const std::vector<peer_link_ptr> links(links_.begin(), links_.end());
  for (const auto& link : links) link->Abort();
  for (const auto& known : accepted_) {
    boost::system::error_code ignored;
    if (const auto open = known.lock()) open->get_raw_socket().close(ignored);
  }
  ticker_.cancel();
  io_.restart();
  io_.poll();
  for (auto& item : peers_) DropWaiting(item.second);
  links_.clear();
  peers_.clear();
}

}  // namespace pomelohall
