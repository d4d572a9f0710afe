#pragma once

#include "foxtailtrail/base/Time.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace foxtail {

// What the design page asks of a measure.
enum class TargetKind : uint8_t { None, AtMost, AtLeast };

// A measured quantity with its target, if the design page sets one.
struct Measure {
    std::string name;
    std::string unit;
    TargetKind targetKind = TargetKind::None;
    double target = 0;
    // Which extreme over the seeds is the worst.
    bool isLargerWorse = true;
};

// Which run a figure belongs to.
struct RunId {
    std::string experiment;
    std::string deployment;
    std::string scenario;
    std::string policy;
    bool operator==(const RunId&) const = default;
};

// The figures of all runs, one sample per seed.
class Report {
public:
    void add(const RunId&, const Measure&, double sample);

    // One line per figure: the median and the worst over the seeds, and whether the worst meets the target.
    void printTable(std::ostream&) const;

    // One JSON object per figure and line.
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

// The value below which the given share of the values lies. Zero when there are none.
double quantile(std::vector<double> values, double share);

}
