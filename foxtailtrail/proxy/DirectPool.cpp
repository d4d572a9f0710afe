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

DirectPool::DirectPool(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& entry, OpeningObserver observer)
    : ServerPool(entry)
    , context(context)
    , codec(codec)
    , observer(std::move(observer))
    , random(static_cast<std::minstd_rand::result_type>(bootNow().time_since_epoch().count()))
{
}

void DirectPool::noteBusy()
{
    const TimePoint now = bootNow();
    const double spread = std::uniform_real_distribution<double>(0, 1)(this->random);
    this->busyUntil = std::max(this->busyUntil, this->window.noteBusy(now, spread));
    this->serveWaitersAt(this->busyUntil);
}

void DirectPool::serveWaitersAt(TimePoint time)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, std::max(Duration(0), time - bootNow()));
    timer->async_wait([self = this->shared_from_this(), timer](const boost::system::error_code&) { self->serveWaiters(); });
}

uint64_t DirectPool::acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, Callback callback)
{
    if (this->retired) {
        callback(Acquisition::Gone, nullptr);
        return 0;
    }
    const TimePoint now = bootNow();
    // Those that wait go first.
    if (this->waiters.empty() && this->mayStart(now)) {
        if (std::shared_ptr<DirectLink> free = this->takeFree(organisation)) {
            callback(Acquisition::Acquired, free);
            return 0;
        }
    }
    const uint64_t ticket = this->nextTicket++;
    // Higher priorities first, in the order of arrival within one.
    const auto place
        = std::find_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) { return waiter.priority > priority; });
    this->waiters.insert(place, Waiter { ticket, organisation, priority, now, giveUpAt, std::move(callback) });
    if (this->inUseBy.count(organisation) > 0)
        this->serveWaitersAt(now + reuseWait);
    this->serveWaiters();
    return ticket;
}

void DirectPool::cancel(uint64_t ticket)
{
    this->waiters.remove_if([&](const Waiter& waiter) { return waiter.ticket == ticket; });
}

std::shared_ptr<DirectLink> DirectPool::takeFree(const std::string& organisation)
{
    for (auto link = this->idle.rbegin(); link != this->idle.rend(); ++link) {
        if ((*link)->organisation() != organisation)
            continue;
        std::shared_ptr<DirectLink> free = *link;
        this->idle.erase(std::next(link).base());
        if (!free->isClean())
            return this->takeFree(organisation);
        this->inUse.emplace(free.get(), free);
        ++this->inUseBy[organisation];
        return free;
    }
    return nullptr;
}

bool DirectPool::hasFree(const std::string& organisation) const
{
    return std::any_of(this->idle.begin(), this->idle.end(),
        [&](const std::shared_ptr<DirectLink>& link) { return link->organisation() == organisation; });
}

std::list<DirectPool::Waiter>::iterator DirectPool::nextWaiter()
{
    // Within a priority, the organisation that uses the server least goes first; connections being opened for it count as used.
    const TimePoint now = bootNow();
    std::map<std::string, size_t> used = this->inUseBy;
    for (const Opening& each : this->opening)
        ++used[each.link->organisation()];
    auto best = this->waiters.end();
    std::map<std::string, size_t> openings;
    for (const Opening& each : this->opening)
        ++openings[each.link->organisation()];
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
        if (best != this->waiters.end() && waiter->priority > best->priority)
            break;
        // A connection of the same organisation that is in use is mostly free again before a new one could be opened.
        const bool mayWait = now<waiter->since + reuseWait&& this->inUseBy.count(waiter->organisation)> 0;
        if (mayWait && !this->hasFree(waiter->organisation))
            continue;
        // A connection that is being opened serves the first waiter of its organisation.
        size_t& pending = openings[waiter->organisation];
        if (pending > 0 && !this->hasFree(waiter->organisation)) {
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
    while (!this->retired && this->mayStart(bootNow())) {
        const auto waiter = this->nextWaiter();
        if (waiter == this->waiters.end())
            return;
        if (std::shared_ptr<DirectLink> free = this->takeFree(waiter->organisation)) {
            const Callback callback = std::move(waiter->callback);
            this->waiters.erase(waiter);
            callback(Acquisition::Acquired, free);
            continue;
        }
        // An opening takes a slot of the server, like a statement.
        if (bootNow() < this->fullUntil || this->running() + this->opening.size() >= this->window.size())
            return;
        // A free connection of another organisation makes room.
        if (this->size() >= this->budget) {
            if (this->idle.empty())
                return;
            this->closeOldest();
        }
        this->openFor(waiter->organisation);
    }
}

void DirectPool::closeOldest()
{
    const std::shared_ptr<DirectLink> oldest = this->idle.front();
    this->idle.pop_front();
    oldest->sayFarewell();
}

bool DirectPool::isWanted(const std::string& organisation) const
{
    return std::any_of(
        this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) { return waiter.organisation == organisation; });
}

void DirectPool::openFor(const std::string& organisation)
{
    auto self = this->shared_from_this();
    auto link = DirectLink::open(this->context, this->codec, this->server(), organisation,
        [self](LinkOpening how, const std::shared_ptr<DirectLink>& openedLink) { self->opened(how, openedLink); });
    this->opening.push_back({ std::move(link), bootNow() + openTimeout });
}

void DirectPool::opened(LinkOpening how, const std::shared_ptr<DirectLink>& link)
{
    this->opening.remove_if([&](const Opening& each) { return each.link == link; });
    this->observer(this->server().id, how);
    if (how == LinkOpening::Opened) {
        link->idleSince = bootNow();
        this->idle.push_back(link);
        this->serveWaiters();
        return;
    }
    if (how == LinkOpening::TooMany) {
        // Those that wait are served by connections that come free, or by the next opening.
        this->fullUntil = bootNow() + fullPause;
        return;
    }
    this->failWaiters(how == LinkOpening::Refused ? Acquisition::Refused
            : how == LinkOpening::Misrouted       ? Acquisition::Gone
                                                  : Acquisition::Unreachable);
}

void DirectPool::failWaiters(Acquisition outcome)
{
    std::list<Waiter> failed;
    failed.swap(this->waiters);
    for (Waiter& waiter : failed)
        waiter.callback(outcome, nullptr);
}

size_t DirectPool::running() const
{
    return static_cast<size_t>(
        std::count_if(this->inUse.begin(), this->inUse.end(), [](const auto& used) { return used.first->outstanding() > 0; }));
}

void DirectPool::noteAnswer()
{
    this->window.noteAnswer();
    // The server has a slot again, also when a transaction keeps the connection.
    if (!this->waiters.empty())
        this->serveWaiters();
}

std::shared_ptr<DirectLink> DirectPool::endUse(const std::shared_ptr<BackendLink>& link)
{
    const auto used = this->inUse.find(link.get());
    assert(used != this->inUse.end());
    std::shared_ptr<DirectLink> ended = std::move(used->second);
    this->inUse.erase(used);
    ended->setUser(nullptr);
    const auto count = this->inUseBy.find(ended->organisation());
    if (--count->second == 0)
        this->inUseBy.erase(count);
    return ended;
}

void DirectPool::release(const std::shared_ptr<BackendLink>& given)
{
    const std::shared_ptr<DirectLink> link = this->endUse(given);
    // What this VM holds beyond its own part of the server's maximum is missing to others.
    const bool isSurplus = this->size() >= this->keptIdle && !this->isWanted(link->organisation());
    if (!link->isClean() || this->retired || (isSurplus && this->idle.empty())) {
        link->close();
    } else {
        if (isSurplus)
            this->closeOldest();
        link->idleSince = bootNow();
        this->idle.push_back(link);
    }
    this->serveWaiters();
}

void DirectPool::drop(const std::shared_ptr<BackendLink>& link)
{
    this->endUse(link)->close();
    this->serveWaiters();
}

void DirectPool::setBudget(size_t most, size_t kept)
{
    this->budget = std::max<size_t>(1, most);
    this->keptIdle = kept;
}

void DirectPool::sweep(TimePoint now)
{
    std::list<std::shared_ptr<DirectLink>> overdue;
    for (const Opening& each : this->opening) {
        if (each.deadline <= now)
            overdue.push_back(each.link);
    }
    for (const auto& link : overdue)
        link->abandonOpening();

    std::list<Waiter> late;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        auto next = std::next(waiter);
        if (waiter->giveUpAt <= now)
            late.splice(late.end(), this->waiters, waiter);
        waiter = next;
    }
    for (Waiter& waiter : late)
        waiter.callback(Acquisition::Full, nullptr);

    this->idle.remove_if([&](const std::shared_ptr<DirectLink>& link) { return !link->isClean(); });
    while (!this->idle.empty()) {
        const Duration limit = this->size() > this->keptIdle ? surplusIdleTime : maxIdleTime;
        if (this->idle.front()->idleSince + limit > now)
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
    this->failWaiters(Acquisition::Gone);
}

}
