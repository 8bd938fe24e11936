#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "libs/http_framing/decimal_field.h"

namespace flamingogauge {
namespace {

// Guards against a limit or a pause that is taken from what is no number.
TEST_CASE("a decimal field is read whole or not at all") {
  struct Row {
    std::string text;
    std::optional<double> number;
  };
  for (const Row& row : {
           Row{"2", 2.0},
           Row{"1.4", 1.4},
           Row{"0", 0.0},
           Row{"0.25", 0.25},
           Row{"", std::nullopt},
           Row{"-1", std::nullopt},
           Row{"+2", std::nullopt},
           Row{"2 per s", std::nullopt},
           Row{"1e3", std::nullopt},
           Row{"inf", std::nullopt},
           Row{"nan", std::nullopt},
           Row{"2, 3", std::nullopt},
       }) {
    CAPTURE(row.text);
    CHECK(ParseDecimalField(row.text) == row.number);
  }
}

}  // namespace
}  // namespace flamingogauge
