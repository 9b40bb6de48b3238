/// \file plugin.h
/// Registration of plug-ins. A plug-in registers a factory under a name before `main` runs.
///
/// A kind of plug-in is defined by an interface `I`; its registry is `plugin_registry<I, Args...>`.
/// Variation points in hot paths use concepts and templates instead.
#pragma once

#include <nutmegspur/error.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// The plug-ins of one kind, by name.
template <class Interface, class... Args> class plugin_registry {
 public:
  using factory = std::function<std::unique_ptr<Interface>(Args...)>;

  static plugin_registry& instance() {
    static plugin_registry registry;
    return registry;
  }

  /// Registers a factory. Returns true, so that it can initialize a static variable.
  bool add(std::string name, factory make) {
    factories_[std::move(name)] = std::move(make);
    return true;
  }

  /// Creates the plug-in with this name. If there is none, the error lists the registered names.
  result<std::unique_ptr<Interface>> make(std::string_view name, Args... args) const {
    const auto it = factories_.find(std::string{name});
    if (it == factories_.end()) {
      return fail({error_code::invalid_argument, step::settings_parse, "",
                   "unknown plug-in '" + std::string{name} + "'; registered: " + list()});
    }
    return it->second(std::forward<Args>(args)...);
  }

  [[nodiscard]] std::vector<std::string> names() const {
    std::vector<std::string> all;
    for (const auto& [name, make] : factories_) {
      all.push_back(name);
    }
    return all;
  }

 private:
  [[nodiscard]] std::string list() const {
    std::string text;
    for (const auto& name : names()) {
      text += text.empty() ? name : ", " + name;
    }
    return text;
  }

  std::map<std::string, factory> factories_;
};

} // namespace nutmegspur
