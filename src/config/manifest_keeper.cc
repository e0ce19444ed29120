#include "config/manifest_keeper.h"

#include <utility>
#include <vector>

namespace chervilmux::config {

OfferResult ManifestKeeper::Offer(std::string_view text) {
  std::vector<ManifestProblem> problems;
  auto parsed = ParseManifest(text, problems);
  if (!parsed) {
    this->last_refusal = parsed.error().detail;
    return OfferResult::kInvalid;
  }
  Manifest next = std::move(parsed).value();
  if (next.revision == this->Revision()) return OfferResult::kAlreadyKnown;
  if (next.revision < this->Revision()) {
    this->last_refusal = "revision " + std::to_string(next.revision) +
                         " is older than " + std::to_string(this->Revision());
    return OfferResult::kRegressed;
  }
  if (this->current) {
    auto succession = CheckSuccession(this->current->manifest, next);
    if (!succession) {
      this->last_refusal = succession.error().detail;
      return OfferResult::kInvalid;
    }
  }
  auto active = std::make_shared<ActiveManifest>();
  for (const auto& service : next.services) {
    // Collisions were refused by ParseManifest().
    (void)active->names.Add(service.name, service.name);
    for (const auto& alias : service.aliases) {
      (void)active->names.Add(alias, service.name);
    }
  }
  active->manifest = std::move(next);
  this->current = std::move(active);
  return OfferResult::kAdopted;
}

}  // namespace chervilmux::config
