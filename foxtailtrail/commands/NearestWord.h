#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The number of single-character insertions, deletions and substitutions that turn one text into the other.
size_t editDistance(std::string_view left, std::string_view right);

// The candidate nearest to a word, or nothing when none is near enough: within one edit for each three characters of
// the word, and at least one.
std::optional<std::string> nearestWord(std::string_view word, const std::vector<std::string>& candidates);

}
