#pragma once

#include "experiments/Deployment.h"
#include "experiments/Report.h"

#include <cstdint>

namespace foxtail {

// Each experiment runs its policies and baselines on one deployment with one seed and adds the figures to the report.
void runLimitsExperiment(const Deployment&, uint64_t seed, Report&);
void runQueueingExperiment(const Deployment&, uint64_t seed, Report&);
void runReadsExperiment(const Deployment&, uint64_t seed, Report&);
void runFailoverExperiment(const Deployment&, uint64_t seed, Report&);
void runAcknowledgementExperiment(const Deployment&, uint64_t seed, Report&);

}
