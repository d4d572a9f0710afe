#include "experiments/Experiments.h"
#include "experiments/Simulation.h"

#include "foxtailtrail/limits/ShardOwnership.h"
#include "foxtailtrail/limits/ShareBorrower.h"
#include "foxtailtrail/limits/ShareLender.h"
#include "foxtailtrail/limits/StaticSplit.h"
#include "foxtailtrail/server/ShareCodec.h"

#include <array>
#include <memory>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Choices of the experiment. Organisations within their rate use this part of it, and a part of their burst now and then.
    constexpr double normalLoad = 0.7;
    constexpr double burstPart = 0.2;
    constexpr Duration burstInterval = seconds(4);
    constexpr double noisyFactor = 5;
    constexpr double hotVmWeight = 5;
    constexpr Duration runLength = seconds(20);
    constexpr TimePoint faultAt { seconds(6) };
    // Requests count from here on: before, the buckets are still filling.
    constexpr TimePoint countedFrom { seconds(2) };
    // Intervals of the daemon's control loop.
    constexpr Duration tickInterval = milliseconds(5);
    constexpr Duration ownershipInterval = milliseconds(200);
    constexpr Duration freshnessTime = seconds(3);

    const Measure wrongful { "organisations within their rate: wrongly refused", "share", TargetKind::AtMost, 0.001, true };
    const Measure wrongfulFault { "organisations within their rate: wrongly refused", "share" };
    const Measure noisyServed { "organisation at five times its rate: admitted of what one bucket admits", "share", TargetKind::None, 0,
        false };
    const Measure excess { "excess over rate and burst in any window", "requests", TargetKind::AtMost, 0, true };
    const Measure controlBytes { "lending messages sent per VM", "bytes/s" };
    const Measure regionBytes { "lending messages between the regions", "bytes/s" };

    enum class Fault : uint8_t { None, VmLost, OwnerLostStoreUp, OwnerLostStoreDown };
    enum class Policy : uint8_t { StaticSplit, Shares };

    struct Vm {
        std::unique_ptr<LimitStrategy> strategy;
        ShareBorrower* borrower = nullptr;
        std::unique_ptr<ShareLender> lender;
        bool isDead = false;
    };

    struct Tally {
        TokenBucket ideal;
        size_t idealAdmitted = 0;
        size_t wronglyRefused = 0;
        size_t admitted = 0;
        std::vector<TimePoint> admissions;
    };

    // What happened to a request: which organisation sent it and whether one bucket for all VMs admits it.
    struct Request {
        size_t organisation = 0;
        bool isAdmittedByIdeal = false;
        bool counts = false;
    };

    class LimitsRun {
    public:
        LimitsRun(const Deployment& chosen, Policy policy, Fault fault, uint64_t seed)
            : deployment(chosen)
            , simulation(seed)
        {
            for (const Organisation& organisation : chosen.organisations) {
                this->limits[organisation.id] = organisation;
                this->tallies.push_back({ TokenBucket(organisation.rate, organisation.burst, 0, TimePoint()), 0, 0, 0, {} });
            }
            for (uint32_t index = 0; index < Deployment::vmCount; ++index)
                this->startVm(index, policy);
            this->assignOwners();
            for (size_t organisation = 0; organisation < chosen.organisations.size(); ++organisation)
                this->offer(organisation);
            this->simulation.at(faultAt, [this, fault] { this->strike(fault); });
            this->simulation.runUntil(TimePoint(runLength));
        }

        void report(const Run& run, bool isFaultFree, Report& report) const
        {
            double refused = 0;
            double within = 0;
            double worstExcess = 0;
            for (size_t index = 0; index < this->tallies.size(); ++index) {
                const Tally& tally = this->tallies[index];
                worstExcess = std::max(worstExcess, this->largestExcess(index));
                if (index == Deployment::noisy)
                    continue;
                refused += static_cast<double>(tally.wronglyRefused);
                within += static_cast<double>(tally.idealAdmitted);
            }
            const Tally& noisy = this->tallies[Deployment::noisy];
            report.add(run, isFaultFree ? wrongful : wrongfulFault, refused / within);
            report.add(run, noisyServed, static_cast<double>(noisy.admitted) / static_cast<double>(noisy.idealAdmitted));
            report.add(run, excess, worstExcess);
            report.add(run, controlBytes, this->bytes / Deployment::vmCount / toSeconds(runLength));
            report.add(run, regionBytes, this->bytesBetweenRegions / toSeconds(runLength));
        }

    private:
        static VmId idOf(uint32_t vm) { return VmId("vm-" + std::to_string(vm + 1)); }
        static uint32_t indexOf(const VmId& vm) { return static_cast<uint32_t>(std::stoul(vm.value.substr(3))) - 1; }

        void startVm(uint32_t index, Policy policy)
        {
            Vm& vm = this->vms[index];
            if (policy == Policy::StaticSplit) {
                vm.strategy = std::make_unique<StaticSplit>(Deployment::vmCount, this->limits, TimePoint());
                return;
            }
            auto borrower = std::make_unique<ShareBorrower>(ShareBorrowerSettings {}, idOf(index), 1);
            vm.borrower = borrower.get();
            vm.strategy = std::move(borrower);
            vm.lender = std::make_unique<ShareLender>(ShareLenderSettings {}, 1);
            vm.lender->setLimits(this->limits, TimePoint());
            // VMs do not tick in step.
            this->simulation.after(Duration(this->simulation.below(5000)),
                [this, index] { this->simulation.every(tickInterval, [this, index] { this->tick(index); }); });
            this->simulation.after(ownershipInterval,
                [this, index] { this->simulation.every(ownershipInterval, [this, index] { this->proposeOwners(index); }); });
        }

        std::vector<OwnerCandidate> candidates() const
        {
            std::vector<OwnerCandidate> all;
            for (uint32_t index = 0; index < Deployment::vmCount; ++index) {
                const bool isDead = this->vms[index].isDead;
                all.push_back({ idOf(index), !isDead, false, isDead ? this->simulation.now() - faultAt : Duration(0) });
            }
            return all;
        }

        // The first configuration is old, so that its owners lend from the start.
        void assignOwners()
        {
            this->take(proposeShardOwners({}, this->candidates(), runLength));
            this->install(TimePoint() - seconds(10));
        }

        void take(const std::vector<OwnerProposal>& proposals)
        {
            for (const OwnerProposal& proposal : proposals)
                this->owners[proposal.shard] = proposal.owner;
        }

        void install(TimePoint acceptedBy)
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
            if (this->vms[index].isDead || this->isStoreDown)
                return;
            const auto proposals = proposeShardOwners(this->owners, this->candidates(), runLength);
            if (proposals.empty())
                return;
            this->take(proposals);
            this->install(this->simulation.now());
        }

        void strike(Fault fault)
        {
            this->isStoreDown = fault == Fault::OwnerLostStoreDown;
            const uint32_t owner = this->ownerOf(0);
            // The VM lost alone is one that owns the shard of no organisation, if there is one.
            uint32_t victim = owner;
            for (uint32_t index = 0; fault == Fault::VmLost && index < Deployment::vmCount; ++index) {
                bool ownsAny = false;
                for (size_t organisation = 0; organisation < this->tallies.size(); ++organisation)
                    ownsAny = ownsAny || this->ownerOf(organisation) == index;
                victim = ownsAny ? victim : index;
            }
            this->vms[victim].isDead = fault != Fault::None;
        }

        uint32_t ownerOf(size_t organisation) const
        {
            return indexOf(this->owners.at(limitShardOf(this->deployment.organisations[organisation].id)).vm);
        }

        // Single requests at random times, and batches within the burst from organisations that keep to their rate.
        void offer(size_t organisation)
        {
            const Organisation& limit = this->deployment.organisations[organisation];
            const bool isNoisy = organisation == Deployment::noisy;
            this->offerSingle(organisation, intervalOf(limit.rate * (isNoisy ? noisyFactor : normalLoad)));
            if (isNoisy)
                return;
            this->simulation.after(this->simulation.jittered(burstInterval), [this, organisation, size = limit.burst * burstPart] {
                this->simulation.every(burstInterval, [this, organisation, size] {
                    for (size_t count = 0; count < static_cast<size_t>(size); ++count)
                        this->request(organisation);
                });
            });
        }

        void offerSingle(size_t organisation, Duration interval)
        {
            this->simulation.after(this->simulation.exponential(interval), [this, organisation, interval] {
                this->request(organisation);
                this->offerSingle(organisation, interval);
            });
        }

        // Each organisation sends to one VM five times as much as to each other. Callers of a dead VM go to the others.
        void request(size_t organisation)
        {
            std::vector<double> weights(Deployment::vmCount, 1);
            weights[organisation % Deployment::vmCount] = hotVmWeight;
            for (uint32_t index = 0; index < Deployment::vmCount; ++index)
                weights[index] = this->vms[index].isDead ? 0 : weights[index];
            const auto index = static_cast<uint32_t>(this->simulation.weighted(weights));
            const TimePoint now = this->simulation.now();
            const Request request { organisation, this->tallies[organisation].ideal.take(1, now), now >= countedFrom };
            this->tallies[organisation].idealAdmitted += request.isAdmittedByIdeal && request.counts ? 1 : 0;
            const Admission admission
                = this->vms[index].strategy->admit(this->deployment.organisations[organisation].id, now + seconds(5), now);
            if (admission.state == AdmissionState::Waiting) {
                this->waiting[index][admission.ticket] = request;
                this->send(index);
            } else {
                this->record(request, admission);
            }
        }

        void record(const Request& request, const Admission& admission)
        {
            Tally& tally = this->tallies[request.organisation];
            if (admission.state == AdmissionState::Admitted) {
                tally.admissions.push_back(this->simulation.now());
                tally.admitted += request.counts ? 1 : 0;
            } else {
                tally.wronglyRefused += request.isAdmittedByIdeal && request.counts ? 1 : 0;
            }
        }

        void settle(uint32_t index, const std::vector<SettledAdmission>& settled)
        {
            for (const SettledAdmission& decision : settled)
                this->record(this->waiting[index].extract(decision.ticket).mapped(), decision.admission);
        }

        void tick(uint32_t index)
        {
            if (this->vms[index].isDead)
                return;
            this->settle(index, this->vms[index].strategy->expire(this->simulation.now()));
            this->send(index);
        }

        void send(uint32_t from)
        {
            for (const AddressedBorrow& message : this->vms[from].strategy->takeRequests(this->simulation.now())) {
                const uint32_t to = indexOf(message.owner);
                this->deliver(from, to, json::serialize(encodeBorrowRequest(message.request)).size(),
                    [this, from, to, request = message.request] { this->lend(to, from, request); });
            }
        }

        void lend(uint32_t index, uint32_t from, const BorrowRequest& request)
        {
            const TimePoint now = this->simulation.now();
            // Store or witnesses confirm the configuration all the time.
            const BorrowReply reply = this->vms[index].lender->lend(request, now + freshnessTime, now);
            this->deliver(index, from, json::serialize(encodeBorrowReply(reply)).size(), [this, from, index, reply] {
                this->settle(from, this->vms[from].strategy->receive(idOf(index), reply, this->simulation.now()));
            });
        }

        void deliver(uint32_t from, uint32_t to, size_t size, const std::function<void()>& action)
        {
            if (from != to) {
                this->bytes += static_cast<double>(size);
                const bool isFar = this->deployment.regionOf(this->deployment.dataCentreOf(from))
                    != this->deployment.regionOf(this->deployment.dataCentreOf(to));
                this->bytesBetweenRegions += isFar ? static_cast<double>(size) : 0;
            }
            const Duration latency = from == to ? Duration(1)
                                                : this->simulation.jittered(this->deployment.latency(
                                                    this->deployment.dataCentreOf(from), this->deployment.dataCentreOf(to)));
            this->simulation.after(latency, [this, to, action] {
                if (!this->vms[to].isDead)
                    action();
            });
        }

        // The largest number of requests admitted beyond rate * window + burst, over all windows between two admissions.
        double largestExcess(size_t organisation) const
        {
            const Organisation& limit = this->deployment.organisations[organisation];
            double smallest = 0;
            double largest = 0;
            double count = 0;
            for (const TimePoint admission : this->tallies[organisation].admissions) {
                const double filled = limit.rate * toSeconds(admission.time_since_epoch());
                smallest = count == 0 ? -filled : std::min(smallest, count - filled);
                largest = std::max(largest, ++count - filled - smallest);
            }
            return std::max(0.0, largest - limit.burst);
        }

        const Deployment& deployment;
        Simulation simulation;
        std::map<OrganisationId, Organisation> limits;
        std::vector<Tally> tallies;
        std::array<Vm, Deployment::vmCount> vms;
        std::array<std::map<AdmissionTicket, Request>, Deployment::vmCount> waiting;
        std::map<uint32_t, LimitShardOwner> owners;
        bool isStoreDown = false;
        double bytes = 0;
        double bytesBetweenRegions = 0;
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
        for (const Policy policy : { Policy::StaticSplit, Policy::Shares }) {
            const char* name = policy == Policy::Shares ? "ShareBorrower" : "StaticSplit";
            LimitsRun(deployment, policy, scenario.fault, seed)
                .report({ "limits", deployment.name, scenario.name, name }, scenario.fault == Fault::None, report);
        }
    }
}

}
