#include "config/names.h"

#include <doctest/doctest.h>

#include "config/spelling_log.h"

namespace chervilmux::config {
namespace {

TEST_CASE("an operator's alias leads callers to a service") {
  NameTable names;
  REQUIRE(names.Add("rozpis", "rozpis"));
  REQUIRE(names.Add("Rozpis_Smen", "rozpis"));
  REQUIRE(names.Add("nahrady", "nahrady"));

  SUBCASE("the name and its aliases are found in any usual spelling") {
    CHECK(names.Find("ROZPIS") == "rozpis");
    CHECK(names.Find("rozpis smen") == "rozpis");
    CHECK(names.Find("rozpis--smen.") == "rozpis");
  }

  SUBCASE("a near miss is never routed") {
    CHECK(names.Find("rozpys").empty());

    SUBCASE("but the nearest service is suggested first") {
      const auto near = names.Suggest("rozpys", 3);
      REQUIRE(!near.empty());
      CHECK(near.front() == "rozpis");
    }
    SUBCASE("and nothing is suggested for something else entirely") {
      CHECK(names.Suggest("zzzzzzzzzzzz", 3).empty());
    }
  }

  SUBCASE("two services cannot claim one spelling") {
    const auto second = names.Add("ROZPIS.smen", "nahrady");
    REQUIRE(!second);
    CHECK(second.error().kind == kernel::ErrorKind::kManifestInvalid);
    CHECK(names.Find("rozpis-smen") == "rozpis");
  }
}

TEST_CASE("neighbouring letters swapped count as one mistake") {
  CHECK(EditDistance("caisse", "casise") == 1);
  CHECK(EditDistance("", "abc") == 3);
  CHECK(EditDistance("suivi", "suivi") == 0);
}

TEST_CASE("unknown spellings are counted in bounded memory") {
  SpellingLog log(8);
  for (int i = 0; i < 50; ++i) log.Note("rozpys");
  for (int i = 0; i < 1000; ++i) log.Note("noise" + std::to_string(i));

  const auto ranked = log.Ranked();
  CHECK(ranked.size() == 8);
  SUBCASE("a count never falls below the truth") {
    for (const auto& entry : ranked) {
      if (entry.spelling == "rozpys") CHECK(entry.count >= 50);
    }
  }
  SUBCASE("the true count lies within the stated error") {
    for (const auto& entry : ranked) CHECK(entry.count > entry.error);
  }
}

}  // namespace
}  // namespace chervilmux::config
