#include "foxtailtrail/proxy/ChangeExchange.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/net/Clock.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace foxtail {

namespace {

    constexpr std::string_view requestTarget = "/changes";
    // Names of the served tables in requests, in the order of StoreTable.
    constexpr std::array<std::string_view, 3> tableNames { "declarations", "servers", "fleet" };
    // Request headers: the table, the era and number of the version after which changes are requested, and how long the response may be
    // held back.
    constexpr const char* tableHeader = "Foxtail-Table";
    constexpr const char* eraHeader = "Foxtail-Store-Era";
    constexpr const char* afterHeader = "Foxtail-After";
    constexpr const char* waitHeader = "Foxtail-Wait-Ms";
    constexpr uint64_t maxWaitMs = 10000;
    // Status of the response to a version of an ended era.
    constexpr unsigned endedEraStatus = 410;
    // A VM receives three tables at a time, each on a connection of its own.
    constexpr size_t maxIdleConnections = 3;
    // One reader is used at a time; others are kept for a change of reader.
    constexpr size_t maxClients = 4;

    std::optional<uint64_t> numberHeader(const HttpRequest& request, const char* name)
    {
        const std::string* text = request.header(name);
        uint64_t number = 0;
        if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc())
            return std::nullopt;
        return number;
    }

    std::string encodeChanges(const RowSet& changes)
    {
        json::array rows;
        for (const TableRow& row : changes.rows)
            rows.push_back(json::array { row.key, row.version.number, row.isDeleted, base64UrlEncode(row.value) });
        return json::serialize(json::object { { "era", changes.version.era }, { "version", changes.version.number },
            { "areLapsedEntriesBack", changes.areLapsedEntriesBack }, { "rows", std::move(rows) } });
    }

    Result<RowSet> decodeChanges(std::string_view body)
    {
        BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(body));
        RowSet changes;
        BOOST_OUTCOME_TRY(changes.version.era, unsignedMember(object, "era"));
        BOOST_OUTCOME_TRY(changes.version.number, unsignedMember(object, "version"));
        BOOST_OUTCOME_TRY(changes.areLapsedEntriesBack, booleanMember(object, "areLapsedEntriesBack"));
        BOOST_OUTCOME_TRY(const json::array rows, arrayMember(object, "rows"));
        for (const json::value& each : rows) {
            const json::array* fields = each.if_array();
            if (!fields || fields->size() != 4 || !fields->at(0).is_string() || !fields->at(1).is_number() || !fields->at(2).is_bool()
                || !fields->at(3).is_string())
                return fail(ErrorKind::MalformedRequest, "a row of the changes has another shape");
            TableRow row;
            row.key = std::string_view(fields->at(0).get_string());
            boost::system::error_code code;
            row.version = { changes.version.era, fields->at(1).to_number<uint64_t>(code) };
            row.isDeleted = fields->at(2).get_bool();
            if (code || !base64UrlDecode(std::string_view(fields->at(3).get_string()), row.value))
                return fail(ErrorKind::MalformedRequest, "a row of the changes cannot be decoded");
            changes.rows.push_back(std::move(row));
        }
        return changes;
    }

}

void ChangeExchange::recordList(StoreTable table, const RowSet& rows)
{
    this->served(table).log.restart(rows);
    this->served(table).isServing = true;
}

void ChangeExchange::recordChanges(StoreTable table, const StoreVersion& after, const RowSet& changes)
{
    this->served(table).log.append(after, changes);
    this->served(table).isServing = true;
    if (!changes.rows.empty())
        this->changed.notify_all();
}

void ChangeExchange::stopServing(StoreTable table)
{
    if (std::exchange(this->served(table).isServing, false))
        this->changed.notify_all();
}

bool ChangeExchange::isChangeRequest(const HttpRequest& request) { return request.target == requestTarget; }

HttpResponse ChangeExchange::handleRequest(const HttpRequest& request)
{
    const std::string* name = request.header(tableHeader);
    const auto found = name ? std::find(tableNames.begin(), tableNames.end(), *name) : tableNames.end();
    const std::optional<uint64_t> era = numberHeader(request, eraHeader);
    const std::optional<uint64_t> after = numberHeader(request, afterHeader);
    const std::optional<uint64_t> waitMs = numberHeader(request, waitHeader);
    if (found == tableNames.end() || !era || !after || !waitMs)
        return HttpResponse { 400, "text/plain", {}, {} };
    const StoreVersion version { *era, *after };
    const ServedTable& table = this->tables[static_cast<size_t>(found - tableNames.begin())];
    const TimePoint respondBy = now() + std::chrono::milliseconds(std::min(*waitMs, maxWaitMs));
    std::unique_lock<boost::fibers::mutex> lock(this->changedMutex);
    while (true) {
        const std::optional<RowSet> changes = table.isServing ? table.log.changesAfter(version) : std::nullopt;
        if (!changes)
            return HttpResponse { table.isServing && table.log.isOfLaterEra(version) ? endedEraStatus : 503, "text/plain", {}, {} };
        if (!changes->rows.empty() || now() >= respondBy)
            return HttpResponse { 200, "application/json", {}, encodeChanges(*changes) };
        this->changed.wait_until(lock, toSteady(respondBy));
    }
}

Result<RowSet> ChangeExchange::fetch(const Endpoint& peer, StoreTable table, const StoreVersion& after, const FeedCall& call)
{
    if (this->clients.size() >= maxClients && this->clients.count(peer) == 0)
        this->clients.clear();
    std::shared_ptr<HttpClient>& known = this->clients[peer];
    if (!known)
        known = std::make_shared<HttpClient>(peer, maxIdleConnections);
    const std::shared_ptr<HttpClient> client = known;
    HttpRequest request;
    request.method = "GET";
    request.target = requestTarget;
    request.headers = { { tableHeader, std::string(tableNames[static_cast<size_t>(table)]) }, { eraHeader, std::to_string(after.era) },
        { afterHeader, std::to_string(after.number) }, { waitHeader, std::to_string(toMilliseconds(call.hold)) } };
    BOOST_OUTCOME_TRY(const HttpResponse response, client->send(request, call.giveUpAt));
    if (response.status == endedEraStatus)
        return fail(ErrorKind::VersionConflict, "the peer reads the store in a later era than " + std::to_string(after.era));
    if (response.status != 200)
        return fail(ErrorKind::PeerUnavailable, "the peer responded with status " + std::to_string(response.status));
    return decodeChanges(response.body);
}

}
