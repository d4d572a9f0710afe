#include "foxtailtrail/proxy/DirectPool.h"

#include "foxtailtrail/proxy/BootClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <utility>

namespace foxtail {

namespace {

    // A connection across regions takes about 30 ms; a full accept queue or a silent machine takes longer than this.
    constexpr Duration openTimeout = std::chrono::milliseconds(500);
    // Pause before the next connection after the server refused one as too many.
    constexpr Duration fullPause = std::chrono::milliseconds(60);
    // A statement waits this long for a connection that its organisation uses before one is opened, which takes a slot of the server
    // for 12 ms.
    constexpr Duration reuseWait = std::chrono::milliseconds(30);
    // Idle connections beyond those that are kept are closed after this time.
    constexpr Duration surplusIdleTime = std::chrono::milliseconds(1500);
    // The backend servers close idle connections after a minute; this VM does so before.
    constexpr Duration maxIdleTime = std::chrono::seconds(20);

}

DirectPool::DirectPool(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& entry, OpenListener observer)
    : LinkPool(entry)
    , context(context)
    , codec(codec)
    , openListener(std::move(observer))
    , random(static_cast<std::minstd_rand::result_type>(bootNow().time_since_epoch().count()))
{
}

void DirectPool::recordBusy()
{
    const TimePoint now = bootNow();
    const double spread = std::uniform_real_distribution<double>(0, 1)(this->random);
    this->busyUntil = std::max(this->busyUntil, this->window.recordBusy(now, spread));
    this->serveWaitersAt(this->busyUntil);
}

void DirectPool::serveWaitersAt(TimePoint time)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, std::max(Duration(0), time - bootNow()));
    timer->async_wait([self = this->shared_from_this(), timer](const boost::system::error_code&) { self->serveWaiters(); });
}

uint64_t DirectPool::acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, AcquireCallback callback)
{
    if (this->retired) {
        callback(AcquireOutcome::Gone, nullptr);
        return 0;
    }
    const TimePoint now = bootNow();
    // Those that wait go first.
    if (this->waiters.empty() && this->maySendStatement(now)) {
        if (std::shared_ptr<DirectLink> free = this->takeFreeLink(organisation)) {
            callback(AcquireOutcome::Acquired, free);
            return 0;
        }
    }
    const uint64_t ticket = this->nextTicket++;
    // Higher priorities first, in the order of arrival within one.
    const auto place
        = std::find_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) { return waiter.priority > priority; });
    this->waiters.insert(place, Waiter { ticket, organisation, priority, now, giveUpAt, std::move(callback) });
    if (this->inUseByOrganisation.count(organisation) > 0)
        this->serveWaitersAt(now + reuseWait);
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
        std::shared_ptr<DirectLink> free = *link;
        this->idle.erase(std::next(link).base());
        if (!free->isReusable())
            return this->takeFreeLink(organisation);
        this->inUse.emplace(free.get(), free);
        ++this->inUseByOrganisation[organisation];
        return free;
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
    // Within a priority, the organisation that uses the server least goes first; connections being opened for it count as used.
    const TimePoint now = bootNow();
    std::map<std::string, size_t> used = this->inUseByOrganisation;
    for (const PendingOpening& each : this->pendingOpenings)
        ++used[each.link->organisation()];
    auto best = this->waiters.end();
    std::map<std::string, size_t> openings;
    for (const PendingOpening& each : this->pendingOpenings)
        ++openings[each.link->organisation()];
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
        if (best != this->waiters.end() && waiter->priority > best->priority)
            break;
        // A connection of the same organisation that is in use is mostly free again before a new one could be opened.
        const bool mayWait = now<waiter->queuedAt + reuseWait&& this->inUseByOrganisation.count(waiter->organisation)> 0;
        if (mayWait && !this->hasFreeLink(waiter->organisation))
            continue;
        // A connection that is being opened serves the first waiter of its organisation.
        size_t& pending = openings[waiter->organisation];
        if (pending > 0 && !this->hasFreeLink(waiter->organisation)) {
            --pending;
            continue;
        }
        if (best == this->waiters.end() || used[waiter->organisation] < used[best->organisation])
            best = waiter;
    }
    return best;
}

void DirectPool::serveWaiters()
{
    // A waiter that gives its connection back at once comes here again; the loop then goes on for it.
    if (this->serving)
        return;
    const auto self = this->shared_from_this();
    this->serving = true;
    this->serveWhilePossible();
    this->serving = false;
}

void DirectPool::serveWhilePossible()
{
    while (!this->retired && this->maySendStatement(bootNow())) {
        const auto waiter = this->nextWaiter();
        if (waiter == this->waiters.end())
            return;
        if (std::shared_ptr<DirectLink> free = this->takeFreeLink(waiter->organisation)) {
            const AcquireCallback callback = std::move(waiter->callback);
            this->waiters.erase(waiter);
            callback(AcquireOutcome::Acquired, free);
            continue;
        }
        // An opening takes a slot of the server, like a statement.
        if (bootNow() < this->openBackoffUntil || this->slotsInUse() + this->pendingOpenings.size() >= this->window.size())
            return;
        // A free connection of another organisation makes room.
        if (this->size() >= this->maxSize) {
            if (this->idle.empty())
                return;
            this->closeLongestIdle();
        }
        this->openFor(waiter->organisation);
    }
}

void DirectPool::closeLongestIdle()
{
    const std::shared_ptr<DirectLink> oldest = this->idle.front();
    this->idle.pop_front();
    oldest->closeGracefully();
}

bool DirectPool::hasWaiter(const std::string& organisation) const
{
    return std::any_of(
        this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) { return waiter.organisation == organisation; });
}

void DirectPool::openFor(const std::string& organisation)
{
    auto self = this->shared_from_this();
    auto link = DirectLink::open(this->context, this->codec, this->server(), organisation,
        [self](LinkOpenOutcome how, const std::shared_ptr<DirectLink>& openedLink) { self->handleOpenOutcome(how, openedLink); });
    this->pendingOpenings.push_back({ std::move(link), bootNow() + openTimeout });
}

void DirectPool::handleOpenOutcome(LinkOpenOutcome how, const std::shared_ptr<DirectLink>& link)
{
    this->pendingOpenings.remove_if([&](const PendingOpening& each) { return each.link == link; });
    this->openListener(this->server().id, how);
    if (how == LinkOpenOutcome::Opened) {
        link->becameIdleAt = bootNow();
        this->idle.push_back(link);
        this->serveWaiters();
        return;
    }
    if (how == LinkOpenOutcome::TooManyConnections) {
        // Those that wait are served by connections that come free, or by the next opening.
        this->openBackoffUntil = bootNow() + fullPause;
        return;
    }
    this->failWaiters(how == LinkOpenOutcome::Refused ? AcquireOutcome::Refused
            : how == LinkOpenOutcome::Misrouted       ? AcquireOutcome::Gone
                                                      : AcquireOutcome::Unreachable);
}

void DirectPool::failWaiters(AcquireOutcome outcome)
{
    std::list<Waiter> failed;
    failed.swap(this->waiters);
    for (Waiter& waiter : failed)
        waiter.callback(outcome, nullptr);
}

size_t DirectPool::slotsInUse() const
{
    return static_cast<size_t>(
        std::count_if(this->inUse.begin(), this->inUse.end(), [](const auto& used) { return used.first->outstandingStatements() > 0; }));
}

void DirectPool::recordReply()
{
    this->window.recordReply();
    // The server has a slot again, also when a transaction keeps the connection.
    if (!this->waiters.empty())
        this->serveWaiters();
}

std::shared_ptr<DirectLink> DirectPool::removeFromInUse(const std::shared_ptr<BackendLink>& link)
{
    const auto used = this->inUse.find(link.get());
    assert(used != this->inUse.end());
    std::shared_ptr<DirectLink> ended = std::move(used->second);
    this->inUse.erase(used);
    ended->setListener(nullptr);
    const auto count = this->inUseByOrganisation.find(ended->organisation());
    if (--count->second == 0)
        this->inUseByOrganisation.erase(count);
    return ended;
}

void DirectPool::release(const std::shared_ptr<BackendLink>& given)
{
    const std::shared_ptr<DirectLink> link = this->removeFromInUse(given);
    // What this VM holds beyond its own part of the server's maximum is missing to others.
    const bool isSurplus = this->size() >= this->coreSize && !this->hasWaiter(link->organisation());
    if (!link->isReusable() || this->retired || (isSurplus && this->idle.empty())) {
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
    this->removeFromInUse(link)->close();
    this->serveWaiters();
}

void DirectPool::setSizeLimits(size_t most, size_t kept)
{
    this->maxSize = std::max<size_t>(1, most);
    this->coreSize = kept;
}

void DirectPool::sweep(TimePoint now)
{
    std::list<std::shared_ptr<DirectLink>> overdue;
    for (const PendingOpening& each : this->pendingOpenings) {
        if (each.deadline <= now)
            overdue.push_back(each.link);
    }
    for (const auto& link : overdue)
        link->cancelOpening();

    std::list<Waiter> late;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        auto next = std::next(waiter);
        if (waiter->giveUpAt <= now)
            late.splice(late.end(), this->waiters, waiter);
        waiter = next;
    }
    for (Waiter& waiter : late)
        waiter.callback(AcquireOutcome::Exhausted, nullptr);

    this->idle.remove_if([&](const std::shared_ptr<DirectLink>& link) { return !link->isReusable(); });
    while (!this->idle.empty()) {
        const Duration limit = this->size() > this->coreSize ? surplusIdleTime : maxIdleTime;
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
    this->retired = true;
    for (const auto& link : this->idle)
        link->close();
    this->idle.clear();
    this->failWaiters(AcquireOutcome::Gone);
}

}
