#include "foxtailtrail/server/HomeClient.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"

#include <algorithm>
#include <array>
#include <boost/fiber/future.hpp>

namespace foxtail {

namespace {

    constexpr std::array<std::string_view, 2> sourceNames { "primary", "replica" };

    json::object encodeLogPoint(const LogPoint& point) { return { { "term", point.term.value }, { "position", point.position.value } }; }

    Result<LogPoint> decodeLogPoint(const json::object& object)
    {
        BOOST_OUTCOME_TRY(const uint64_t term, unsignedMember(object, "term"));
        BOOST_OUTCOME_TRY(const uint64_t position, unsignedMember(object, "position"));
        return LogPoint { Term { term }, Position { position } };
    }

    uint64_t millisecondsUntil(TimePoint deadline, TimePoint now)
    {
        return deadline > now ? static_cast<uint64_t>(toMilliseconds(deadline - now)) : 0;
    }

    // Interval at which a call checks whether its home is still assumed alive.
    constexpr Duration liveCheckInterval = std::chrono::milliseconds(50);

    HasRun hasRunByName(std::string_view name)
    {
        for (const HasRun ran : { HasRun::No, HasRun::Yes }) {
            if (hasRunName(ran) == name)
                return ran;
        }
        return HasRun::Unknown;
    }

}

json::object encodeResolveRequest(const ResolveRequest& request, TimePoint now)
{
    json::object object { { "database", request.database.value }, { "organisation", request.organisation.value },
        { "requestId", request.requestId.value }, { "deadlineMs", millisecondsUntil(request.deadline, now) } };
    if (request.digest)
        object["digest"] = *request.digest;
    return object;
}

Result<ResolveRequest> decodeResolveRequest(const json::object& object, TimePoint now)
{
    ResolveRequest request;
    BOOST_OUTCOME_TRY(request.database.value, stringMember(object, "database"));
    BOOST_OUTCOME_TRY(request.organisation.value, stringMember(object, "organisation"));
    BOOST_OUTCOME_TRY(request.requestId.value, stringMember(object, "requestId"));
    BOOST_OUTCOME_TRY(const uint64_t deadline, unsignedMember(object, "deadlineMs"));
    request.deadline = now + std::chrono::milliseconds(deadline);
    if (object.contains("digest")) {
        BOOST_OUTCOME_TRY(request.digest, stringMember(object, "digest"));
    }
    return request;
}

json::object encodeResolutionResult(const ResolutionResult& result)
{
    json::object object { { "ran", hasRunName(result.ran) }, { "detail", result.detail } };
    if (result.answer)
        object["outcome"] = encodeOutcome(*result.answer);
    return object;
}

ResolutionResult decodeResolutionResult(const json::object& object)
{
    const Result<std::string> ran = stringMember(object, "ran");
    const Result<std::string> detail = stringMember(object, "detail");
    ResolutionResult result { ran ? hasRunByName(ran.value()) : HasRun::Unknown, std::nullopt, detail ? detail.value() : "" };
    const Result<json::object> outcome = objectMember(object, "outcome");
    if (outcome) {
        TransactionOutcome decoded = decodeOutcome(outcome.value());
        if (decoded)
            result.answer = std::move(decoded.value());
    }
    return result;
}

void encodeTargetedRead(const TargetedRead& targeted, json::object& parameters)
{
    json::object target { { "server", targeted.server.value }, { "source", sourceNames[static_cast<size_t>(targeted.target.source)] },
        { "confirmTerm", targeted.target.mustConfirmTerm } };
    if (targeted.target.requiredPosition)
        target["requirement"] = encodeLogPoint(*targeted.target.requiredPosition);
    parameters["target"] = std::move(target);
}

Result<std::optional<TargetedRead>> decodeTargetedRead(const json::object& parameters)
{
    if (!parameters.contains("target"))
        return std::optional<TargetedRead>();
    BOOST_OUTCOME_TRY(const json::object object, objectMember(parameters, "target"));
    TargetedRead targeted;
    BOOST_OUTCOME_TRY(targeted.server.value, stringMember(object, "server"));
    BOOST_OUTCOME_TRY(const std::string source, stringMember(object, "source"));
    BOOST_OUTCOME_TRY(targeted.target.mustConfirmTerm, booleanMember(object, "confirmTerm"));
    targeted.target.source = source == sourceNames[1] ? AnswerSource::Replica : AnswerSource::Primary;
    if (object.contains("requirement")) {
        BOOST_OUTCOME_TRY(const json::object point, objectMember(object, "requirement"));
        BOOST_OUTCOME_TRY(targeted.target.requiredPosition, decodeLogPoint(point));
    }
    return std::optional<TargetedRead>(std::move(targeted));
}

json::object encodeHomeResponse(const HomeResponse& response)
{
    return { { "outcome", encodeOutcome(*response.outcome) }, { "primaryRegion", response.primaryRegion.value } };
}

HomeResponse decodeHomeResponse(const json::object& object)
{
    HomeResponse response;
    response.mayHaveBeenSent = true;
    const Result<json::object> outcome = objectMember(object, "outcome");
    if (outcome)
        response.outcome = decodeOutcome(outcome.value());
    const Result<std::string> region = stringMember(object, "primaryRegion");
    if (region)
        response.primaryRegion.value = region.value();
    return response;
}

HomeClient::HomeClient(VmId self, Region ownRegion, PeerClient& peers, const SnapshotHolder& snapshotHolder, LocalHomes local)
    : self(std::move(self))
    , ownRegion(std::move(ownRegion))
    , peers(peers)
    , snapshots(snapshotHolder)
    , localHomes(std::move(local))
{
}

Region HomeClient::regionFor(const DatabaseId& database, TransactionKind kind) const
{
    const auto snapshot = this->snapshots.current();
    std::map<Region, size_t> serverCounts;
    if (snapshot->configuration) {
        const auto found = snapshot->configuration->databases.find(database);
        if (found != snapshot->configuration->databases.end()) {
            for (const BackendServer& server : found->second.servers)
                ++serverCounts[server.region];
        }
    }
    if (kind == TransactionKind::Read && serverCounts.contains(this->ownRegion))
        return this->ownRegion;
    // Uses the primary in the group's view if this VM controls the group, else the region that a home reported last, else the region with
    // the most servers.
    const auto group = snapshot->groups.find(database);
    const ServerView* primary
        = group != snapshot->groups.end() && group->second->primary ? group->second->find(*group->second->primary) : nullptr;
    if (primary && serverCounts.contains(primary->region))
        return primary->region;
    // The last server of the reported region may have been removed since.
    const auto knownRegion = this->knownPrimaryRegions.find(database);
    if (knownRegion != this->knownPrimaryRegions.end() && serverCounts.contains(knownRegion->second))
        return knownRegion->second;
    const auto largestRegion = std::max_element(
        serverCounts.begin(), serverCounts.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    return largestRegion == serverCounts.end() ? Region() : largestRegion->first;
}

std::optional<LiveVm> HomeClient::homeOf(const DatabaseId& database, const Region& region) const
{
    const auto snapshot = this->snapshots.current();
    const auto home = snapshot->homes.find({ database, region });
    const LiveVm* vm = home == snapshot->homes.end() ? nullptr : snapshot->findVm(home->second);
    return vm ? std::optional(*vm) : std::nullopt;
}

HomeResponse HomeClient::execute(const TransactionRequest& request)
{
    return this->callHome(request, std::nullopt, this->regionFor(request.database, request.kind));
}

HomeResponse HomeClient::executeTargetedRead(const TransactionRequest& request, const TargetedRead& targeted, const Region& serverRegion)
{
    return this->callHome(request, targeted, serverRegion);
}

HomeResponse HomeClient::callHome(const TransactionRequest& request, const std::optional<TargetedRead>& targeted, const Region& region)
{
    const std::optional<LiveVm> home = this->homeOf(request.database, region);
    if (!home)
        return { TransactionOutcome(fail(ErrorKind::PeerUnavailable, "no live VM is the home of the database")), false, {} };
    HomeResponse response;
    if (home->id == this->self) {
        response = this->localHomes.execute(request, targeted);
    } else {
        json::object parameters = encodeRequest(request, now());
        if (targeted)
            encodeTargetedRead(*targeted, parameters);
        const Result<json::object> reply = this->callPeer(*home, "execute", parameters, request.deadline);
        if (!reply) {
            // An error reported by the home itself tells whether the request ran; a failed call does not.
            const bool hasCallFailed = reply.error().kind == ErrorKind::OutcomeUnknown || reply.error().kind == ErrorKind::PeerUnavailable;
            if (hasCallFailed)
                return { std::nullopt, reply.error().kind == ErrorKind::OutcomeUnknown, {} };
            return { TransactionOutcome(reply.error()), true, {} };
        }
        response = decodeHomeResponse(reply.value());
    }
    this->recordPrimaryRegion(request.database, response);
    return response;
}

Result<json::object> HomeClient::callPeer(const LiveVm& home, const std::string& method, const json::object& parameters, TimePoint deadline)
{
    // A paused VM keeps its connections open but does not reply, so the caller stops waiting once the home is no longer assumed alive. The
    // call continues in its own fiber, because its connection must not be reused before the reply has arrived.
    auto promise = std::make_shared<boost::fibers::promise<Result<json::object>>>();
    auto future = promise->get_future();
    startFiber([this, promise, endpoint = home.peerEndpoint, method, parameters, deadline] {
        promise->set_value(this->peers.call(endpoint, TrafficPurpose::Statements, method, parameters, deadline));
    });
    while (future.wait_for(liveCheckInterval) == boost::fibers::future_status::timeout) {
        if (!this->snapshots.current()->findVm(home.id))
            return fail(ErrorKind::OutcomeUnknown, "VM " + home.id.value + " is no longer assumed alive; gave up waiting for its reply");
    }
    return future.get();
}

ResolutionResult HomeClient::resolve(const ResolveRequest& request)
{
    const std::optional<LiveVm> home = this->homeOf(request.database, this->regionFor(request.database, TransactionKind::Write));
    if (!home)
        return { HasRun::Unknown, std::nullopt, "no live VM is the home of the database" };
    if (home->id == this->self)
        return this->localHomes.resolve(request);
    const Result<json::object> reply = this->callPeer(*home, "resolve", encodeResolveRequest(request, now()), request.deadline);
    if (!reply)
        return { HasRun::Unknown, std::nullopt, reply.error().detail };
    return decodeResolutionResult(reply.value());
}

void HomeClient::recordPrimaryRegion(const DatabaseId& database, const HomeResponse& response)
{
    if (!response.primaryRegion.empty())
        this->knownPrimaryRegions[database] = response.primaryRegion;
}

}
