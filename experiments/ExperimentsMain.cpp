#include "experiments/Experiments.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace foxtail {

namespace {

    struct Experiment {
        const char* name;
        void (*run)(const Deployment&, uint64_t seed, Report&);
    };

    constexpr Experiment experiments[] = {
        { "limits", &runLimitsExperiment },
        { "queueing", &runQueueingExperiment },
        { "reads", &runReadsExperiment },
        { "failover", &runFailoverExperiment },
        { "acknowledgement", &runAcknowledgementExperiment },
    };

    struct Options {
        std::string deployment = "both";
        std::string onlyExperiment;
        uint64_t seedCount = 5;
        bool printsJson = false;
    };

    int runAll(const Options& options)
    {
        Report report;
        bool ranAny = false;
        for (const Experiment& experiment : experiments) {
            for (const Deployment& deployment : { wattle(), wislomar() }) {
                const bool isSelected = (options.onlyExperiment.empty() || options.onlyExperiment == experiment.name)
                    && (options.deployment == "both" || options.deployment == deployment.name);
                for (uint64_t seed = 1; isSelected && seed <= options.seedCount; ++seed)
                    experiment.run(deployment, seed, report);
                ranAny = ranAny || isSelected;
            }
        }
        if (!ranAny) {
            std::cerr << "no experiment matches: --deployment takes wattle, wislomar or both; --only takes";
            for (const Experiment& experiment : experiments)
                std::cerr << " " << experiment.name;
            std::cerr << "\n";
            return 2;
        }
        if (options.printsJson) {
            report.printJson(std::cout);
        } else {
            report.printTable(std::cout);
        }
        return 0;
    }

}

}

int main(int count, char** arguments)
{
    namespace options = boost::program_options;
    foxtail::Options selectedOptions;
    options::options_description description("Runs the policies of the decision library in virtual time, each beside its baseline");
    description.add_options()("help", "print this text")(
        "deployment", options::value(&selectedOptions.deployment)->default_value(selectedOptions.deployment), "wattle, wislomar or both")(
        "seeds", options::value(&selectedOptions.seedCount)->default_value(selectedOptions.seedCount), "run with the seeds 1 to N")(
        "json", options::bool_switch(&selectedOptions.printsJson), "print one JSON object per figure instead of a table")(
        "only", options::value(&selectedOptions.onlyExperiment), "run one experiment");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(count, arguments, description), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    return foxtail::runAll(selectedOptions);
}
