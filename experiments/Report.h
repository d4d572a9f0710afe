#pragma once

#include "foxtailtrail/base/Time.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace foxtail {

// The kind of target that the design page sets for a measure.
enum class TargetKind : uint8_t { None, AtMost, AtLeast };

// A measured quantity with its target, if the design page sets one.
struct Measure {
    std::string name;
    std::string unit;
    TargetKind targetKind = TargetKind::None;
    double target = 0;
    // Whether the largest value over the seeds is the worst one, rather than the smallest.
    bool isLargerWorse = true;
};

// Identifies the run that a figure belongs to.
struct RunId {
    std::string experiment;
    std::string deployment;
    std::string scenario;
    std::string policy;
    bool operator==(const RunId&) const = default;
};

// Collects the figures of all runs, with one sample per seed.
class Report {
public:
    void add(const RunId&, const Measure&, double sample);

    // Prints one line per figure: the median and the worst value over the seeds, and whether the worst value meets the target.
    void printTable(std::ostream&) const;

    // Prints one JSON object per figure, each on its own line.
    void printJson(std::ostream&) const;

private:
    struct Figure {
        RunId run;
        Measure measure;
        std::vector<double> samples;

        double median() const;
        double worst() const;
        std::string targetOutcome() const;
    };

    std::vector<Figure> figures;
};

// Returns the value below which the given share of the values lies, or 0 when there are no values.
double quantile(std::vector<double> values, double share);

}
