#include "foxtailtrail/proxy/DirectPool.h"

#include "foxtailtrail/proxy/BootClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtail {

namespace {

    // Connecting across regions takes about 30 ms. An attempt exceeds this timeout when the accept queue is full or the host does
    // not respond.
    constexpr Duration openTimeout = std::chrono::milliseconds(500);
    // Interval after which it is decided again whether a waiter needs a connection of its own.
    constexpr Duration openingReviewInterval = std::chrono::milliseconds(30);
    // Idle timeout of connections beyond the core size.
    constexpr Duration surplusIdleTimeout = std::chrono::milliseconds(1500);
    // Idle timeout of all other connections. Backend servers close idle connections after a minute; this VM closes them first.
    constexpr Duration idleTimeout = std::chrono::seconds(20);

}

DirectPool::DirectPool(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& entry, PoolListener listener)
    : LinkPool(entry)
    , context(context)
    , codec(codec)
    , listener(std::move(listener))
    , random(static_cast<std::minstd_rand::result_type>(bootNow().time_since_epoch().count()))
{
    this->window.setCeiling(this->throughput.statementsToKeepBusy(entry.slots));
}

void DirectPool::recordBusy()
{
    const TimePoint now = bootNow();
    const double jitter = std::uniform_real_distribution<double>(0, 1)(this->random);
    this->busyUntil = std::max(this->busyUntil, this->window.recordBusy(now, jitter));
    this->serveWaitersAt(this->busyUntil);
}

void DirectPool::serveWaitersAt(TimePoint time)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, std::max(Duration(0), time - bootNow()));
    timer->async_wait([self = this->shared_from_this(), timer](const boost::system::error_code&) { self->serveWaiters(); });
}

uint64_t DirectPool::acquire(const LinkRequest& request, AcquireCallback callback)
{
    if (this->isRetired) {
        callback(AcquireOutcome::Gone, nullptr);
        return 0;
    }
    const TimePoint now = bootNow();
    // Waiting requests have precedence over the new one.
    if (this->waiters.empty() && this->maySendStatement(now)) {
        if (std::shared_ptr<DirectLink> freeLink = this->takeFreeLink(request.organisation)) {
            if (!request.isControl)
                this->queue.recordStart(request.organisation, now);
            callback(AcquireOutcome::Acquired, freeLink);
            return 0;
        }
    }
    const uint64_t ticket = this->nextTicket++;
    this->queue.push({ ticket, request.organisation, request.priority, now, request.objectiveAt, request.giveUpAt, request.isControl });
    if (this->queue.isHopeless(ticket, now, this->pace(now))) {
        this->queue.remove(ticket);
        this->listener.onRefusal("no hope");
        callback(AcquireOutcome::Exhausted, nullptr);
        return 0;
    }
    this->waiters.emplace(ticket, Waiter { request, now, std::move(callback) });
    if (this->inUseByOrganisation.count(request.organisation) > 0)
        this->serveWaitersAt(now + openingReviewInterval);
    this->serveWaiters();
    return ticket;
}

ServerPace DirectPool::pace(TimePoint now) const
{
    TimePoint oldestSentAt = now;
    for (const auto& [link, inUseLink] : this->inUse) {
        if (link->outstandingStatements() > 0)
            oldestSentAt = std::min(oldestSentAt, link->oldestSentAt());
    }
    return this->throughput.pace(this->window.size(), this->slotsInUse() >= this->window.size(), oldestSentAt, now);
}

std::optional<TimePoint> DirectPool::nextReturnAt()
{
    const TimePoint now = bootNow();
    return this->queue.nextReturnAt(now, this->pace(now));
}

void DirectPool::cancel(uint64_t ticket) { this->removeWaiter(ticket); }

LinkPool::AcquireCallback DirectPool::removeWaiter(uint64_t ticket)
{
    this->queue.remove(ticket);
    const auto waiter = this->waiters.extract(ticket);
    return waiter ? std::move(waiter.mapped().callback) : nullptr;
}

std::shared_ptr<DirectLink> DirectPool::takeFreeLink(const std::string& organisation)
{
    for (auto link = this->idle.rbegin(); link != this->idle.rend(); ++link) {
        if ((*link)->organisation() != organisation)
            continue;
        std::shared_ptr<DirectLink> freeLink = *link;
        this->idle.erase(std::next(link).base());
        if (!freeLink->isReusable())
            return this->takeFreeLink(organisation);
        const TimePoint now = bootNow();
        this->inUse.emplace(freeLink.get(), InUseLink { freeLink, now });
        this->connectionValue.recordUse(organisation, now);
        ++this->inUseByOrganisation[organisation];
        return freeLink;
    }
    return nullptr;
}

bool DirectPool::hasFreeLink(const std::string& organisation) const
{
    return std::any_of(this->idle.begin(), this->idle.end(),
        [&](const std::shared_ptr<DirectLink>& link) { return link->organisation() == organisation; });
}

void DirectPool::serveWaiters()
{
    // A callback that releases its connection at once calls this function again; the running loop then serves the next waiter.
    if (this->isServingWaiters)
        return;
    const auto self = this->shared_from_this();
    this->isServingWaiters = true;
    for (TimePoint now = bootNow(); !this->waiters.empty() && !this->isRetired && this->maySendStatement(now); now = bootNow()) {
        if (!this->serveNextWaiter(now))
            break;
    }
    this->isServingWaiters = false;
}

bool DirectPool::serveNextWaiter(TimePoint now)
{
    // Copies, because taking a link closes those that cannot be reused.
    std::set<std::string> idleOrganisations;
    for (const auto& link : this->idle)
        idleOrganisations.insert(link->organisation());
    std::map<std::string_view, size_t> waitersBefore;
    const size_t occupiedSlots = this->slotsInUse();
    for (const PlannedStart& start : this->queue.startOrder(now, this->pace(now))) {
        const Waiter& waiter = this->waiters.at(start.ticket);
        const bool mayHaveFreeLink = idleOrganisations.count(waiter.request.organisation) > 0;
        if (const auto freeLink = mayHaveFreeLink ? this->takeFreeLink(waiter.request.organisation) : nullptr) {
            this->queue.recordStart(start, now);
            this->listener.onWaited(now - waiter.queuedAt);
            const AcquireCallback callback = this->removeWaiter(start.ticket);
            callback(AcquireOutcome::Acquired, freeLink);
            return true;
        }
        // An opening occupies a slot of the server, like a statement.
        const size_t occupied = occupiedSlots + this->pendingOpenings.size();
        if (now >= this->limit.pausedUntil() && occupied < this->window.size())
            this->considerOpening(waiter, waitersBefore[waiter.request.organisation]++, now);
    }
    return false;
}

void DirectPool::considerOpening(const Waiter& waiter, size_t waitersBefore, TimePoint now)
{
    // A connection that is being opened serves the first waiter of its organisation.
    const std::string& organisation = waiter.request.organisation;
    const auto pendingCount = static_cast<size_t>(std::count_if(this->pendingOpenings.begin(), this->pendingOpenings.end(),
        [&](const PendingOpening& pendingOpening) { return pendingOpening.link->organisation() == organisation; }));
    if (waitersBefore < pendingCount)
        return;
    // A connection whose transaction is idle between statements may stay in use for long.
    const auto busyCount = static_cast<size_t>(std::count_if(this->inUse.begin(), this->inUse.end(), [&](const auto& inUseLink) {
        return inUseLink.second.link->organisation() == organisation && inUseLink.first->outstandingStatements() > 0;
    }));
    const bool mustReplace = this->limit.mustReplace(this->size(), now);
    if (!this->openingPolicy.shouldOpen(busyCount, waitersBefore - pendingCount, now - waiter.queuedAt, mustReplace))
        return;
    // Closes an idle connection, possibly of another organisation, to make room.
    if (mustReplace) {
        if (this->idle.empty())
            return;
        this->closeLeastValuableIdle();
    }
    this->openFor(organisation, now);
}

void DirectPool::closeLeastValuableIdle()
{
    const TimePoint now = bootNow();
    std::map<std::string_view, size_t> countByOrganisation;
    for (const auto& link : this->idle)
        ++countByOrganisation[link->organisation()];
    const auto valueOf = [&](const std::shared_ptr<DirectLink>& link) {
        const auto inUseCount = this->inUseByOrganisation.find(link->organisation());
        const size_t held
            = countByOrganisation[link->organisation()] + (inUseCount == this->inUseByOrganisation.end() ? 0 : inUseCount->second);
        return this->connectionValue.valueOf(link->organisation(), held, now);
    };
    // Of equal ones, the first has been idle for longest.
    auto leastValuable = this->idle.begin();
    double leastValue = valueOf(*leastValuable);
    for (auto link = std::next(leastValuable); link != this->idle.end(); ++link) {
        const double value = valueOf(*link);
        if (value < leastValue) {
            leastValuable = link;
            leastValue = value;
        }
    }
    const std::shared_ptr<DirectLink> closed = *leastValuable;
    this->idle.erase(leastValuable);
    closed->closeGracefully();
}

bool DirectPool::hasWaiter(const std::string& organisation) const
{
    return std::any_of(
        this->waiters.begin(), this->waiters.end(), [&](const auto& waiter) { return waiter.second.request.organisation == organisation; });
}

void DirectPool::openFor(const std::string& organisation, TimePoint now)
{
    auto self = this->shared_from_this();
    auto link = DirectLink::open(this->context, this->codec, this->server(), organisation,
        [self](LinkOpenOutcome openOutcome, const std::shared_ptr<DirectLink>& openedLink) {
            self->handleOpenOutcome(openOutcome, openedLink);
        });
    this->limit.recordAttempt(this->size(), now);
    this->pendingOpenings.push_back({ std::move(link), now, now + openTimeout });
}

void DirectPool::handleOpenOutcome(LinkOpenOutcome openOutcome, const std::shared_ptr<DirectLink>& link)
{
    const auto pendingOpening = std::find_if(
        this->pendingOpenings.begin(), this->pendingOpenings.end(), [&](const PendingOpening& each) { return each.link == link; });
    if (pendingOpening != this->pendingOpenings.end()) {
        if (openOutcome == LinkOpenOutcome::Opened)
            this->openingPolicy.recordOpening(bootNow() - pendingOpening->startedAt);
        this->pendingOpenings.erase(pendingOpening);
    }
    this->listener.onOpening(this->server().id, openOutcome);
    if (openOutcome == LinkOpenOutcome::Opened) {
        link->becameIdleAt = bootNow();
        this->idle.push_back(link);
        this->limit.recordOpening(this->inUse.size() + this->idle.size(), link->becameIdleAt);
        this->serveWaiters();
        return;
    }
    if (openOutcome == LinkOpenOutcome::TooManyConnections) {
        // The waiters are served by connections that become free, or by the next opening.
        const double jitter = std::uniform_real_distribution<double>(0, 1)(this->random);
        this->limit.recordRefusal(this->inUse.size() + this->idle.size(), bootNow(), jitter);
        this->serveWaitersAt(this->limit.pausedUntil());
        return;
    }
    this->failWaiters(openOutcome == LinkOpenOutcome::Refused ? AcquireOutcome::Refused
            : openOutcome == LinkOpenOutcome::Misrouted       ? AcquireOutcome::Gone
                                                              : AcquireOutcome::Unreachable);
}

void DirectPool::failWaiters(AcquireOutcome outcome)
{
    const auto failedWaiters = std::exchange(this->waiters, {});
    for (const auto& [ticket, waiter] : failedWaiters)
        this->queue.remove(ticket);
    for (const auto& [ticket, waiter] : failedWaiters)
        waiter.callback(outcome, nullptr);
}

size_t DirectPool::slotsInUse() const
{
    return static_cast<size_t>(std::count_if(
        this->inUse.begin(), this->inUse.end(), [](const auto& inUseLink) { return inUseLink.first->outstandingStatements() > 0; }));
}

void DirectPool::recordReply(TimePoint sentAt)
{
    this->throughput.recordReply(sentAt, bootNow());
    this->window.recordReply();
    this->window.setCeiling(this->throughput.statementsToKeepBusy(this->server().slots));
    // The reply frees a slot of the server, even when a transaction keeps the connection.
    if (!this->waiters.empty())
        this->serveWaiters();
}

void DirectPool::recordServiceTime(Duration elapsed, bool hasFailed)
{
    // The link's own statement has ended already and no longer counts as running.
    this->serviceTime.recordEnd(elapsed, this->slotsInUse() + 1, this->server().slots, hasFailed, bootNow());
}

std::optional<ServerLoad> DirectPool::load() const
{
    return ServerLoad { static_cast<uint32_t>(this->slotsInUse() + this->pendingOpenings.size()),
        static_cast<uint32_t>(this->waiters.size()), std::max(1U, this->server().slots), this->serviceTime.mean(), bootNow() };
}

std::shared_ptr<DirectLink> DirectPool::removeFromInUse(const std::shared_ptr<BackendLink>& link)
{
    const auto inUseLink = this->inUse.find(link.get());
    assert(inUseLink != this->inUse.end());
    std::shared_ptr<DirectLink> removedLink = std::move(inUseLink->second.link);
    this->openingPolicy.recordUse(bootNow() - inUseLink->second.takenAt);
    this->inUse.erase(inUseLink);
    removedLink->setListener(nullptr);
    const auto count = this->inUseByOrganisation.find(removedLink->organisation());
    if (--count->second == 0)
        this->inUseByOrganisation.erase(count);
    return removedLink;
}

void DirectPool::release(const std::shared_ptr<BackendLink>& releasedLink)
{
    const std::shared_ptr<DirectLink> link = this->removeFromInUse(releasedLink);
    // Surplus connections are closed, because other VMs cannot use what this VM holds beyond its own share of the server's maximum.
    const bool isSurplus = this->size() >= this->coreSize && !this->hasWaiter(link->organisation());
    if (!link->isReusable() || this->isRetired) {
        link->close();
    } else {
        link->becameIdleAt = bootNow();
        this->idle.push_back(link);
        if (isSurplus)
            this->closeLeastValuableIdle();
    }
    this->serveWaiters();
}

void DirectPool::drop(const std::shared_ptr<BackendLink>& link)
{
    // A statement that was given up has taken at least this long. Without it, the mean of a slow server would consist of the statements
    // that happened to be fast.
    if (const std::optional<TimePoint> sentAt = link->oldestUnansweredAt())
        this->recordServiceTime(bootNow() - *sentAt, false);
    this->removeFromInUse(link)->close();
    this->serveWaiters();
}

void DirectPool::setSizeLimits(size_t newMaxSize, size_t newCoreSize)
{
    this->limit.setMaximum(std::max<size_t>(1, newMaxSize));
    this->coreSize = newCoreSize;
}

void DirectPool::sweep(TimePoint now)
{
    std::list<std::shared_ptr<DirectLink>> expiredOpenings;
    for (const PendingOpening& pendingOpening : this->pendingOpenings) {
        if (pendingOpening.deadline <= now)
            expiredOpenings.push_back(pendingOpening.link);
    }
    for (const auto& link : expiredOpenings)
        link->cancelOpening();

    this->rejectHopelessWaiters(now);

    this->idle.remove_if([&](const std::shared_ptr<DirectLink>& link) { return !link->isReusable(); });
    while (!this->idle.empty()) {
        const Duration limit = this->size() > this->coreSize ? surplusIdleTimeout : idleTimeout;
        if (this->idle.front()->becameIdleAt + limit > now)
            break;
        this->idle.front()->close();
        this->idle.pop_front();
    }
    if (!this->waiters.empty())
        this->serveWaiters();
}

void DirectPool::rejectHopelessWaiters(TimePoint now)
{
    if (this->waiters.empty())
        return;
    std::vector<std::pair<uint64_t, std::string_view>> rejected;
    for (const auto& [ticket, waiter] : this->waiters) {
        if (waiter.request.giveUpAt <= now)
            rejected.emplace_back(ticket, "expired");
    }
    for (const uint64_t ticket : this->queue.hopeless(now, this->pace(now)))
        rejected.emplace_back(ticket, "no hope");
    for (const auto& [ticket, reason] : rejected) {
        // The callback of another one may have cancelled it, and a ticket may be rejected for both reasons.
        const AcquireCallback callback = this->removeWaiter(ticket);
        if (!callback)
            continue;
        this->listener.onRefusal(reason);
        callback(AcquireOutcome::Exhausted, nullptr);
    }
}

void DirectPool::retire()
{
    this->isRetired = true;
    for (const auto& link : this->idle)
        link->close();
    this->idle.clear();
    this->failWaiters(AcquireOutcome::Gone);
}

}
