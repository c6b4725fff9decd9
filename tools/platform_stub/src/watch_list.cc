#include "watch_list.h"

#include <utility>

#include "base/name_table.h"

namespace pomelohall {
namespace {

constexpr name_table<change_type, 3> kChangeNames{{{
    {change_type::kAdded, "ADDED"},
    {change_type::kModified, "MODIFIED"},
    {change_type::kDeleted, "DELETED"},
}}};

}  // namespace

void watch_list::Add(std::string collection, std::string name, duration timeout,
                     const std::vector<object_change>& initial,
                     std::shared_ptr<http_response_stream> stream) {
  auto added = std::make_shared<watch>(
      watch{std::move(collection), std::move(name), std::move(stream),
            std::make_shared<boost::asio::steady_timer>(io_, timeout)});
  watches_.push_back(added);
  for (const auto& change : initial) Send(*added, change);
  const std::weak_ptr<watch_list> weak_list = weak_from_this();
  const std::weak_ptr<watch> weak_watch = added;
  const auto end = [weak_list, weak_watch] {
    const auto self = weak_list.lock();
    const auto ended = weak_watch.lock();
    if (self && ended) self->End(ended);
  };
  added->timer->async_wait([end](const boost::system::error_code& cancelled) {
    if (!cancelled) end();
  });
  added->stream->OnClosed(end);
}

void watch_list::Publish(const object_change& change) {
  for (const auto& each : watches_) Send(*each, change);
}

void watch_list::Send(const watch& to, const object_change& change) const {
  if (change.object.plural != to.collection) return;
  if (!to.name.empty() && change.object.name != to.name) return;
  to.stream->Write("{\"type\":\"" +
                   std::string(kChangeNames.Name(change.type)) +
                   "\",\"object\":" + format_(change.object) + "}\n");
}

void watch_list::End(const std::shared_ptr<watch>& ended) {
  ended->timer->cancel();
  ended->stream->Finish();
  watches_.remove(ended);
}

void watch_list::EndAll() {
  const auto all = watches_;
  for (const auto& each : all) End(each);
}

}  // namespace pomelohall
