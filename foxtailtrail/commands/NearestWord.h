#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// Returns the Levenshtein distance of two texts: the minimum number of insertions, deletions and substitutions of single bytes that
// turn one text into the other.
size_t editDistance(std::string_view left, std::string_view right);

// Returns the candidate with the smallest edit distance to a word, or std::nullopt if none is near enough. The maximum distance is a
// third of the word's length, but at least 1.
std::optional<std::string> nearestWord(std::string_view word, const std::vector<std::string>& candidates);

}
