#include "operators/status_command.h"

#include <ctime>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "acceptance/config_objects.h"
#include "operators/configuration_reader.h"
#include "operators/store_calls.h"
#include "operators/text_table.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr std::int64_t kMillisPerSecond = 1000;

std::string UtcTime(std::int64_t unix_ms) {
  const auto seconds = static_cast<std::time_t>(unix_ms / kMillisPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::string text(sizeof "2000-01-01T00:00:00Z", '\0');
  text.resize(std::strftime(text.data(), text.size(), "%FT%TZ", &utc));
  return text;
}

std::string VersionsInForce(const data_centre_status& status) {
  if (status.lowest == status.highest) return std::to_string(status.highest);
  return std::to_string(status.lowest) + "-" + std::to_string(status.highest);
}

std::uint32_t BackendServers(const data_centre_status& status) {
  std::uint32_t sum = 0;
  for (const auto& [service, count] : status.backend_servers) sum += count;
  return sum;
}

std::string DataCentreTable(const std::vector<data_centre_status>& statuses,
                            config_version version) {
  text_table table({"DATA CENTRE", "DAEMONS", "IN FORCE", "LAGGING",
                    "BACKEND SERVERS", "UPDATED"});
  for (const auto& each : statuses) {
    table.Add(
        {each.data_centre, std::to_string(each.members), VersionsInForce(each),
         std::to_string(LaggingMembers(each, version)),
         std::to_string(BackendServers(each)), UtcTime(each.updated_unix_ms)});
  }
  return table.Format();
}

std::string ServiceTable(const std::vector<data_centre_status>& statuses) {
  std::vector<std::string> header{"SERVICE"};
  std::map<std::string, std::vector<std::string>> rows;
  for (std::size_t i = 0; i < statuses.size(); ++i) {
    header.push_back(statuses[i].data_centre);
    for (const auto& [service, count] : statuses[i].backend_servers) {
      auto& row = rows[service];
      row.resize(statuses.size(), "0");
      row[i] = std::to_string(count);
    }
  }
  text_table table(header);
  for (auto& [service, row] : rows) {
    row.insert(row.begin(), service);
    table.Add(row);
  }
  return table.Format();
}

std::string FormatTable(const config_head& head,
                        const std::vector<data_centre_status>& statuses,
                        const status_options& options) {
  std::string text = head.version == 0
                         ? "no version accepted yet\n"
                         : "accepted version " + std::to_string(head.version) +
                               " (change id " + head.change_id + ")\n";
  if (statuses.empty()) return text + "no data centre has reported\n";
  text += "\n" + DataCentreTable(statuses, head.version);
  if (options.services) text += "\n" + ServiceTable(statuses);
  return text;
}

std::string FormatJson(const config_head& head,
                       const std::vector<data_centre_status>& statuses) {
  json data_centres = json::array();
  for (const auto& each : statuses) {
    json item = json::parse(FormatDataCentreStatus(each));
    item["lagging"] = LaggingMembers(each, head.version);
    data_centres.push_back(std::move(item));
  }
  return json{{"version", head.version},
              {"change_id", head.change_id},
              {"digest", head.digest},
              {"data_centres", std::move(data_centres)}}
             .dump() +
         "\n";
}

}  // namespace

result<std::vector<data_centre_status>> ReadStatuses(environment& env) {
  const auto objects = ListObjects(env, kStatusPlural);
  if (!objects) return tl::unexpected(objects.error());
  std::vector<data_centre_status> statuses;
  for (const auto& object : *objects) {
    auto status = ParseDataCentreStatus(object.spec);
    if (!status) {
      auto failure = status.error();
      failure.message = "object \"" + object.name + "\" of " + kStatusPlural +
                        ": " + failure.message;
      return tl::unexpected(std::move(failure));
    }
    statuses.push_back(std::move(*status));
  }
  return statuses;
}

command_output RunStatus(environment& env, const status_options& options) {
  const auto head = ReadHead(env);
  if (!head) return Failed(head.error());
  const auto statuses = ReadStatuses(env);
  if (!statuses) return Failed(statuses.error());
  return Succeeded(options.format == output_format::kJson
                       ? FormatJson(*head, *statuses)
                       : FormatTable(*head, *statuses, options));
}

}  // namespace pomelohall
