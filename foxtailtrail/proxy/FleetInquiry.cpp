#include "foxtailtrail/proxy/FleetInquiry.h"

#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/server/Log.h"

#include <stdexcept>

namespace foxtail {

namespace {

    // Kinds of datagrams.
    constexpr std::string_view questionKind = "group-question";
    constexpr std::string_view reportKind = "group-report";

    // An age beyond this is not that of an event of a running process.
    constexpr std::chrono::milliseconds maxAge = std::chrono::hours(24 * 3650);

    std::chrono::milliseconds ageOf(const json::value& value)
    {
        const std::chrono::milliseconds age(value.to_number<int64_t>());
        if (age < std::chrono::milliseconds { 0 } || age > maxAge)
            throw std::out_of_range("an age is out of range");
        return age;
    }

    int64_t roundedUpAge(TimePoint time, TimePoint now)
    {
        return std::max<int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(now - time).count());
    }

    int64_t roundedDownAge(TimePoint time, TimePoint now)
    {
        return std::max<int64_t>(0, std::chrono::floor<std::chrono::milliseconds>(now - time).count());
    }

    json::array encodeLogPoint(const LogPoint& point) { return json::array { point.term.value, point.position.value }; }

    LogPoint decodeLogPoint(const json::value& value)
    {
        const json::array& point = value.as_array();
        return { Term { point.at(0).to_number<uint64_t>() }, Position { point.at(1).to_number<uint64_t>() } };
    }

}

json::object encodeGroupReport(const GroupReport& report, TimePoint now)
{
    json::object object { { "remembersMs", roundedDownAge(report.remembersFrom, now) }, { "holdsBack", report.holdsBackCommits } };
    if (report.primaryLedAt)
        object["ledMs"] = roundedDownAge(*report.primaryLedAt, now);
    if (report.commitSentAt)
        object["commitMs"] = roundedUpAge(*report.commitSentAt, now);
    if (report.sampledAt && report.sampledLogPoint) {
        object["sampledMs"] = roundedUpAge(*report.sampledAt, now);
        object["sampled"] = encodeLogPoint(*report.sampledLogPoint);
    }
    if (report.acknowledged)
        object["acknowledged"] = encodeLogPoint(*report.acknowledged);
    return object;
}

std::optional<GroupReport> decodeGroupReport(const VmId& vm, const json::object& object, TimePoint askedAt, TimePoint receivedAt)
{
    try {
        // The VM took the ages at a time between the two.
        GroupReport report;
        report.vm = vm;
        report.receivedAt = receivedAt;
        report.remembersFrom = receivedAt - ageOf(object.at("remembersMs"));
        report.holdsBackCommits = object.at("holdsBack").as_bool();
        if (const json::value* age = object.if_contains("ledMs"))
            report.primaryLedAt = receivedAt - ageOf(*age);
        if (const json::value* age = object.if_contains("commitMs"))
            report.commitSentAt = askedAt - ageOf(*age);
        if (const json::value* age = object.if_contains("sampledMs")) {
            report.sampledAt = askedAt - ageOf(*age);
            report.sampledLogPoint = decodeLogPoint(object.at("sampled"));
        }
        if (const json::value* point = object.if_contains("acknowledged"))
            report.acknowledged = decodeLogPoint(*point);
        return report;
    } catch (const std::exception& error) {
        logEvent(LogLevel::Debug, "group report ignored: it cannot be decoded", { { "vm", vm.value }, { "detail", error.what() } });
        return std::nullopt;
    }
}

FleetInquiry::FleetInquiry(SessionProxy& proxy, PeerExchange& peers)
    : proxy(proxy)
    , peers(peers)
    , startedAt(bootNow())
{
    this->peers.setMessageHandler([this](std::string_view kind, const VmId& vm, const json::object& message,
                                      const PeerExchange::ReplyFunction& reply) { this->handleMessage(kind, vm, message, reply); });
}

void FleetInquiry::ask(const ServiceName& service, bool holdsBackCommits, const std::shared_ptr<FleetEvidence>& evidence)
{
    const TimePoint now = bootNow();
    const VmId& self = this->proxy.settings().vmId;
    std::set<VmId> expected = this->peers.fleetMembers(now);
    expected.insert(self);
    evidence->expectReportsOf(std::move(expected));
    GroupReport own = this->proxy.group(service)->report(now, holdsBackCommits);
    own.vm = self;
    own.remembersFrom = this->startedAt;
    evidence->record(own);
    const uint64_t number = ++this->lastNumber;
    this->questions[service] = { number, now, evidence };
    this->peers.sendToFleet(json::serialize(json::object { { "kind", questionKind }, { "vm", self.value }, { "number", number },
                                { "service", service.value }, { "holdsBack", holdsBackCommits } }),
        maxAskedVms);
}

void FleetInquiry::handleMessage(
    std::string_view kind, const VmId& vm, const json::object& message, const PeerExchange::ReplyFunction& reply)
{
    if (kind == questionKind)
        this->answer(message, reply);
    else if (kind == reportKind)
        this->recordReport(vm, message);
}

void FleetInquiry::answer(const json::object& question, const PeerExchange::ReplyFunction& reply)
{
    const Result<std::string> service = stringMember(question, "service");
    const Result<uint64_t> number = unsignedMember(question, "number");
    const Result<bool> holdsBackCommits = booleanMember(question, "holdsBack");
    if (!service || !number || !holdsBackCommits) {
        logEvent(LogLevel::Debug, "group question ignored: it cannot be decoded", {});
        return;
    }
    // A VM that does not know the group yet has no report, so that the evidence stays incomplete.
    if (!this->proxy.isConfigured() || this->proxy.routeTable().groups.count(service.value()) == 0)
        return;
    const TimePoint now = bootNow();
    GroupReport own = this->proxy.group(ServiceName(service.value()))->report(now, holdsBackCommits.value());
    own.remembersFrom = this->startedAt;
    json::object message = encodeGroupReport(own, now);
    message["kind"] = reportKind;
    message["vm"] = this->proxy.settings().vmId.value;
    message["number"] = number.value();
    message["service"] = service.value();
    reply(json::serialize(message));
}

void FleetInquiry::recordReport(const VmId& vm, const json::object& message)
{
    const Result<std::string> service = stringMember(message, "service");
    const Result<uint64_t> number = unsignedMember(message, "number");
    const auto question = service ? this->questions.find(ServiceName(service.value())) : this->questions.end();
    // A report on an earlier question has no known time.
    if (question == this->questions.end() || !number || number.value() != question->second.number)
        return;
    const std::shared_ptr<FleetEvidence> evidence = question->second.evidence.lock();
    if (!evidence)
        return;
    if (const std::optional<GroupReport> report = decodeGroupReport(vm, message, question->second.askedAt, bootNow()))
        evidence->record(*report);
}

}
