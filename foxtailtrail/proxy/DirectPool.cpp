#include "foxtailtrail/proxy/DirectPool.h"

#include "foxtailtrail/proxy/BootClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <utility>

namespace foxtail {

namespace {

    // Connecting across regions takes about 30 ms. An attempt exceeds this timeout when the accept queue is full or the host does
    // not respond.
    constexpr Duration openTimeout = std::chrono::milliseconds(500);
    // Time for which a statement waits for a connection that its organisation already uses before another one is opened. An opening
    // occupies a slot of the server for 12 ms.
    constexpr Duration linkReuseTimeout = std::chrono::milliseconds(30);
    // Idle timeout of connections beyond the core size.
    constexpr Duration surplusIdleTimeout = std::chrono::milliseconds(1500);
    // Idle timeout of all other connections. Backend servers close idle connections after a minute; this VM closes them first.
    constexpr Duration idleTimeout = std::chrono::seconds(20);

}

DirectPool::DirectPool(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& entry, OpenListener listener)
    : LinkPool(entry)
    , context(context)
    , codec(codec)
    , openListener(std::move(listener))
    , random(static_cast<std::minstd_rand::result_type>(bootNow().time_since_epoch().count()))
{
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
            callback(AcquireOutcome::Acquired, freeLink);
            return 0;
        }
    }
    const uint64_t ticket = this->nextTicket++;
    // A lower number is a higher priority. Requests of equal priority are served in the order of arrival.
    const auto insertionPoint = std::find_if(
        this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) { return waiter.request.priority > request.priority; });
    this->waiters.insert(insertionPoint, Waiter { ticket, request, now, std::move(callback) });
    if (this->inUseByOrganisation.count(request.organisation) > 0)
        this->serveWaitersAt(now + linkReuseTimeout);
    this->serveWaiters();
    return ticket;
}

void DirectPool::cancel(uint64_t ticket)
{
    this->waiters.remove_if([&](const Waiter& waiter) { return waiter.ticket == ticket; });
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
        this->inUse.emplace(freeLink.get(), freeLink);
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

std::list<DirectPool::Waiter>::iterator DirectPool::nextWaiter()
{
    // Within a priority, selects the organisation with the fewest connections in use; connections that are being opened count as in
    // use.
    const TimePoint now = bootNow();
    std::map<std::string, size_t> usedByOrganisation = this->inUseByOrganisation;
    for (const PendingOpening& pendingOpening : this->pendingOpenings)
        ++usedByOrganisation[pendingOpening.link->organisation()];
    auto selected = this->waiters.end();
    std::map<std::string, size_t> pendingByOrganisation;
    for (const PendingOpening& pendingOpening : this->pendingOpenings)
        ++pendingByOrganisation[pendingOpening.link->organisation()];
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
        if (selected != this->waiters.end() && waiter->request.priority > selected->request.priority)
            break;
        // An organisation's connection that is in use usually becomes free before a new one could be opened.
        const bool canWaitForReuse
            = now<waiter->queuedAt + linkReuseTimeout&& this->inUseByOrganisation.count(waiter->request.organisation)> 0;
        if (canWaitForReuse && !this->hasFreeLink(waiter->request.organisation))
            continue;
        // A connection that is being opened serves the first waiter of its organisation.
        size_t& pendingCount = pendingByOrganisation[waiter->request.organisation];
        if (pendingCount > 0 && !this->hasFreeLink(waiter->request.organisation)) {
            --pendingCount;
            continue;
        }
        if (selected == this->waiters.end()
            || usedByOrganisation[waiter->request.organisation] < usedByOrganisation[selected->request.organisation])
            selected = waiter;
    }
    return selected;
}

void DirectPool::serveWaiters()
{
    // A callback that releases its connection at once calls this function again; the running loop then serves the next waiter.
    if (this->isServingWaiters)
        return;
    const auto self = this->shared_from_this();
    this->isServingWaiters = true;
    this->serveEligibleWaiters();
    this->isServingWaiters = false;
}

void DirectPool::serveEligibleWaiters()
{
    while (!this->isRetired && this->maySendStatement(bootNow())) {
        const auto waiter = this->nextWaiter();
        if (waiter == this->waiters.end())
            return;
        if (std::shared_ptr<DirectLink> freeLink = this->takeFreeLink(waiter->request.organisation)) {
            const AcquireCallback callback = std::move(waiter->callback);
            this->waiters.erase(waiter);
            callback(AcquireOutcome::Acquired, freeLink);
            continue;
        }
        // An opening occupies a slot of the server, like a statement.
        const TimePoint now = bootNow();
        if (now < this->limit.pausedUntil() || this->slotsInUse() + this->pendingOpenings.size() >= this->window.size())
            return;
        // Closes an idle connection, possibly of another organisation, to make room.
        if (this->limit.mustReplace(this->size(), now)) {
            if (this->idle.empty())
                return;
            this->closeLongestIdle();
        }
        this->openFor(waiter->request.organisation);
    }
}

void DirectPool::closeLongestIdle()
{
    const std::shared_ptr<DirectLink> longestIdle = this->idle.front();
    this->idle.pop_front();
    longestIdle->closeGracefully();
}

bool DirectPool::hasWaiter(const std::string& organisation) const
{
    return std::any_of(
        this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) { return waiter.request.organisation == organisation; });
}

void DirectPool::openFor(const std::string& organisation)
{
    auto self = this->shared_from_this();
    auto link = DirectLink::open(this->context, this->codec, this->server(), organisation,
        [self](LinkOpenOutcome openOutcome, const std::shared_ptr<DirectLink>& openedLink) {
            self->handleOpenOutcome(openOutcome, openedLink);
        });
    const TimePoint now = bootNow();
    this->limit.recordAttempt(this->size(), now);
    this->pendingOpenings.push_back({ std::move(link), now + openTimeout });
}

void DirectPool::handleOpenOutcome(LinkOpenOutcome openOutcome, const std::shared_ptr<DirectLink>& link)
{
    this->pendingOpenings.remove_if([&](const PendingOpening& pendingOpening) { return pendingOpening.link == link; });
    this->openListener(this->server().id, openOutcome);
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
    std::list<Waiter> failedWaiters;
    failedWaiters.swap(this->waiters);
    for (Waiter& waiter : failedWaiters)
        waiter.callback(outcome, nullptr);
}

size_t DirectPool::slotsInUse() const
{
    return static_cast<size_t>(std::count_if(
        this->inUse.begin(), this->inUse.end(), [](const auto& inUseLink) { return inUseLink.first->outstandingStatements() > 0; }));
}

void DirectPool::recordReply()
{
    this->window.recordReply();
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
    std::shared_ptr<DirectLink> removedLink = std::move(inUseLink->second);
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
    if (!link->isReusable() || this->isRetired || (isSurplus && this->idle.empty())) {
        link->close();
    } else {
        if (isSurplus)
            this->closeLongestIdle();
        link->becameIdleAt = bootNow();
        this->idle.push_back(link);
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

    std::list<Waiter> expiredWaiters;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        auto next = std::next(waiter);
        if (waiter->request.giveUpAt <= now)
            expiredWaiters.splice(expiredWaiters.end(), this->waiters, waiter);
        waiter = next;
    }
    for (Waiter& waiter : expiredWaiters)
        waiter.callback(AcquireOutcome::Exhausted, nullptr);

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

void DirectPool::retire()
{
    this->isRetired = true;
    for (const auto& link : this->idle)
        link->close();
    this->idle.clear();
    this->failWaiters(AcquireOutcome::Gone);
}

}
