#include "config/manifest.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>
#include <utility>

#include "config/names.h"

namespace chervilmux::config {
namespace {

using kernel::ErrorKind;

constexpr unsigned kMaxShards = 1U << 20U;
constexpr std::uint64_t kMaxTimeoutMs = 600'000;
constexpr std::uint64_t kMaxBudgetS = 86'400;

/// Walks one manifest document and collects problems.
class Reader {
 public:
  Reader(std::string_view text, std::vector<ManifestProblem>& problems)
      : text(text), problems(problems) {}

  Manifest Read(const Json::Value& root) {
    Manifest manifest;
    manifest.text = std::string(this->text);
    if (!root.isObject()) {
      this->Complain(root, "", "the manifest must be an object");
      return manifest;
    }
    this->RejectUnknown(root, "", {"revision", "services"});
    manifest.revision =
        this->ReadUint(root, "", "revision", 0, 1, UINT64_MAX, true);
    const Json::Value& services = root["services"];
    if (!services.isArray()) {
      this->Complain(root, "services", "must be a list");
      return manifest;
    }
    for (Json::ArrayIndex i = 0; i < services.size(); ++i) {
      const std::string path = "services[" + std::to_string(i) + "]";
      if (!this->IsObject(services[i], path)) continue;
      manifest.services.push_back(this->ReadService(services[i], path));
      this->CheckNames(services[i], path, manifest.services.back());
    }
    return manifest;
  }

 private:
  void Complain(const Json::Value& at, std::string field, std::string what) {
    const auto offset = static_cast<std::size_t>(
        std::max<std::ptrdiff_t>(0, at.getOffsetStart()));
    const auto before =
        this->text.substr(0, std::min(offset, this->text.size()));
    const auto line = std::ranges::count(before, '\n') + 1;
    this->problems.push_back(
        {static_cast<unsigned>(line), std::move(field), std::move(what)});
  }

  bool IsObject(const Json::Value& value, const std::string& path) {
    if (value.isObject()) return true;
    this->Complain(value, path, "must be an object");
    return false;
  }

  void RejectUnknown(const Json::Value& object, const std::string& path,
                     const std::set<std::string>& known) {
    for (const auto& name : object.getMemberNames()) {
      if (known.contains(name)) continue;
      this->Complain(object[name], Join(path, name), "is not a known field");
    }
  }

  static std::string Join(const std::string& path, const std::string& name) {
    return path.empty() ? name : path + "." + name;
  }

  std::uint64_t ReadUint(const Json::Value& object, const std::string& path,
                         const char* name, std::uint64_t fallback,
                         std::uint64_t low, std::uint64_t high,
                         bool required = false) {
    if (!object.isMember(name)) {
      if (required) this->Complain(object, Join(path, name), "is missing");
      return fallback;
    }
    const Json::Value& value = object[name];
    if (value.isUInt64() && value.asUInt64() >= low &&
        value.asUInt64() <= high) {
      return value.asUInt64();
    }
    this->Complain(value, Join(path, name),
                   "must be a whole number from " + std::to_string(low) +
                       " to " + std::to_string(high));
    return fallback;
  }

  double ReadWeight(const Json::Value& object, const std::string& path,
                    const char* name) {
    if (!object.isMember(name)) return 1.0;
    const Json::Value& value = object[name];
    if (value.isNumeric() && std::isfinite(value.asDouble()) &&
        value.asDouble() >= 0 && value.asDouble() <= 1e6) {
      return value.asDouble();
    }
    this->Complain(value, Join(path, name), "must be from 0 to 1000000");
    return 1.0;
  }

  std::string ReadText(const Json::Value& object, const std::string& path,
                       const char* name) {
    const Json::Value& value = object[name];
    if (value.isString() && !value.asString().empty() &&
        value.asString().size() <= kMaxNameBytes) {
      return value.asString();
    }
    this->Complain(object.isMember(name) ? value : object, Join(path, name),
                   "must be a text of 1 to 128 bytes");
    return {};
  }

  std::vector<std::string> ReadTexts(const Json::Value& object,
                                     const std::string& path,
                                     const char* name) {
    std::vector<std::string> texts;
    if (!object.isMember(name)) return texts;
    const Json::Value& list = object[name];
    if (!list.isArray()) {
      this->Complain(list, Join(path, name), "must be a list of texts");
      return texts;
    }
    for (const auto& value : list) {
      if (value.isString() && !value.asString().empty()) {
        texts.push_back(value.asString());
      } else {
        this->Complain(value, Join(path, name), "must hold non-empty texts");
      }
    }
    return texts;
  }

  Service ReadService(const Json::Value& value, const std::string& path) {
    this->RejectUnknown(
        value, path,
        {"name", "aliases", "failure_domains", "shards", "default_timeout_ms",
         "max_timeout_ms", "isolation_budget_s", "idempotent_methods",
         "servers", "pinned_keys", "balance"});
    Service service;
    service.name = this->ReadText(value, path, "name");
    service.aliases = this->ReadTexts(value, path, "aliases");
    service.failure_domains = this->ReadTexts(value, path, "failure_domains");
    if (service.failure_domains.empty()) {
      this->Complain(value, Join(path, "failure_domains"),
                     "must name at least one failure domain");
    }
    service.shards = static_cast<unsigned>(
        this->ReadUint(value, path, "shards", 64, 1, kMaxShards));
    service.default_timeout = kernel::milliseconds(this->ReadUint(
        value, path, "default_timeout_ms", 5000, 1, kMaxTimeoutMs));
    service.max_timeout = kernel::milliseconds(
        this->ReadUint(value, path, "max_timeout_ms", 10000, 1, kMaxTimeoutMs));
    if (service.default_timeout > service.max_timeout) {
      this->Complain(value, Join(path, "default_timeout_ms"),
                     "must not exceed max_timeout_ms");
    }
    service.isolation_budget = kernel::seconds(this->ReadUint(
        value, path, "isolation_budget_s", 7200, 1, kMaxBudgetS));
    service.idempotent_methods =
        this->ReadTexts(value, path, "idempotent_methods");
    this->ReadServers(value, path, service);
    this->ReadPinnedKeys(value, path, service);
    this->ReadBalance(value, path, service);
    return service;
  }

  void ReadServers(const Json::Value& object, const std::string& path,
                   Service& service) {
    const Json::Value& list = object["servers"];
    if (!list.isArray()) {
      this->Complain(object, Join(path, "servers"), "must be a list");
      return;
    }
    std::set<std::string> names;
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
      const std::string at = path + ".servers[" + std::to_string(i) + "]";
      if (!this->IsObject(list[i], at)) continue;
      service.servers.push_back(this->ReadServer(list[i], at, service));
      if (!names.insert(service.servers.back().name).second) {
        this->Complain(list[i], at + ".name", "stands twice in this service");
      }
    }
  }

  BackendServer ReadServer(const Json::Value& value, const std::string& path,
                           const Service& service) {
    this->RejectUnknown(value, path,
                        {"name", "failure_domain", "address", "weight", "slots",
                         "connections"});
    BackendServer server;
    server.name = this->ReadText(value, path, "name");
    server.failure_domain = this->ReadText(value, path, "failure_domain");
    if (std::ranges::find(service.failure_domains, server.failure_domain) ==
        service.failure_domains.end()) {
      this->Complain(value, path + ".failure_domain",
                     "is not one of the service's failure domains");
    }
    auto address = net::ParseAddress(this->ReadText(value, path, "address"));
    if (address) {
      server.address = std::move(address).value();
    } else {
      this->Complain(value, path + ".address", address.error().detail);
    }
    server.weight = this->ReadWeight(value, path, "weight");
    server.slots = static_cast<unsigned>(
        this->ReadUint(value, path, "slots", 1, 1, 100'000));
    server.connections = static_cast<unsigned>(
        this->ReadUint(value, path, "connections", 16, 1, 100'000));
    return server;
  }

  void ReadPinnedKeys(const Json::Value& object, const std::string& path,
                      Service& service) {
    if (!object.isMember("pinned_keys")) return;
    const Json::Value& pins = object["pinned_keys"];
    const std::string at = Join(path, "pinned_keys");
    if (!this->IsObject(pins, at)) return;
    for (const auto& key : pins.getMemberNames()) {
      const std::string server =
          pins[key].isString() ? pins[key].asString() : "";
      const bool known = std::ranges::any_of(
          service.servers,
          [&](const BackendServer& entry) { return entry.name == server; });
      if (!known) {
        std::string field = at;
        field += ".";
        field += key;
        this->Complain(pins[key], std::move(field),
                       "must name a server of this service");
      }
      service.pinned_keys[key] = server;
    }
  }

  void ReadBalance(const Json::Value& object, const std::string& path,
                   Service& service) {
    if (!object.isMember("balance")) return;
    const Json::Value& value = object["balance"];
    const std::string at = Join(path, "balance");
    if (!this->IsObject(value, at)) return;
    this->RejectUnknown(value, at, {"imbalance", "churn", "unavailable"});
    service.balance.imbalance = this->ReadWeight(value, at, "imbalance");
    service.balance.churn = this->ReadWeight(value, at, "churn");
    service.balance.unavailable = this->ReadWeight(value, at, "unavailable");
  }

  void CheckNames(const Json::Value& value, const std::string& path,
                  const Service& service) {
    if (service.name.empty()) return;
    if (!this->service_names.insert(service.name).second) {
      this->Complain(value, path + ".name", "names a service a second time");
    }
    this->AddName(value, path + ".name", service.name, service.name);
    for (const auto& alias : service.aliases) {
      this->AddName(value["aliases"], path + ".aliases", alias, service.name);
    }
  }

  void AddName(const Json::Value& at, const std::string& field,
               const std::string& spelling, const std::string& service) {
    auto added = this->names.Add(spelling, service);
    if (!added) this->Complain(at, field, added.error().detail);
  }

  std::string_view text;
  std::vector<ManifestProblem>& problems;
  NameTable names;
  std::set<std::string> service_names;
};

unsigned LineOfParseError(const std::string& message) {
  const auto at = message.find("Line ");
  if (at == std::string::npos) return 1;
  return static_cast<unsigned>(
      std::strtoul(message.c_str() + at + 5, nullptr, 10));
}

}  // namespace

const Service* Manifest::Find(std::string_view name) const {
  const auto found = std::ranges::find(this->services, name, &Service::name);
  return found == this->services.end() ? nullptr : &*found;
}

std::string ManifestProblem::ToString() const {
  return "line " + std::to_string(this->line) + ": " +
         (this->field.empty() ? "" : this->field + " ") + this->what;
}

kernel::Result<Manifest> ParseManifest(std::string_view text,
                                       std::vector<ManifestProblem>& problems) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["rejectDupKeys"] = true;
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string message;
  bool parsed = false;
  // The reader throws when nesting exceeds the stack limit.
  try {
    parsed =
        reader->parse(text.data(), text.data() + text.size(), &root, &message);
  } catch (const Json::Exception& exception) {
    message = exception.what();
  }
  if (!parsed) {
    std::ranges::replace(message, '\n', ' ');
    problems.push_back(
        {LineOfParseError(message), "", "is not JSON: " + message});
    return kernel::Fail(ErrorKind::kManifestInvalid,
                        problems.front().ToString());
  }
  Manifest manifest = Reader(text, problems).Read(root);
  if (problems.empty()) return manifest;
  return kernel::Fail(ErrorKind::kManifestInvalid, problems.front().ToString());
}

kernel::Result<void> CheckSuccession(const Manifest& current,
                                     const Manifest& next) {
  if (next.revision <= current.revision) {
    return kernel::Fail(
        ErrorKind::kManifestInvalid,
        "revision must exceed " + std::to_string(current.revision));
  }
  for (const auto& service : next.services) {
    const Service* before = current.Find(service.name);
    if (before == nullptr) continue;
    if (before->shards != service.shards ||
        before->failure_domains != service.failure_domains) {
      return kernel::Fail(ErrorKind::kManifestInvalid,
                          "service '" + service.name +
                              "' must keep its shards and failure_domains");
    }
  }
  return kernel::Ok();
}

}  // namespace chervilmux::config
