/// \file
/// Defines checking and publishing a manifest.

#ifndef CHERVILMUX_APPS_CHERVILMUX_PUBLISH_H_
#define CHERVILMUX_APPS_CHERVILMUX_PUBLISH_H_

#include <cstdint>
#include <string>

#include "kernel/error.h"
#include "platform_session.h"

namespace chervilmux::command {

/// Reads a manifest file and prints every problem with its line. Returns the
/// text. Errors: kManifestInvalid, kSettingInvalid when it cannot be read.
kernel::Result<std::string> CheckFile(const std::string& path);

/// Publishes a checked manifest by compare-and-set on the manifest row. The
/// loser of a race gets kStoreConflict and nothing of the winner is lost. A
/// write whose answer was lost is resolved by reading back. Errors:
/// kManifestInvalid, kStoreConflict, kStoreUnavailable (outcome then unknown or
/// not run, as the detail says).
kernel::Result<std::uint64_t> Publish(PlatformSession& platform,
                                      const std::string& text);

}  // namespace chervilmux::command

#endif  // CHERVILMUX_APPS_CHERVILMUX_PUBLISH_H_
