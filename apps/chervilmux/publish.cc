#include "publish.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

#include "config/manifest.h"

namespace chervilmux::command {
namespace {

using kernel::ErrorKind;
using kernel::Fail;
using Status = store::TableReply::Status;

constexpr int kReadBackTries = 5;

std::string UniqueWriter() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device();
  return text.str();
}

/// The manifest that the row names, or an empty one when there is none.
kernel::Result<config::Manifest> ReadCurrent(PlatformSession& platform,
                                             const store::TableReply& row) {
  if (row.status == Status::kAbsent) return config::Manifest();
  const store::ObjectReply object = platform.ReadObject(row.value);
  if (!object.found) {
    return Fail(ErrorKind::kStoreUnavailable,
                "not run: cannot read the manifest in force");
  }
  std::vector<config::ManifestProblem> problems;
  return config::ParseManifest(object.content, problems);
}

/// Whether our write took effect, judged by what the row names now.
kernel::Result<bool> ReadBack(PlatformSession& platform,
                              const std::string& object) {
  for (int i = 0; i < kReadBackTries; ++i) {
    const store::TableReply row = platform.ReadRow(store::kManifestRow);
    if (row.status == Status::kFailed) continue;
    return row.value == object;
  }
  return Fail(ErrorKind::kStoreUnavailable,
              "unknown: the write may have taken effect; run `chervilmux "
              "status` once the platform answers");
}

}  // namespace

kernel::Result<std::string> CheckFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ErrorKind::kSettingInvalid, "cannot read '" + path + "'");
  }
  std::ostringstream content;
  content << file.rdbuf();
  std::vector<config::ManifestProblem> problems;
  auto manifest = config::ParseManifest(content.str(), problems);
  for (const auto& problem : problems) {
    std::cerr << path << ":" << problem.ToString() << "\n";
  }
  if (!manifest) return manifest.error();
  return content.str();
}

kernel::Result<std::uint64_t> Publish(PlatformSession& platform,
                                      const std::string& text) {
  std::vector<config::ManifestProblem> problems;
  BOOST_OUTCOME_TRY(next, config::ParseManifest(text, problems));
  const store::TableReply row = platform.ReadRow(store::kManifestRow);
  if (row.status == Status::kFailed) {
    return Fail(ErrorKind::kStoreUnavailable,
                "not run: the table service does not answer");
  }
  BOOST_OUTCOME_TRY(current, ReadCurrent(platform, row));
  BOOST_OUTCOME_TRYV(config::CheckSuccession(current, next));
  const std::string object =
      store::ManifestObject(next.revision, UniqueWriter());
  if (!platform.WriteObject(object, text)) {
    return Fail(ErrorKind::kStoreUnavailable,
                "not run: the object store did not take the manifest");
  }
  const store::TableReply written =
      platform.WriteRow(store::kManifestRow, object, row.revision);
  if (written.status == Status::kWritten) return next.revision;
  if (written.status == Status::kFailed) {
    BOOST_OUTCOME_TRY(in_force, ReadBack(platform, object));
    if (in_force) return next.revision;
  }
  return Fail(ErrorKind::kStoreConflict,
              "not run: another manifest was published meanwhile; base your "
              "corrections on it and publish again");
}

}  // namespace chervilmux::command
