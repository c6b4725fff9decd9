#include "settings/daemon_settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <cstdint>
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

// The schema's pattern also matches invalid addresses, such as 999.1.1.1.
bool IsValidAddress(const std::string& address) {
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
                  schema_errors& errors) {
  if (address.empty() || IsValidAddress(address)) return;
  errors[path] = "found \"" + address +
                 "\", allowed: an IPv4 or IPv6 address and a port up to 65535";
}

void CheckAddressList(const std::string& path,
                      const std::vector<std::string>& addresses,
                      schema_errors& errors) {
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    CheckAddress(path + "/" + std::to_string(i), addresses[i], errors);
  }
}

// Other daemons connect to the forward and peer listeners, so a wildcard
// address cannot be published for them.
void CheckReachable(const std::string& field, const std::string& listener,
                    const std::string& advertised, schema_errors& errors) {
  if (!IsWildcard(listener) || !advertised.empty()) return;
  errors["/listeners/" + field] =
      "found \"" + listener +
      "\", allowed: an address that other daemons can connect to, or a value "
      "for /advertised/" +
      field;
}

void CheckListeners(const std::string& path,
                    const listener_addresses& addresses,
                    schema_errors& errors) {
  CheckAddress(path + "/caller", addresses.caller, errors);
  CheckAddress(path + "/forward", addresses.forward, errors);
  CheckAddress(path + "/peer", addresses.peer, errors);
  CheckAddress(path + "/local", addresses.local, errors);
}

schema_errors CheckAddresses(const daemon_settings& settings) {
  schema_errors errors;
  const auto& advertised = settings.advertised;
  CheckReachable("forward", settings.listeners.forward, advertised.forward,
                 errors);
  CheckReachable("peer", settings.listeners.peer, advertised.peer, errors);
  CheckListeners("/listeners", settings.listeners, errors);
  CheckListeners("/advertised", advertised, errors);
  CheckAddress("/platform/address", settings.platform_address, errors);
  CheckAddressList("/seeds", settings.seeds, errors);
  CheckAddressList("/test/blocked_peers", settings.test.blocked_peers, errors);
  return errors;
}

listener_addresses ReadListeners(const json& object,
                                 listener_addresses defaults) {
  return {object.value("caller", std::move(defaults.caller)),
          object.value("forward", std::move(defaults.forward)),
          object.value("peer", std::move(defaults.peer)),
          object.value("local", std::move(defaults.local))};
}

// Requires a document that is valid against the schema.
daemon_settings ReadSettings(const json& document) {
  const json empty_object = json::object();
  daemon_settings settings;
  settings.cluster = document.at("cluster");
  settings.name = document.at("name");
  settings.region = document.at("region");
  settings.data_centre = document.at("data_centre");
  settings.listeners = ReadListeners(document.value("listeners", empty_object),
                                     settings.listeners);
  settings.advertised =
      ReadListeners(document.value("advertised", empty_object), {});
  settings.seeds = document.value("seeds", settings.seeds);
  const json& platform = document.at("platform");
  settings.platform_address = platform.at("address");
  settings.platform_namespace =
      platform.value("namespace", settings.platform_namespace);
  settings.log_level = document.value("log_level", settings.log_level);
  if (document.contains("stop_grace_ms")) {
    settings.stop_grace = std::chrono::milliseconds(
        document.at("stop_grace_ms").get<std::int64_t>());
  }
  const json test = document.value("test", empty_object);
  settings.test.blocked_peers =
      test.value("blocked_peers", settings.test.blocked_peers);
  settings.test.tick_ms = test.value("tick_ms", settings.test.tick_ms);
  return settings;
}

tl::unexpected<error> InvalidSettings(const schema_errors& errors) {
  std::string message = "invalid settings";
  for (const auto& [path, error_message] : errors) {
    message += "\n  " + (path.empty() ? "/" : path) + ": " + error_message;
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
  auto errors = ValidateAgainstSchema(schema, document);
  if (!errors.empty()) return InvalidSettings(errors);
  daemon_settings settings = ReadSettings(document);
  errors = CheckAddresses(settings);
  if (!errors.empty()) return InvalidSettings(errors);
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
