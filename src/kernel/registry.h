/// \file
/// Defines the registry through which services of one process find each other
/// by name.
///
/// The kernel knows no service. An app builds its services, registers each
/// under a name, and a service that needs another one looks it up by that name
/// and type. Replacing a service (a fake in a test, another adapter for the
/// platform) is then a matter of registering a different object.

#ifndef CHERVILMUX_KERNEL_REGISTRY_H_
#define CHERVILMUX_KERNEL_REGISTRY_H_

#include <any>
#include <map>
#include <string>
#include <string_view>

#include "kernel/error.h"

namespace chervilmux::kernel {

/// Maps service names to services. Filled before the tasks start and only read
/// afterwards, so it needs no lock. Does not own the services.
class Registry {
 public:
  /// Registers `service` under `name`; a name may be used once.
  template <typename Service>
  void Add(std::string_view name, Service& service) {
    const bool added =
        this->services.emplace(std::string(name), &service).second;
    if (!added) InternalError("service name registered twice");
  }

  /// The service registered under `name` as a `Service`.
  template <typename Service>
  Service& Find(std::string_view name) const {
    const auto found = this->services.find(name);
    if (found == this->services.end()) InternalError("no service of that name");
    Service* const* service = std::any_cast<Service*>(&found->second);
    if (service == nullptr) InternalError("service has another type");
    return **service;
  }

 private:
  std::map<std::string, std::any, std::less<>> services;
};

}  // namespace chervilmux::kernel

#endif  // CHERVILMUX_KERNEL_REGISTRY_H_
