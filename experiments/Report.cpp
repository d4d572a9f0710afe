#include "experiments/Report.h"

#include "foxtailtrail/base/Json.h"

#include <algorithm>
#include <iomanip>

namespace foxtail {

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

double Report::Figure::median() const { return quantile(this->samples, 0.5); }

double Report::Figure::worst() const
{
    const auto [smallest, largest] = std::minmax_element(this->samples.begin(), this->samples.end());
    return this->measure.isLargerWorse ? *largest : *smallest;
}

std::string Report::Figure::targetOutcome() const
{
    const double value = this->worst();
    switch (this->measure.targetKind) {
    case TargetKind::None:
        break;
    case TargetKind::AtMost:
        return value <= this->measure.target ? "met" : "MISSED";
    case TargetKind::AtLeast:
        return value >= this->measure.target ? "met" : "MISSED";
    }
    return "";
}

void Report::add(const RunId& run, const Measure& measure, double sample)
{
    const auto found = std::find_if(this->figures.begin(), this->figures.end(),
        [&](const Figure& figure) { return figure.run == run && figure.measure.name == measure.name; });
    if (found != this->figures.end()) {
        found->samples.push_back(sample);
    } else {
        this->figures.push_back({ run, measure, { sample } });
    }
}

void Report::printTable(std::ostream& stream) const
{
    const RunId* last = nullptr;
    for (const Figure& figure : this->figures) {
        // Prints a heading for each scenario and policy.
        if (last == nullptr || !(*last == figure.run))
            stream << "\n"
                   << figure.run.experiment << " / " << figure.run.deployment << " / " << figure.run.scenario << " / " << figure.run.policy
                   << "\n";
        last = &figure.run;
        stream << "  " << std::left << std::setw(52) << figure.measure.name + " (" + figure.measure.unit + ")" << std::right << std::fixed
               << std::setprecision(3) << " median " << std::setw(12) << figure.median() << "  worst " << std::setw(12) << figure.worst()
               << "  " << figure.targetOutcome() << "\n";
    }
}

void Report::printJson(std::ostream& stream) const
{
    for (const Figure& figure : this->figures) {
        json::object line { { "experiment", figure.run.experiment }, { "deployment", figure.run.deployment },
            { "scenario", figure.run.scenario }, { "policy", figure.run.policy }, { "measure", figure.measure.name },
            { "unit", figure.measure.unit }, { "median", figure.median() }, { "worst", figure.worst() },
            { "seeds", figure.samples.size() } };
        if (figure.measure.targetKind != TargetKind::None) {
            line["target"] = figure.measure.target;
            line["met"] = figure.targetOutcome() == "met";
        }
        stream << json::serialize(line) << "\n";
    }
}

}
