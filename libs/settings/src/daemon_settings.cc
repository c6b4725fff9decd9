#include "settings/daemon_settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "settings/schema_check.h"
#include "settings/settings_file.h"

namespace pomelohall {
namespace {

using nlohmann::json;

std::string HostOf(const std::string& address) {
  std::string host = address.substr(0, address.rfind(':'));
  if (host.empty() || host.front() != '[') return host;
  return host.substr(1, host.size() - 2);
}

// The schema's pattern admits numbers that are no address, such as 999.1.1.1.
bool IsAddress(const std::string& address) {
  std::array<unsigned char, sizeof(in6_addr)> ip{};
  const int family = address.front() == '[' ? AF_INET6 : AF_INET;
  if (inet_pton(family, HostOf(address).c_str(), ip.data()) != 1) return false;
  const std::string port = address.substr(address.rfind(':') + 1);
  std::uint16_t number = 0;
  return std::from_chars(port.data(), port.data() + port.size(), number).ec ==
         std::errc();
}

bool IsWildcard(const std::string& address) {
  const std::string host = HostOf(address);
  return host == "0.0.0.0" || host == "::";
}

void CheckAddress(const std::string& path, const std::string& address,
                  schema_faults& faults) {
  if (address.empty() || IsAddress(address)) return;
  faults[path] = "found \"" + address +
                 "\", allowed: an IPv4 or IPv6 address and a port up to 65535";
}

void CheckList(const std::string& path,
               const std::vector<std::string>& addresses,
               schema_faults& faults) {
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    CheckAddress(path + "/" + std::to_string(i), addresses[i], faults);
  }
}

// Other daemons connect to these two listeners, so they need a real address.
void CheckReachable(const std::string& field, const std::string& listener,
                    const std::string& advertised, schema_faults& faults) {
  if (!IsWildcard(listener) || !advertised.empty()) return;
  faults["/listeners/" + field] =
      "found \"" + listener +
      "\", allowed: an address that other daemons can connect to, or a value "
      "for /advertised/" +
      field;
}

void CheckListeners(const std::string& path, const listener_addresses& group,
                    schema_faults& faults) {
  CheckAddress(path + "/caller", group.caller, faults);
  CheckAddress(path + "/forward", group.forward, faults);
  CheckAddress(path + "/peer", group.peer, faults);
  CheckAddress(path + "/local", group.local, faults);
}

schema_faults CheckAddresses(const daemon_settings& settings) {
  schema_faults faults;
  const auto& advertised = settings.advertised;
  CheckReachable("forward", settings.listeners.forward, advertised.forward,
                 faults);
  CheckReachable("peer", settings.listeners.peer, advertised.peer, faults);
  CheckListeners("/listeners", settings.listeners, faults);
  CheckListeners("/advertised", advertised, faults);
  CheckAddress("/platform/address", settings.platform_address, faults);
  CheckList("/seeds", settings.seeds, faults);
  CheckList("/test/blocked_peers", settings.test.blocked_peers, faults);
  return faults;
}

listener_addresses ReadListeners(const json& group,
                                 listener_addresses defaults) {
  return {group.value("caller", std::move(defaults.caller)),
          group.value("forward", std::move(defaults.forward)),
          group.value("peer", std::move(defaults.peer)),
          group.value("local", std::move(defaults.local))};
}

// Requires a document that the schema admits.
daemon_settings ReadSettings(const json& document) {
  const json none = json::object();
  daemon_settings settings;
  settings.cluster = document.at("cluster");
  settings.name = document.at("name");
  settings.region = document.at("region");
  settings.data_centre = document.at("data_centre");
  settings.listeners =
      ReadListeners(document.value("listeners", none), settings.listeners);
  settings.advertised = ReadListeners(document.value("advertised", none), {});
  settings.seeds = document.value("seeds", settings.seeds);
  const json& platform = document.at("platform");
  settings.platform_address = platform.at("address");
  settings.platform_namespace =
      platform.value("namespace", settings.platform_namespace);
  settings.log_level = document.value("log_level", settings.log_level);
  const json test = document.value("test", none);
  settings.test.blocked_peers =
      test.value("blocked_peers", settings.test.blocked_peers);
  settings.test.tick_ms = test.value("tick_ms", settings.test.tick_ms);
  return settings;
}

tl::unexpected<error> InvalidSettings(const schema_faults& faults) {
  std::string message = "invalid settings";
  for (const auto& [path, fault] : faults) {
    message += "\n  " + (path.empty() ? "/" : path) + ": " + fault;
  }
  return Fail(error_kind::kInvalidSettings, std::move(message));
}

}  // namespace

result<daemon_settings> ParseDaemonSettings(std::string_view json_text) {
  const json document = json::parse(json_text, nullptr, false);
  if (document.is_discarded()) {
    return Fail(error_kind::kInvalidSettings,
                "the settings are not valid JSON");
  }
  const json schema = json::parse(DaemonSettingsSchema());
  auto faults = CheckAgainstSchema(schema, document);
  if (!faults.empty()) return InvalidSettings(faults);
  daemon_settings settings = ReadSettings(document);
  faults = CheckAddresses(settings);
  if (!faults.empty()) return InvalidSettings(faults);
  return settings;
}

result<daemon_settings> LoadDaemonSettings(const std::string& path) {
  const auto text = ReadSettingsFile(path);
  if (!text) return tl::unexpected(text.error());
  return ParseDaemonSettings(*text);
}

std::vector<std::string> DaemonSettingsFields() {
  return SchemaFields(json::parse(DaemonSettingsSchema()));
}

}  // namespace pomelohall
