#include "observe/trace.h"

#include <algorithm>
#include <istream>
#include <sstream>
#include <utility>

#include "kernel/error.h"
#include "kernel/json.h"

namespace chervilmux::observe {
namespace {

/// Orders about a key's owner that are told with its request.
constexpr std::size_t kMostOwnerLines = 12;

/// Whether `event` ends a request.
bool EndsRequest(std::string_view event) {
  return event == "refused" || event == "answered";
}

/// Whether `event` is about who owns keys.
bool TellsOfOwners(std::string_view event) {
  return event == "grant" || event == "release" || event == "leads_owners" ||
         event == "owner_lapses";
}

/// A key in a range, or the end of one; logs may hold any text there.
std::optional<unsigned long> ToNumber(const std::string& text) {
  const bool digits =
      !text.empty() && text.size() < 10 &&
      std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
  return digits ? std::optional(std::stoul(text)) : std::nullopt;
}

TraceLine MakeLine(const Json::Value& json) {
  return {kernel::StringOr(json, "time"), kernel::StringOr(json, "instance"),
          kernel::StringOr(json, "event"), kernel::StringOr(json, "kind"),
          kernel::PrintJson(json)};
}

const kernel::ErrorTraits* FindTraits(std::string_view kind) {
  const auto all = kernel::AllErrorTraits();
  const auto found = std::ranges::find(all, kind, &kernel::ErrorTraits::name);
  return found == all.end() ? nullptr : &*found;
}

}  // namespace

TraceReader::TraceReader(std::string request_id)
    : request_id(std::move(request_id)) {}

void TraceReader::Read(std::istream& log) {
  for (std::string line; std::getline(log, line);) this->TakeLine(line);
}

void TraceReader::TakeLine(std::string_view line) {
  const auto begin = line.find('{');
  if (begin == std::string_view::npos) return;
  const auto parsed = kernel::ParseJson(line.substr(begin));
  if (!parsed || !parsed.value().isObject()) return;
  const Json::Value& json = parsed.value();
  const std::string event = kernel::StringOr(json, "event");
  if (kernel::StringOr(json, "request") == this->request_id) {
    this->trace.lines.push_back(MakeLine(json));
    const std::string key = kernel::StringOr(json, "key");
    if (!key.empty()) this->trace.key = key;
    this->service = kernel::StringOr(json, "service", this->service);
    return;
  }
  if (!TellsOfOwners(event)) return;
  constexpr unsigned long kAnyKey = 1'000'000'000;
  this->owner_lines.push_back(
      {MakeLine(json), kernel::StringOr(json, "service"),
       ToNumber(kernel::StringOr(json, "first")).value_or(0),
       ToNumber(kernel::StringOr(json, "last")).value_or(kAnyKey)});
}

Trace TraceReader::Result() const {
  Trace result = this->trace;
  std::ranges::stable_sort(result.lines, {}, &TraceLine::time);
  for (std::size_t i = 0; i < result.lines.size(); ++i) {
    if (EndsRequest(result.lines[i].event)) result.deciding = i;
  }
  const auto key = ToNumber(result.key);
  if (!key || result.lines.empty()) return result;
  const std::string& end = result.lines.back().time;
  for (const auto& owner : this->owner_lines) {
    const bool covers = owner.first <= *key && *key <= owner.last;
    if (covers && owner.service == this->service && owner.line.time <= end) {
      result.owners.push_back(owner.line);
    }
  }
  std::ranges::stable_sort(result.owners, {}, &TraceLine::time);
  if (result.owners.size() > kMostOwnerLines) {
    result.owners.erase(result.owners.begin(),
                        result.owners.end() - kMostOwnerLines);
  }
  return result;
}

std::string DescribeTrace(const Trace& trace) {
  std::ostringstream out;
  for (std::size_t i = 0; i < trace.lines.size(); ++i) {
    out << (trace.deciding == i ? "> " : "  ") << trace.lines[i].text << '\n';
  }
  if (!trace.owners.empty()) {
    out << "orders about the owner of key " << trace.key << ":\n";
    for (const auto& line : trace.owners) out << "  " << line.text << '\n';
  }
  const kernel::ErrorTraits* traits =
      trace.deciding ? FindTraits(trace.lines[*trace.deciding].kind) : nullptr;
  if (traits != nullptr) {
    out << "ended as " << traits->name << ": "
        << kernel::NameOf(traits->outcome) << "; " << traits->advice << '\n';
  } else if (trace.deciding) {
    out << "ended with a server's answer\n";
  } else {
    out << "no line tells its end: it was not refused, and answers are logged "
           "one in 64\n";
  }
  return out.str();
}

}  // namespace chervilmux::observe
