#include "experiments/Experiments.h"
#include "experiments/Simulation.h"

#include "foxtailtrail/limits/ShardOwnership.h"
#include "foxtailtrail/limits/StaticShare.h"
#include "foxtailtrail/limits/TokenBorrower.h"
#include "foxtailtrail/limits/TokenLender.h"
#include "foxtailtrail/server/LoanCodec.h"

#include <array>
#include <memory>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Parameters of the experiment. Organisations within their rate use normalLoad of it, and send batches of burstShare of their burst.
    constexpr double normalLoad = 0.7;
    constexpr double burstShare = 0.2;
    constexpr Duration burstInterval = seconds(4);
    constexpr double noisyFactor = 5;
    constexpr double hotVmWeight = 5;
    constexpr Duration runLength = seconds(20);
    constexpr TimePoint faultAt { seconds(6) };
    // Requests are counted from this time on, because the buckets are still filling before it.
    constexpr TimePoint countingStartsAt { seconds(2) };
    // Intervals of the daemon's control loop.
    constexpr Duration tickInterval = milliseconds(5);
    constexpr Duration ownershipInterval = milliseconds(200);
    constexpr Duration freshnessLifetime = seconds(3);

    const Measure wronglyRefusedShare { "organisations within their rate: wrongly refused", "share", TargetKind::AtMost, 0.001, true };
    const Measure wronglyRefusedShareUnderFault { "organisations within their rate: wrongly refused", "share" };
    const Measure noisyServed { "organisation at five times its rate: admitted of what one bucket admits", "share", TargetKind::None, 0,
        false };
    const Measure excess { "excess over rate and burst in any window", "requests", TargetKind::AtMost, 0, true };
    const Measure lendingTrafficPerVm { "lending messages sent per VM", "bytes/s" };
    const Measure crossRegionLendingTraffic { "lending messages between the regions", "bytes/s" };

    enum class Fault : uint8_t { None, VmLost, OwnerLostStoreUp, OwnerLostStoreDown };
    enum class Policy : uint8_t { StaticShare, TokenLoans };

    struct Vm {
        std::unique_ptr<LimitStrategy> strategy;
        TokenBorrower* borrower = nullptr;
        std::unique_ptr<TokenLender> lender;
        bool hasCrashed = false;
    };

    struct AdmissionStatistics {
        TokenBucket idealBucket;
        size_t idealAdmittedCount = 0;
        size_t wronglyRefusedCount = 0;
        size_t admittedCount = 0;
        std::vector<TimePoint> admissionTimes;
    };

    // A request: its organisation and whether a single bucket for all VMs would admit it.
    struct Request {
        size_t organisation = 0;
        bool isAdmittedByIdeal = false;
        bool isCounted = false;
    };

    class LimitsRun {
    public:
        LimitsRun(const Deployment& simulatedDeployment, Policy policy, Fault fault, uint64_t seed)
            : deployment(simulatedDeployment)
            , simulation(seed)
        {
            for (const Organisation& organisation : simulatedDeployment.organisations) {
                this->limits[organisation.id] = organisation;
                this->statistics.push_back({ TokenBucket(organisation.rate, organisation.burst, 0, TimePoint()), 0, 0, 0, {} });
            }
            for (uint32_t index = 0; index < Deployment::vmCount; ++index)
                this->startVm(index, policy);
            this->assignOwners();
            for (size_t organisation = 0; organisation < simulatedDeployment.organisations.size(); ++organisation)
                this->scheduleLoad(organisation);
            this->simulation.scheduleAt(faultAt, [this, fault] { this->injectFault(fault); });
            this->simulation.runUntil(TimePoint(runLength));
        }

        void report(const RunId& run, bool isFaultFree, Report& report) const
        {
            double wronglyRefusedTotal = 0;
            double idealAdmittedTotal = 0;
            double worstExcess = 0;
            for (size_t index = 0; index < this->statistics.size(); ++index) {
                const AdmissionStatistics& organisationStatistics = this->statistics[index];
                worstExcess = std::max(worstExcess, this->largestExcess(index));
                if (index == Deployment::noisyOrganisation)
                    continue;
                wronglyRefusedTotal += static_cast<double>(organisationStatistics.wronglyRefusedCount);
                idealAdmittedTotal += static_cast<double>(organisationStatistics.idealAdmittedCount);
            }
            const AdmissionStatistics& noisy = this->statistics[Deployment::noisyOrganisation];
            report.add(run, isFaultFree ? wronglyRefusedShare : wronglyRefusedShareUnderFault, wronglyRefusedTotal / idealAdmittedTotal);
            report.add(run, noisyServed, static_cast<double>(noisy.admittedCount) / static_cast<double>(noisy.idealAdmittedCount));
            report.add(run, excess, worstExcess);
            report.add(run, lendingTrafficPerVm, this->sentBytes / Deployment::vmCount / toSeconds(runLength));
            report.add(run, crossRegionLendingTraffic, this->crossRegionBytes / toSeconds(runLength));
        }

    private:
        static VmId idOf(uint32_t vm) { return VmId("vm-" + std::to_string(vm + 1)); }
        static uint32_t indexOf(const VmId& vm) { return static_cast<uint32_t>(std::stoul(vm.value.substr(3))) - 1; }

        void startVm(uint32_t index, Policy policy)
        {
            Vm& vm = this->vms[index];
            if (policy == Policy::StaticShare) {
                vm.strategy = std::make_unique<StaticShare>(Deployment::vmCount, this->limits, TimePoint());
                return;
            }
            auto borrower = std::make_unique<TokenBorrower>(TokenBorrowerSettings {}, idOf(index), 1);
            vm.borrower = borrower.get();
            vm.strategy = std::move(borrower);
            vm.lender = std::make_unique<TokenLender>(TokenLenderSettings {}, 1);
            vm.lender->setLimits(this->limits, TimePoint());
            // A random start within one tick interval (5000 us) keeps the ticks of different VMs from coinciding.
            this->simulation.scheduleAfter(Duration(this->simulation.randomBelow(5000)),
                [this, index] { this->simulation.scheduleEvery(tickInterval, [this, index] { this->tick(index); }); });
            this->simulation.scheduleAfter(ownershipInterval,
                [this, index] { this->simulation.scheduleEvery(ownershipInterval, [this, index] { this->proposeOwners(index); }); });
        }

        std::vector<OwnerCandidate> candidates() const
        {
            std::vector<OwnerCandidate> all;
            for (uint32_t index = 0; index < Deployment::vmCount; ++index) {
                const bool isCrashed = this->vms[index].hasCrashed;
                all.push_back({ idOf(index), !isCrashed, false, isCrashed ? this->simulation.now() - faultAt : Duration(0) });
            }
            return all;
        }

        // Installs the first configuration as 10 s old, so that its owners lend from the start.
        void assignOwners()
        {
            this->applyProposals(proposeShardOwners({}, this->candidates(), runLength));
            this->installOwners(TimePoint() - seconds(10));
        }

        void applyProposals(const std::vector<OwnerProposal>& proposals)
        {
            for (const OwnerProposal& proposal : proposals)
                this->owners[proposal.shard] = proposal.owner;
        }

        void installOwners(TimePoint acceptedBy)
        {
            for (uint32_t index = 0; index < Deployment::vmCount; ++index) {
                Vm& vm = this->vms[index];
                if (vm.borrower == nullptr)
                    continue;
                std::map<uint32_t, uint64_t> owned;
                for (const auto& [shard, owner] : this->owners) {
                    if (owner.vm == idOf(index))
                        owned[shard] = owner.epoch;
                }
                vm.borrower->setOwners(this->owners);
                vm.lender->setShards(owned, acceptedBy, this->simulation.now());
            }
        }

        void proposeOwners(uint32_t index)
        {
            if (this->vms[index].hasCrashed || this->isStoreDown)
                return;
            const auto proposals = proposeShardOwners(this->owners, this->candidates(), runLength);
            if (proposals.empty())
                return;
            this->applyProposals(proposals);
            this->installOwners(this->simulation.now());
        }

        void injectFault(Fault fault)
        {
            this->isStoreDown = fault == Fault::OwnerLostStoreDown;
            const uint32_t owner = this->ownerOf(0);
            // For VmLost, selects a VM that owns no limit shard of an organisation, if there is one.
            uint32_t crashedVm = owner;
            for (uint32_t index = 0; fault == Fault::VmLost && index < Deployment::vmCount; ++index) {
                bool ownsAny = false;
                for (size_t organisation = 0; organisation < this->statistics.size(); ++organisation)
                    ownsAny = ownsAny || this->ownerOf(organisation) == index;
                crashedVm = ownsAny ? crashedVm : index;
            }
            this->vms[crashedVm].hasCrashed = fault != Fault::None;
        }

        uint32_t ownerOf(size_t organisation) const
        {
            return indexOf(this->owners.at(limitShardOf(this->deployment.organisations[organisation].id)).vm);
        }

        // Schedules single requests at random times, and batches within the burst for organisations that keep to their rate.
        void scheduleLoad(size_t organisation)
        {
            const Organisation& limit = this->deployment.organisations[organisation];
            const bool isNoisy = organisation == Deployment::noisyOrganisation;
            this->scheduleSingleRequests(organisation, intervalOf(limit.rate * (isNoisy ? noisyFactor : normalLoad)));
            if (isNoisy)
                return;
            this->simulation.scheduleAfter(this->simulation.jittered(burstInterval), [this, organisation, size = limit.burst * burstShare] {
                this->simulation.scheduleEvery(burstInterval, [this, organisation, size] {
                    for (size_t count = 0; count < static_cast<size_t>(size); ++count)
                        this->sendRequest(organisation);
                });
            });
        }

        void scheduleSingleRequests(size_t organisation, Duration interval)
        {
            this->simulation.scheduleAfter(this->simulation.exponential(interval), [this, organisation, interval] {
                this->sendRequest(organisation);
                this->scheduleSingleRequests(organisation, interval);
            });
        }

        // Each organisation sends five times as many requests to one VM as to each other VM. Callers of a crashed VM use the others.
        void sendRequest(size_t organisation)
        {
            std::vector<double> weights(Deployment::vmCount, 1);
            weights[organisation % Deployment::vmCount] = hotVmWeight;
            for (uint32_t index = 0; index < Deployment::vmCount; ++index)
                weights[index] = this->vms[index].hasCrashed ? 0 : weights[index];
            const auto index = static_cast<uint32_t>(this->simulation.weightedIndex(weights));
            const TimePoint now = this->simulation.now();
            const Request request { organisation, this->statistics[organisation].idealBucket.tryTake(1, now), now >= countingStartsAt };
            this->statistics[organisation].idealAdmittedCount += request.isAdmittedByIdeal && request.isCounted ? 1 : 0;
            const Admission admission
                = this->vms[index].strategy->admit(this->deployment.organisations[organisation].id, now + seconds(5), now);
            if (admission.state == AdmissionState::Waiting) {
                this->waitingRequests[index][admission.ticket] = request;
                this->sendBorrowRequests(index);
            } else {
                this->recordAdmission(request, admission);
            }
        }

        void recordAdmission(const Request& request, const Admission& admission)
        {
            AdmissionStatistics& organisationStatistics = this->statistics[request.organisation];
            if (admission.state == AdmissionState::Admitted) {
                organisationStatistics.admissionTimes.push_back(this->simulation.now());
                organisationStatistics.admittedCount += request.isCounted ? 1 : 0;
            } else {
                organisationStatistics.wronglyRefusedCount += request.isAdmittedByIdeal && request.isCounted ? 1 : 0;
            }
        }

        void completeAdmissions(uint32_t index, const std::vector<CompletedAdmission>& completed)
        {
            for (const CompletedAdmission& decision : completed)
                this->recordAdmission(this->waitingRequests[index].extract(decision.ticket).mapped(), decision.admission);
        }

        void tick(uint32_t index)
        {
            if (this->vms[index].hasCrashed)
                return;
            this->completeAdmissions(index, this->vms[index].strategy->expire(this->simulation.now()));
            this->sendBorrowRequests(index);
        }

        void sendBorrowRequests(uint32_t from)
        {
            for (const OutgoingBorrowRequest& message : this->vms[from].strategy->collectRequests(this->simulation.now())) {
                const uint32_t to = indexOf(message.owner);
                this->deliver(from, to, json::serialize(encodeBorrowRequest(message.request)).size(),
                    [this, from, to, request = message.request] { this->handleBorrowRequest(to, from, request); });
            }
        }

        void handleBorrowRequest(uint32_t index, uint32_t from, const BorrowRequest& request)
        {
            const TimePoint now = this->simulation.now();
            // The simulation assumes that the store or the witnesses confirm the configuration continuously.
            const BorrowReply reply = this->vms[index].lender->lend(request, now + freshnessLifetime, now);
            this->deliver(index, from, json::serialize(encodeBorrowReply(reply)).size(), [this, from, index, reply] {
                this->completeAdmissions(from, this->vms[from].strategy->receive(idOf(index), reply, this->simulation.now()));
            });
        }

        void deliver(uint32_t from, uint32_t to, size_t size, const std::function<void()>& action)
        {
            if (from != to) {
                this->sentBytes += static_cast<double>(size);
                const bool isCrossRegion = this->deployment.regionOf(this->deployment.dataCentreOf(from))
                    != this->deployment.regionOf(this->deployment.dataCentreOf(to));
                this->crossRegionBytes += isCrossRegion ? static_cast<double>(size) : 0;
            }
            const Duration latency = from == to ? Duration(1)
                                                : this->simulation.jittered(this->deployment.latency(
                                                    this->deployment.dataCentreOf(from), this->deployment.dataCentreOf(to)));
            this->simulation.scheduleAfter(latency, [this, to, action] {
                if (!this->vms[to].hasCrashed)
                    action();
            });
        }

        // Returns the largest number of requests admitted beyond rate * window + burst, over all windows between two admissions.
        double largestExcess(size_t organisation) const
        {
            const Organisation& limit = this->deployment.organisations[organisation];
            double smallest = 0;
            double largest = 0;
            double count = 0;
            for (const TimePoint admission : this->statistics[organisation].admissionTimes) {
                const double filled = limit.rate * toSeconds(admission.time_since_epoch());
                smallest = count == 0 ? -filled : std::min(smallest, count - filled);
                largest = std::max(largest, ++count - filled - smallest);
            }
            return std::max(0.0, largest - limit.burst);
        }

        const Deployment& deployment;
        Simulation simulation;
        std::map<OrganisationId, Organisation> limits;
        std::vector<AdmissionStatistics> statistics;
        std::array<Vm, Deployment::vmCount> vms;
        std::array<std::map<AdmissionTicket, Request>, Deployment::vmCount> waitingRequests;
        std::map<uint32_t, LimitShardOwner> owners;
        bool isStoreDown = false;
        double sentBytes = 0;
        double crossRegionBytes = 0;
    };

}

void runLimitsExperiment(const Deployment& deployment, uint64_t seed, Report& report)
{
    struct Scenario {
        const char* name;
        Fault fault;
    };
    const Scenario scenarios[] = { { "no fault", Fault::None }, { "VM lost", Fault::VmLost },
        { "owner lost, store up", Fault::OwnerLostStoreUp }, { "owner lost, store down", Fault::OwnerLostStoreDown } };
    for (const Scenario& scenario : scenarios) {
        for (const Policy policy : { Policy::StaticShare, Policy::TokenLoans }) {
            const char* name = policy == Policy::TokenLoans ? "ShareBorrower" : "StaticSplit";
            LimitsRun(deployment, policy, scenario.fault, seed)
                .report({ "limits", deployment.name, scenario.name, name }, scenario.fault == Fault::None, report);
        }
    }
}

}
