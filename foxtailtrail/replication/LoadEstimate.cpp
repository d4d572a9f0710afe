#include "foxtailtrail/replication/LoadEstimate.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace foxtail {

namespace {

    // The time after which half of what a report says about the queue, or about the speed of the server, is replaced by the mean of the
    // candidates. Queues change within a few statements; a server stays slow for longer.
    constexpr double queueHalfLifeUs = 500'000;
    constexpr double speedHalfLifeUs = 2'000'000;
    // Reports that are older than this say no more about what the fleet has sent since.
    constexpr double maxSpreadAgeUs = 200'000;
    // The fraction of the servers' capacity that the fleet is assumed to use at least: a burst may have started after the reports.
    constexpr double minUtilization = 0.2;
    // Opening a connection takes a slot of the server for about this many microseconds.
    constexpr double connectionCostUs = 12'000;
    // A server that gets no reads because it is slower than the mean by this factor is tried with this fraction of its share by number.
    constexpr double trialSlowness = 1.5;
    constexpr double trialFraction = 0.02;
    // Service time of a server while none is known.
    constexpr double defaultServiceUs = 20'000;

    double ageUs(const ReadCandidate& candidate, TimePoint now)
    {
        return candidate.load ? std::max(0.0, static_cast<double>((now - candidate.load->takenAt).count())) : maxSpreadAgeUs;
    }

    double remainingWeight(double age, double halfLife) { return std::exp2(-age / halfLife); }

    bool hasKnownSpeed(const ReadCandidate& candidate) { return candidate.load && candidate.load->meanServiceTime > Duration(0); }

    // Returns the mean service time of the candidates whose speed is known. It is the harmonic mean: one slow server hardly changes it.
    double meanServiceUs(const std::vector<const ReadCandidate*>& candidates)
    {
        double rateSum = 0;
        double count = 0;
        for (const ReadCandidate* candidate : candidates) {
            if (!hasKnownSpeed(*candidate))
                continue;
            rateSum += 1 / static_cast<double>(candidate->load->meanServiceTime.count());
            ++count;
        }
        return count > 0 ? count / rateSum : defaultServiceUs;
    }

    // Returns the statements that are at the server or wait for it.
    double queueLength(const ReadCandidate& candidate)
    {
        return candidate.load ? candidate.load->running + candidate.load->waiting + candidate.sentSince : 0;
    }

    // Returns the time until a slot becomes free for one more statement.
    double waitForSlotUs(double queue, double slots, double serviceUs) { return std::max(0.0, queue + 1 - slots) * serviceUs / slots; }

}

LoadEstimate LoadEstimate::create(const std::vector<const ReadCandidate*>& candidates, TimePoint now)
{
    LoadEstimate estimate;
    estimate.estimateTimes(candidates, now);
    estimate.divideReads(now);
    estimate.addTrials();
    return estimate;
}

void LoadEstimate::estimateTimes(const std::vector<const ReadCandidate*>& candidates, TimePoint now)
{
    this->groupServiceUs = meanServiceUs(candidates);
    double reportedWaitSum = 0;
    size_t reportCount = 0;
    for (const ReadCandidate* candidate : candidates) {
        ReadEstimate item;
        item.candidate = candidate;
        item.serviceUs = this->groupServiceUs;
        if (hasKnownSpeed(*candidate)) {
            const double knownUs = static_cast<double>(candidate->load->meanServiceTime.count());
            item.serviceUs += remainingWeight(ageUs(*candidate, now), speedHalfLifeUs) * (knownUs - this->groupServiceUs);
        }
        const double slots = std::max(1U, candidate->load ? candidate->load->slots : candidate->slots);
        item.capacity = slots / item.serviceUs;
        item.waitUs = waitForSlotUs(queueLength(*candidate), slots, item.serviceUs);
        if (candidate->load) {
            reportedWaitSum += item.waitUs;
            ++reportCount;
        }
        this->candidateEstimates.push_back(item);
    }
    assert(reportCount > 0);
    const double meanWaitUs = reportedWaitSum / static_cast<double>(reportCount);
    for (ReadEstimate& item : this->candidateEstimates) {
        const double weight = item.candidate->load ? remainingWeight(ageUs(*item.candidate, now), queueHalfLifeUs) : 0;
        item.waitUs = meanWaitUs + weight * (item.waitUs - meanWaitUs);
        // A statement that has had no reply for longer than expected shows the wait before any report does.
        if (item.candidate->oldestUnansweredAt) {
            const auto unansweredUs = static_cast<double>((now - *item.candidate->oldestUnansweredAt).count());
            item.waitUs = std::max(item.waitUs, unansweredUs - item.serviceUs);
        }
        item.totalUs = distanceCostUs(item.candidate->distance) + item.waitUs + item.serviceUs;
        if (!item.candidate->hasFreeConnection || !item.candidate->isPreferredByOrganisation)
            item.totalUs += connectionCostUs;
    }
}

const ReadEstimate& LoadEstimate::shortest() const
{
    return *std::min_element(this->candidateEstimates.begin(), this->candidateEstimates.end(),
        [](const ReadEstimate& left, const ReadEstimate& right) { return left.totalUs < right.totalUs; });
}

void LoadEstimate::divideReads(TimePoint now)
{
    // A server in another region takes part only when it saves more than its distance costs, whatever the age of the reports.
    double bestInRegionUs = 0;
    bool isInRegion = false;
    for (const ReadEstimate& item : this->candidateEstimates) {
        if (item.candidate->distance == Distance::OtherRegion)
            continue;
        bestInRegionUs = isInRegion ? std::min(bestInRegionUs, item.totalUs) : item.totalUs;
        isInRegion = true;
    }
    std::vector<ReadEstimate*> eligible;
    double slots = 0;
    double running = 0;
    for (ReadEstimate& item : this->candidateEstimates) {
        if (isInRegion && item.candidate->distance == Distance::OtherRegion && item.totalUs >= bestInRegionUs)
            continue;
        eligible.push_back(&item);
        if (item.candidate->load) {
            slots += item.candidate->load->slots;
            running += std::min(item.candidate->load->running, item.candidate->load->slots);
        }
    }
    const double utilization = slots > 0 ? std::max(minUtilization, running / slots) : minUtilization;
    std::sort(eligible.begin(), eligible.end(),
        [](const ReadEstimate* left, const ReadEstimate* right) { return left->totalUs < right->totalUs; });
    double unassigned = 0;
    for (const ReadEstimate* item : eligible)
        unassigned += item->capacity * utilization * std::clamp(ageUs(*item->candidate, now), 1.0, maxSpreadAgeUs);
    const double work = unassigned;
    // Raises the level of the expected times, starting with the shortest, until the work is used up.
    double levelUs = eligible.front()->totalUs;
    double capacity = 0;
    for (size_t index = 0; index < eligible.size(); ++index) {
        capacity += eligible[index]->capacity;
        const double nextUs = index + 1 < eligible.size() ? eligible[index + 1]->totalUs : levelUs + unassigned / capacity;
        const double used = std::min(unassigned, capacity * (nextUs - levelUs));
        levelUs += used / capacity;
        unassigned -= used;
    }
    for (ReadEstimate* item : eligible)
        item->share = item->capacity * std::max(0.0, levelUs - item->totalUs) / work;
}

void LoadEstimate::addTrials()
{
    const double share = trialFraction / static_cast<double>(this->candidateEstimates.size());
    double trialShare = 0;
    for (ReadEstimate& item : this->candidateEstimates) {
        item.isTrial = item.share < share && item.candidate->distance != Distance::OtherRegion
            && item.serviceUs > trialSlowness * this->groupServiceUs;
        if (item.isTrial)
            trialShare += share;
    }
    for (ReadEstimate& item : this->candidateEstimates)
        item.share = item.isTrial ? share : item.share * (1 - trialShare);
}

const ReadEstimate& LoadEstimate::select(double draw) const
{
    double cumulated = 0;
    for (const ReadEstimate& item : this->candidateEstimates) {
        cumulated += item.share;
        if (draw < cumulated)
            return item;
    }
    // Rounding may leave the sum of the shares below the draw.
    return this->shortest();
}

}
