#include "foxtailtrail/scheduling/StatementQueue.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace foxtail {

namespace {

    // While statements can still be on time, one start in this many goes to those that are put off.
    constexpr uint32_t putOffInterval = 5;
    // The time constant of an organisation's recent use.
    constexpr double useLifetimeSeconds = 1;
    // A use below this count is forgotten.
    constexpr double minUse = 0.01;
    // A statement that takes longer than the mean by this many mean deviations still ends by its objective.
    constexpr int deviationMargin = 2;
    // A statement is refused when its expected wait exceeds the time that it has left by this factor, because the pace is an estimate.
    constexpr double refusalCertainty = 1.2;
    // The plan counts with a server that is slower than observed by this much. A plan without slack starts every statement as late as it
    // may.
    constexpr int planSlackPercent = 200;
    // The weight of one start in the share of its priority, and the minimum of that share in estimates.
    constexpr int startShareWeight = 128;
    constexpr double minStartShare = 0.01;
    // The times to return that refused statements get are spread over this long beyond the time at which the queue is expected to be empty.
    constexpr Duration maxReturnSpread = std::chrono::seconds(2);

    // Returns the latest start that still meets the objective; without one, the latest start at all.
    TimePoint latestStart(const QueuedStatement& statement, const ServerPace& pace)
    {
        if (statement.objectiveAt == TimePoint::max())
            return statement.giveUpAt;
        return std::min(statement.objectiveAt - (pace.statementTime + pace.statementTimeDeviation * deviationMargin), statement.giveUpAt);
    }

    // Returns whether this wait lasts longer than the statement may wait.
    bool exceeds(Duration wait, const QueuedStatement& statement, TimePoint now)
    {
        if (statement.isControl)
            return false;
        return static_cast<double>(wait.count()) > static_cast<double>((statement.giveUpAt - now).count()) * refusalCertainty;
    }

}

double StatementQueue::RecentUse::at(TimePoint now) const
{
    return this->starts * std::exp(-std::chrono::duration<double>(now - this->countedAt).count() / useLifetimeSeconds);
}

void StatementQueue::push(const QueuedStatement& statement)
{
    this->statements.emplace(statement.ticket, statement);
    ++this->waitingByPriority[statement.priority];
}

bool StatementQueue::remove(uint64_t ticket)
{
    const auto found = this->statements.find(ticket);
    if (found == this->statements.end())
        return false;
    const auto count = this->waitingByPriority.find(found->second.priority);
    if (--count->second == 0)
        this->waitingByPriority.erase(count);
    this->statements.erase(found);
    return true;
}

bool StatementQueue::ranksBefore(const PlannedStatement* a, const PlannedStatement* b)
{
    return std::make_tuple(a->statement->priority, a->standing, a->statement->ticket)
        < std::make_tuple(b->statement->priority, b->standing, b->statement->ticket);
}

std::vector<StatementQueue::PlannedStatement> StatementQueue::planned(
    TimePoint now, const ServerPace& pace, std::vector<PlannedStart>& order) const
{
    std::vector<PlannedStatement> result;
    result.reserve(this->statements.size());
    std::unordered_map<std::string_view, double> standingByOrganisation;
    for (const auto& [ticket, statement] : this->statements) {
        if (statement.isControl) {
            order.push_back({ ticket, false });
            continue;
        }
        const auto [standing, isFirst] = standingByOrganisation.try_emplace(statement.organisation, 0);
        const auto use = this->recentUse.find(statement.organisation);
        if (isFirst && use != this->recentUse.end())
            standing->second = use->second.at(now);
        result.push_back({ &statement, standing->second++, latestStart(statement, pace), false, false });
    }
    std::stable_sort(
        result.begin(), result.end(), [](const PlannedStatement& a, const PlannedStatement& b) { return a.latestStart < b.latestStart; });
    return result;
}

std::vector<const StatementQueue::PlannedStatement*> StatementQueue::selectOnTime(
    std::vector<PlannedStatement>& all, TimePoint firstStart, Duration startInterval)
{
    const auto startAt = [&](size_t place) { return firstStart + startInterval * static_cast<Duration::rep>(place); };
    // Statements of about equal length in the order of their latest starts: whenever one would start too late, the one that ranks last
    // leaves the plan. The plan then keeps as many as possible, those of the highest priority first.
    std::vector<PlannedStatement*> lastRanked;
    for (PlannedStatement& each : all) {
        each.isPutOff = each.latestStart < firstStart;
        if (each.isPutOff)
            continue;
        lastRanked.push_back(&each);
        std::push_heap(lastRanked.begin(), lastRanked.end(), ranksBefore);
        if (startAt(lastRanked.size() - 1) <= each.latestStart)
            continue;
        std::pop_heap(lastRanked.begin(), lastRanked.end(), ranksBefore);
        lastRanked.back()->isPutOff = true;
        lastRanked.pop_back();
    }
    // From the last place to the first, each goes to the one that ranks last among those that may start as late.
    std::vector<const PlannedStatement*> order(lastRanked.size());
    std::vector<const PlannedStatement*> candidates;
    auto next = all.rbegin();
    for (size_t place = order.size(); place-- > 0;) {
        for (; next != all.rend() && (next->isPutOff || next->latestStart >= startAt(place)); ++next) {
            if (next->isPutOff)
                continue;
            candidates.push_back(&*next);
            std::push_heap(candidates.begin(), candidates.end(), ranksBefore);
        }
        std::pop_heap(candidates.begin(), candidates.end(), ranksBefore);
        order[place] = candidates.back();
        candidates.pop_back();
    }
    return order;
}

std::vector<PlannedStart> StatementQueue::startOrder(TimePoint now, const ServerPace& pace) const
{
    std::vector<PlannedStart> order;
    order.reserve(this->statements.size());
    if (this->statements.size() == 1) {
        order.push_back({ this->statements.begin()->first, false });
        return order;
    }
    std::vector<PlannedStatement> all = this->planned(now, pace, order);
    const Duration plannedInterval = pace.startInterval * planSlackPercent / 100;
    const TimePoint firstStart = now + pace.startInterval * static_cast<Duration::rep>(order.size());
    const std::vector<const PlannedStatement*> onTime = selectOnTime(all, firstStart, plannedInterval);

    std::vector<PlannedStatement*> byPriority;
    for (PlannedStatement& each : all) {
        if (each.isPutOff)
            byPriority.push_back(&each);
    }
    std::sort(byPriority.begin(), byPriority.end(), ranksBefore);
    std::vector<PlannedStatement*> byUse = byPriority;
    std::sort(byUse.begin(), byUse.end(), [](const PlannedStatement* a, const PlannedStatement* b) {
        return std::make_pair(a->standing, a->statement->ticket) < std::make_pair(b->standing, b->statement->ticket);
    });
    auto nextOnTime = onTime.begin();
    auto nextByPriority = byPriority.begin();
    auto nextByUse = byUse.begin();
    bool isByUse = this->isNextByUse;
    uint32_t sincePutOff = this->startsSincePutOff;
    size_t putOffLeft = byPriority.size();
    while (nextOnTime != onTime.end() || putOffLeft > 0) {
        if (putOffLeft == 0 || (nextOnTime != onTime.end() && sincePutOff + 1 < putOffInterval)) {
            order.push_back({ (*nextOnTime++)->statement->ticket, false });
            ++sincePutOff;
            continue;
        }
        auto& next = isByUse ? nextByUse : nextByPriority;
        while ((*next)->hasPlace)
            ++next;
        (*next)->hasPlace = true;
        order.push_back({ (*next)->statement->ticket, true });
        --putOffLeft;
        isByUse = !isByUse;
        sincePutOff = 0;
    }
    return order;
}

void StatementQueue::countStart(const std::string& organisation, TimePoint now)
{
    RecentUse& use = this->recentUse[organisation];
    use = { use.at(now) + 1, now };
    if (this->recentUse.size() > 2 * this->statements.size() + 64)
        std::erase_if(this->recentUse, [&](const auto& each) { return each.second.at(now) < minUse; });
}

void StatementQueue::recordStart(const PlannedStart& start, TimePoint now)
{
    const auto found = this->statements.find(start.ticket);
    if (found == this->statements.end())
        return;
    const QueuedStatement statement = found->second;
    if (!statement.isControl) {
        for (const auto& [priority, count] : this->waitingByPriority) {
            double& share = this->startShares.try_emplace(priority, 1).first->second;
            share += ((priority == statement.priority ? 1 : 0) - share) / startShareWeight;
        }
    }
    this->remove(start.ticket);
    if (statement.isControl)
        return;
    this->countStart(statement.organisation, now);
    ++this->startsSincePutOff;
    if (!start.isPutOff)
        return;
    this->startsSincePutOff = 0;
    this->isNextByUse = !this->isNextByUse;
}

void StatementQueue::recordStart(const std::string& organisation, TimePoint now) { this->countStart(organisation, now); }

bool StatementQueue::isHopeless(uint64_t ticket, TimePoint now, const ServerPace& pace) const
{
    const auto found = this->statements.find(ticket);
    if (found == this->statements.end())
        return false;
    // The last place of the queue bounds the wait, which avoids a plan while the queue is short.
    if (!exceeds(pace.silence + this->observedWait(found->second.priority, this->statements.size(), pace), found->second, now))
        return false;
    const std::vector<uint64_t> all = this->hopeless(now, pace);
    return std::find(all.begin(), all.end(), ticket) != all.end();
}

Duration StatementQueue::observedWait(uint32_t priority, size_t place, const ServerPace& pace) const
{
    const auto found = this->startShares.find(priority);
    const double share = found == this->startShares.end() ? 1 : std::max(found->second, minStartShare);
    return Duration(static_cast<Duration::rep>(static_cast<double>(pace.startInterval.count()) * static_cast<double>(place) / share));
}

std::vector<uint64_t> StatementQueue::hopeless(TimePoint now, const ServerPace& pace) const
{
    std::vector<uint64_t> found;
    Duration wait = pace.silence;
    std::map<uint32_t, size_t> before;
    for (const auto& [ticket, isPutOff] : this->startOrder(now, pace)) {
        const QueuedStatement& statement = this->statements.at(ticket);
        // Statements that are put off also wait for others that have not arrived yet, as the recent starts show.
        size_t& sameBefore = before[statement.priority];
        const Duration expected = isPutOff ? std::max(wait, pace.silence + this->observedWait(statement.priority, sameBefore, pace)) : wait;
        // A statement that is refused delays none behind it.
        if (exceeds(expected, statement, now)) {
            found.push_back(ticket);
            continue;
        }
        wait += pace.startInterval;
        ++sameBefore;
    }
    return found;
}

TimePoint StatementQueue::nextReturnAt(TimePoint now, const ServerPace& pace)
{
    const Duration interval = std::max<Duration>(pace.startInterval, std::chrono::milliseconds(1));
    const TimePoint drained = now + pace.silence + interval * static_cast<Duration::rep>(this->statements.size());
    // Beyond the spread, and once the queue is empty, the times begin anew: most of those who were told a time earlier are back by then.
    if (this->statements.empty() || this->lastReturnAt >= drained + maxReturnSpread)
        this->lastReturnAt = drained;
    this->lastReturnAt = std::max(drained, this->lastReturnAt) + interval;
    return this->lastReturnAt;
}

}
