#include "foxtailtrail/commands/NearestWord.h"

#include <algorithm>
#include <numeric>

namespace foxtail {

namespace {

    // Longer words get no suggestion, which bounds the time spent on an invalid command.
    constexpr size_t maxWordLength = 64;

}

size_t editDistance(std::string_view left, std::string_view right)
{
    // The current row of the matrix of the distances between the prefixes of the two texts.
    std::vector<size_t> distances(right.size() + 1);
    std::iota(distances.begin(), distances.end(), size_t(0));
    for (size_t row = 1; row <= left.size(); ++row) {
        size_t diagonal = distances[0];
        distances[0] = row;
        for (size_t column = 1; column <= right.size(); ++column) {
            const size_t substitutionDistance = diagonal + (left[row - 1] == right[column - 1] ? 0 : 1);
            diagonal = distances[column];
            distances[column] = std::min({ substitutionDistance, distances[column] + 1, distances[column - 1] + 1 });
        }
    }
    return distances[right.size()];
}

std::optional<std::string> nearestWord(std::string_view word, const std::vector<std::string>& candidates)
{
    if (word.empty() || word.size() > maxWordLength)
        return std::nullopt;
    size_t nearestDistance = std::max<size_t>(1, word.size() / 3) + 1;
    std::optional<std::string> nearest;
    for (const std::string& candidate : candidates) {
        const size_t distance = editDistance(word, candidate);
        if (distance < nearestDistance) {
            nearestDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

}
