#ifndef FLAMINGOGAUGE_LIBS_KERNEL_SERVICE_REGISTRY_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_SERVICE_REGISTRY_H_

#include <map>
#include <string>
#include <string_view>
#include <typeindex>
#include <typeinfo>

#include "libs/kernel/error.h"

namespace flamingogauge {

// Lets plugins find each other's services by name. A service is registered
// under the abstract interface by which it is looked up. Used only while
// plugins are initialised, on one thread. The registry owns nothing; a service
// must outlive all plugins that were initialised after its owner.
class ServiceRegistry {
 public:
  // Registers `service` under `name`; a name can be taken once.
  template <typename Interface>
  Result<void> Register(std::string_view name, Interface* service) {
    return RegisterUntyped(name, typeid(Interface), service);
  }

  // Returns the service of that name, or kNotFound when nobody registered it,
  // or kInvalidArgument when it was registered under another interface.
  template <typename Interface>
  Result<Interface*> Find(std::string_view name) const {
    Result<void*> found = FindUntyped(name, typeid(Interface));
    if (!found) {
      return found.error();
    }
    return static_cast<Interface*>(found.value());
  }

 private:
  struct Entry {
    std::type_index type;
    void* service;
  };

  Result<void> RegisterUntyped(std::string_view name,
                               std::type_index type,
                               void* service);
  Result<void*> FindUntyped(std::string_view name, std::type_index type) const;

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_SERVICE_REGISTRY_H_
