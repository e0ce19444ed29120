#include "script.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "virtual_cell.h"

namespace chervilmux::scenario {
namespace {

using kernel::milliseconds;
using Words = std::vector<std::string>;

/// The words of `line` without its comment.
Words SplitLine(const std::string& line) {
  std::istringstream stream(line.substr(0, line.find('#')));
  Words words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

class Interpreter {
 public:
  void RunLine(const std::string& line, std::size_t number) {
    this->words = SplitLine(line);
    if (this->words.empty()) return;
    try {
      this->RunStatement();
    } catch (const std::exception& exception) {
      this->AddFailure("unknown statement or invalid argument");
    }
    for (const auto& failure : this->line_failures) {
      std::string report = "line " + std::to_string(number) + ": ";
      report += line;
      report += ": ";
      report += failure;
      this->result.failures.push_back(std::move(report));
    }
    this->line_failures.clear();
  }

  ScriptResult Finish() {
    const bool violated = !this->Cell().Violations().empty();
    if (violated != this->expects_violation) {
      this->result.failures.push_back(
          violated ? this->Cell().Violations().front()
                   : "the expected violation did not happen");
    }
    this->result.end_state = this->Cell().Describe();
    return std::move(this->result);
  }

 private:
  using Handler = void (Interpreter::*)();

  const std::string& Word(std::size_t i) const { return this->words.at(i); }

  long Number(std::size_t i) const { return std::stol(this->Word(i)); }

  /// The number in word `i`, such as 2 in "i2"; `kind` is 'i' or 's'.
  std::size_t Index(std::size_t i, char kind) const {
    const std::string& word = this->Word(i);
    if (word.at(0) != kind) throw std::invalid_argument(word);
    return std::stoul(word.substr(1));
  }

  /// Number of the node that word `i` names: an instance, a server or the
  /// store.
  std::size_t Node(std::size_t i) {
    const std::string& word = this->Word(i);
    if (word == "store") return this->Cell().StoreNode();
    if (word.at(0) == 's') return this->Cell().ServerNode(this->Index(i, 's'));
    return this->Index(i, 'i');
  }

  VirtualCell& Cell() {
    if (!this->cell) this->cell = std::make_unique<VirtualCell>(this->config);
    return *this->cell;
  }

  void AddFailure(const std::string& message) {
    this->line_failures.push_back(message);
  }

  void RunStatement() {
    static const std::map<std::string, Handler> kStatements = {
        {"title", &Interpreter::Title},
        {"cell", &Interpreter::Configure},
        {"without", &Interpreter::DisableRule},
        {"run", &Interpreter::RunFor},
        {"kill", &Interpreter::Kill},
        {"restart", &Interpreter::Restart},
        {"pause", &Interpreter::Pause},
        {"resume", &Interpreter::Resume},
        {"stop", &Interpreter::Stop},
        {"leave", &Interpreter::Leave},
        {"stay", &Interpreter::Stay},
        {"weight", &Interpreter::Weight},
        {"pin", &Interpreter::Pin},
        {"cut", &Interpreter::Cut},
        {"isolate", &Interpreter::Isolate},
        {"heal", &Interpreter::Heal},
        {"store", &Interpreter::Store},
        {"forget", &Interpreter::ResetGaps},
        {"expect", &Interpreter::Expect},
    };
    (this->*kStatements.at(this->Word(0)))();
  }

  void Title() {}

  void Configure() {
    this->config.timing = TestTiming();
    for (std::size_t i = 1; i < this->words.size(); ++i) {
      if (this->Word(i) == "instances") {
        this->config.instances = std::stoul(this->Word(++i));
      } else if (this->Word(i) == "servers") {
        this->config.servers = std::stoul(this->Word(++i));
      } else if (this->Word(i) == "budget-ms") {
        this->config.timing.isolation_budget = milliseconds(this->Number(++i));
      } else if (this->Word(i) == "seed") {
        this->config.seed = std::stoul(this->Word(++i));
      } else if (this->Word(i) == "unchecked") {
        this->config.servers_check_tokens = false;
      } else {
        throw std::invalid_argument(this->Word(i));
      }
    }
  }

  void DisableRule() {
    ownership::SafetyRules& safety = this->config.rules;
    const std::map<std::string, bool*> rules = {
        {"waiting-for-instances", &safety.wait_for_other_instances},
        {"waiting-for-servers", &safety.wait_for_server_stop},
        {"right", &safety.check_authority},
        {"read-back", &safety.resolve_unknown_writes}};
    *rules.at(this->Word(1)) = false;
  }

  void RunFor() { this->Cell().Run(milliseconds(this->Number(1))); }

  bool IsServer(std::size_t i) const { return this->Word(i).at(0) == 's'; }

  void Kill() {
    if (this->IsServer(1)) return this->Cell().KillServer(this->Index(1, 's'));
    this->Cell().KillInstance(this->Index(1, 'i'));
  }

  void Restart() {
    if (this->IsServer(1)) {
      return this->Cell().RestartServer(this->Index(1, 's'));
    }
    this->Cell().RestartInstance(this->Index(1, 'i'));
  }

  void Pause() {
    if (this->IsServer(1)) return this->Cell().PauseServer(this->Index(1, 's'));
    this->Cell().PauseInstance(this->Index(1, 'i'));
  }

  void Resume() {
    if (this->IsServer(1))
      return this->Cell().ResumeServer(this->Index(1, 's'));
    this->Cell().ResumeInstance(this->Index(1, 'i'));
  }

  void Stop() { this->Cell().StopInstance(this->Index(1, 'i')); }
  void Leave() { this->Cell().SetLeaving(this->Index(1, 's'), true); }
  void Stay() { this->Cell().SetLeaving(this->Index(1, 's'), false); }

  void Weight() {
    this->Cell().SetWeight(this->Index(1, 's'), std::stod(this->Word(2)));
  }

  void Pin() {
    this->Cell().PinKey(std::stoul(this->Word(1)), this->Index(2, 's'));
  }

  void Cut() {
    if (this->Word(2) == "->") {
      return this->Cell().CutLink(this->Node(1), this->Node(3));
    }
    this->Cell().CutBothWays(this->Node(1), this->Node(2));
  }

  void Isolate() {
    const std::size_t node = this->Node(1);
    for (std::size_t other = 0; other <= this->Cell().StoreNode(); ++other) {
      if (other != node) this->Cell().CutBothWays(node, other);
    }
  }

  void Heal() { this->Cell().RestoreLinks(); }

  void Store() {
    static const std::map<std::string, StoreMode> kModes = {
        {"up", StoreMode::kUp},
        {"down", StoreMode::kDown},
        {"silent", StoreMode::kSilent},
        {"loses-answers", StoreMode::kLosesAnswers},
        {"slow", StoreMode::kSlow}};
    if (this->Word(1) == "goes-back") return this->Cell().RollBackStore();
    this->Cell().SetStoreMode(kModes.at(this->Word(1)));
  }

  void ResetGaps() { this->Cell().ResetGaps(); }

  void Expect() {
    static const std::map<std::string, Handler> kExpectations = {
        {"served", &Interpreter::ExpectServed},
        {"unserved", &Interpreter::ExpectUnserved},
        {"leader", &Interpreter::ExpectLeader},
        {"key", &Interpreter::ExpectKey},
        {"gap", &Interpreter::ExpectGap},
        {"stored", &Interpreter::ExpectStored},
        {"count", &Interpreter::ExpectCount},
        {"violation", &Interpreter::ExpectViolation}};
    (this->*kExpectations.at(this->Word(1)))();
  }

  void ExpectServed() {
    const std::size_t served = this->Cell().ServedKeys();
    if (served != this->Cell().KeyCount()) {
      this->AddFailure("only " + std::to_string(served) + " keys are served");
    }
  }

  void ExpectUnserved() {
    if (this->Cell().ServedKeys() == this->Cell().KeyCount()) {
      this->AddFailure("every key is served");
    }
  }

  void ExpectLeader() {
    const auto leader = this->Cell().Leader();
    const bool none = this->Word(2) == "none";
    const bool holds = none ? !leader : leader == this->Index(2, 'i');
    if (!holds) {
      this->AddFailure(leader ? "the leader is i" + std::to_string(*leader)
                              : std::string("there is no leader"));
    }
  }

  void ExpectKey() {
    const auto owner = this->Cell().ServingOwner(std::stoul(this->Word(2)));
    if (owner != this->Index(4, 's')) {
      this->AddFailure(owner ? "its owner is s" + std::to_string(*owner)
                             : std::string("the key is not served"));
    }
  }

  /// `expect gap below N`: since `forget gaps`, no key was unserved for N ms or
  /// longer. `above N`: some key was unserved for more than N ms.
  void ExpectGap() {
    const auto gaps = this->Cell().LongestGaps();
    const auto longest = kernel::ToMs(*std::ranges::max_element(gaps));
    const bool below = this->Word(2) == "below";
    const bool holds =
        below ? longest < this->Number(3) : longest > this->Number(3);
    if (!holds)
      this->AddFailure("the longest gap is " + std::to_string(longest) + " ms");
  }

  void ExpectStored() {
    const auto leader = this->Cell().Leader();
    const bool up_to_date =
        leader && this->Cell().StoredVersion() ==
                      this->Cell().Machine(*leader).NewestRow().version;
    if (!up_to_date)
      this->AddFailure("the store does not have the newest row of the leader");
  }

  void ExpectCount() {
    const auto all = this->Cell().Counters();
    const std::map<std::string, std::uint64_t> counts = {
        {"takeovers", all.takeovers},
        {"claims", all.claims},
        {"hand-overs", all.hand_overs},
        {"owner-changes", all.owner_changes},
        {"changes-ahead-of-store", all.changes_ahead_of_store},
        {"excluded-by-list", all.excluded_by_list},
        {"excluded-by-budget", all.excluded_by_budget},
        {"standby-replacements", all.standby_replacements},
        {"unknown-writes-resolved", all.unknown_writes_resolved},
        {"reconciliations", all.reconciliations},
        {"regressions-refused", all.regressions_refused},
        {"store-reads", this->Cell().StoreReads()},
        {"store-writes", this->Cell().StoreWrites()}};
    const std::uint64_t count = counts.at(this->Word(2));
    const auto bound = static_cast<std::uint64_t>(this->Number(4));
    const std::string& relation = this->Word(3);
    const bool holds = relation == "above"   ? count > bound
                       : relation == "below" ? count < bound
                                             : count == bound;
    if (!holds) this->AddFailure("the count is " + std::to_string(count));
  }

  void ExpectViolation() { this->expects_violation = true; }

  VirtualCellConfig config;
  std::unique_ptr<VirtualCell> cell;
  Words words;
  std::vector<std::string> line_failures;
  bool expects_violation = false;
  ScriptResult result;
};

}  // namespace

ScriptResult RunScript(std::string_view text) {
  Interpreter interpreter;
  std::istringstream stream{std::string(text)};
  std::size_t number = 0;
  for (std::string line; std::getline(stream, line);) {
    interpreter.RunLine(line, ++number);
  }
  return interpreter.Finish();
}

}  // namespace chervilmux::scenario
