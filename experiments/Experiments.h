#pragma once

#include "experiments/Deployment.h"
#include "experiments/Report.h"

#include <cstdint>

namespace foxtail {

// Each function runs the policies and baselines of one experiment on a deployment with one seed and adds the samples to the report.
void runLimitsExperiment(const Deployment&, uint64_t seed, Report&);
void runQueueingExperiment(const Deployment&, uint64_t seed, Report&);
void runReadsExperiment(const Deployment&, uint64_t seed, Report&);
void runFailoverExperiment(const Deployment&, uint64_t seed, Report&);
void runAcknowledgementExperiment(const Deployment&, uint64_t seed, Report&);

}
