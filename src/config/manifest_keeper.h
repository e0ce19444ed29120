/// \file
/// Defines the manifest keeper: which manifest is in force at this instance.
///
/// The highest revision wins and never reverts, whatever source offers an older
/// one. A manifest that does not validate is refused whole and the last good
/// one stays.

#ifndef CHERVILMUX_CONFIG_MANIFEST_KEEPER_H_
#define CHERVILMUX_CONFIG_MANIFEST_KEEPER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "config/manifest.h"
#include "config/names.h"

namespace chervilmux::config {

/// A manifest in force with its name table. Immutable and shared by the tasks.
struct ActiveManifest {
  Manifest manifest;
  NameTable names;
};

enum class OfferResult : std::uint8_t {
  kAdopted,
  kAlreadyKnown,
  kRegressed,  ///< Older than what is in force.
  kInvalid,
};

class ManifestKeeper {
 public:
  /// Takes a manifest text from any source.
  OfferResult Offer(std::string_view text);

  /// The manifest in force, or nullptr before the first one.
  std::shared_ptr<const ActiveManifest> Current() const {
    return this->current;
  }
  std::uint64_t Revision() const {
    return this->current ? this->current->manifest.revision : 0;
  }

  /// Why the last refused manifest was refused.
  const std::string& LastRefusal() const { return this->last_refusal; }

 private:
  std::shared_ptr<const ActiveManifest> current;
  std::string last_refusal;
};

}  // namespace chervilmux::config

#endif  // CHERVILMUX_CONFIG_MANIFEST_KEEPER_H_
