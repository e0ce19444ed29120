/// \file
/// Defines the interface to the platform: its table service, object store and
/// lagging instance list.
///
/// The users' own wire formats arrive later; only HttpPlatform then changes.

#ifndef CHERVILMUX_STORE_PLATFORM_H_
#define CHERVILMUX_STORE_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"

namespace chervilmux::store {

/// Answer of the table service.
struct TableReply {
  enum class Status : std::uint8_t {
    kValue,     ///< A read found `value` at `revision`.
    kAbsent,    ///< A read found nothing.
    kWritten,   ///< The write took effect; `revision` is the new one.
    kConflict,  ///< The write did not: the row is `value` at `revision`.
    kFailed,    ///< No answer, or not a usable one. A write may have happened.
  };
  Status status = Status::kFailed;
  std::uint64_t revision = 0;
  std::string value;
};

/// Answer of the object store: content, or failure.
struct ObjectReply {
  bool found = false;
  std::string content;
};

enum class ListedState : std::uint8_t { kLive, kLeaving, kGone };

/// One entry instance on the platform's list.
struct ListedInstance {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  net::Address peer_address;
  net::Address operator_address;
  ListedState state = ListedState::kLive;
};

/// One backend server on the platform's list.
struct ListedServer {
  std::string name;
  ListedState state = ListedState::kLive;
};

struct InstanceList {
  bool usable = false;  ///< False: no answer; the rest is empty.
  std::vector<ListedInstance> instances;
  std::vector<ListedServer> servers;
};

/// All calls are asynchronous; the callbacks run on the owning task's thread.
class Platform {
 public:
  virtual ~Platform() = default;

  virtual void ReadRow(std::string_view key,
                       std::function<void(TableReply)> done) = 0;
  /// Compare-and-set; `expected` 0 means that the row must not exist yet.
  virtual void WriteRow(std::string_view key, std::string_view value,
                        std::uint64_t expected,
                        std::function<void(TableReply)> done) = 0;
  virtual void ReadObject(std::string_view name,
                          std::function<void(ObjectReply)> done) = 0;
  virtual void WriteObject(std::string_view name, std::string_view content,
                           std::function<void(bool stored)> done) = 0;
  virtual void ReadList(std::function<void(InstanceList)> done) = 0;
};

/// Row of the manifest: its value names the object that holds the content.
inline constexpr std::string_view kManifestRow = "manifest";

/// Key of a cell's row.
std::string CellRowKey(std::string_view cell);

/// Name of the object that holds manifest `revision` as written by `writer`.
std::string ManifestObject(std::uint64_t revision, std::string_view writer);

}  // namespace chervilmux::store

#endif  // CHERVILMUX_STORE_PLATFORM_H_
