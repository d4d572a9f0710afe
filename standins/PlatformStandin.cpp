#include "standins/PlatformStandin.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <thread>
#include <utility>

namespace foxtail::standins {

namespace {

    namespace http = boost::beast::http;

    constexpr uint64_t maxBodyBytes = 64ULL * 1024 * 1024;

    std::string errorBody(std::string_view detail) { return json::serialize(json::object { { "error", detail } }); }

}

PlatformStandin::PlatformStandin(uint16_t port)
    : listener(port, [this](boost::asio::ip::tcp::socket& socket) { this->serve(socket); })
{
}

void PlatformStandin::setFaults(const PlatformFaults& newFaults)
{
    const std::lock_guard lock(this->mutex);
    this->faults = newFaults;
}

const std::vector<PlatformStandin::Route>& PlatformStandin::routes()
{
    static const std::vector<Route> table {
        { http::verb::get, "/v1/rows/", &PlatformStandin::readRow },
        { http::verb::post, "/v1/transactions", &PlatformStandin::runTransaction },
        { http::verb::get, "/v1/objects/", &PlatformStandin::readObject },
        { http::verb::put, "/v1/objects/", &PlatformStandin::writeObject },
        { http::verb::put, "/v1/vms/", &PlatformStandin::putVm },
        { http::verb::delete_, "/v1/vms/", &PlatformStandin::removeVm },
        { http::verb::get, "/v1/vms", &PlatformStandin::listVms },
        { http::verb::post, "/standin/faults", &PlatformStandin::changeFaults },
    };
    return table;
}

void PlatformStandin::serve(boost::asio::ip::tcp::socket& socket)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        boost::system::error_code error;
        http::read(socket, buffer, parser, error);
        if (error)
            return;
        const Request request = parser.release();
        const Response result = this->handleRequest(request);
        if (result.isLost)
            return;
        http::response<http::string_body> response(static_cast<http::status>(result.status), request.version(), result.body);
        response.set(http::field::content_type, "application/json");
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        http::write(socket, response, error);
        if (error || !request.keep_alive())
            return;
    }
}

PlatformStandin::Response PlatformStandin::handleRequest(const Request& request)
{
    const std::string_view target(request.target().data(), request.target().size());
    Response result { 404, errorBody("no such route") };
    std::chrono::milliseconds delay { 0 };
    {
        const std::lock_guard lock(this->mutex);
        if (this->faults.isUnavailable && target.substr(0, 9) != "/standin/")
            return { 503, errorBody("down") };
        for (const Route& route : routes()) {
            if (request.method() == route.verb && target.substr(0, route.prefix.size()) == route.prefix) {
                result = (this->*route.handler)(target.substr(route.prefix.size()), request.body());
                break;
            }
        }
        delay = this->faults.responseDelay;
    }
    std::this_thread::sleep_for(delay);
    return result;
}

PlatformStandin::Response PlatformStandin::readRow(std::string_view name, const std::string&)
{
    const auto found = this->rows.find(name);
    if (found == this->rows.end())
        return { 404, errorBody("no such row") };
    return { 200, json::serialize(json::object { { "version", found->second.version }, { "value", found->second.value } }) };
}

PlatformStandin::Response PlatformStandin::runTransaction(std::string_view, const std::string& body)
{
    const auto document = parseJsonObject(body);
    if (!document)
        return { 400, errorBody(document.error().detail) };
    const auto checks = arrayMember(document.value(), "checks");
    const auto puts = arrayMember(document.value(), "puts");
    if (!checks || !puts)
        return { 400, errorBody("checks and puts must be arrays") };

    // Validates everything before the first change, because a transaction is applied entirely or not at all.
    json::object current;
    bool hasConflict = false;
    for (const json::value& check : checks.value()) {
        if (!check.is_object())
            return { 400, errorBody("a check must be an object") };
        const auto key = stringMember(check.as_object(), "key");
        const auto version = unsignedMember(check.as_object(), "version");
        if (!key || !version)
            return { 400, errorBody("a check needs key and version") };
        const auto found = this->rows.find(key.value());
        const uint64_t stored = found == this->rows.end() ? 0 : found->second.version;
        current[key.value()] = stored;
        hasConflict = hasConflict || stored != version.value();
    }
    for (const json::value& put : puts.value()) {
        if (!put.is_object() || !stringMember(put.as_object(), "key") || !put.as_object().contains("value"))
            return { 400, errorBody("a put needs key and value") };
    }
    if (hasConflict)
        return { 409, json::serialize(json::object { { "versions", current } }) };

    json::object versions;
    for (const json::value& put : puts.value()) {
        const std::string key = stringMember(put.as_object(), "key").value();
        Row& row = this->rows[key];
        ++row.version;
        row.value = put.as_object().at("value");
        versions[key] = row.version;
    }
    return { 200, json::serialize(json::object { { "versions", versions } }), this->shouldLoseReply() };
}

PlatformStandin::Response PlatformStandin::readObject(std::string_view name, const std::string&)
{
    const auto found = this->objects.find(name);
    if (found == this->objects.end())
        return { 404, errorBody("no such object") };
    return { 200, found->second };
}

PlatformStandin::Response PlatformStandin::writeObject(std::string_view name, const std::string& body)
{
    this->objects[std::string(name)] = body;
    return { 200, "{}", this->shouldLoseReply() };
}

PlatformStandin::Response PlatformStandin::listVms(std::string_view, const std::string&)
{
    std::map<std::string, json::value> visibleEntries;
    const Clock::time_point visibleUntil = Clock::now() - this->faults.vmListLag;
    for (const VmChange& change : this->vmChanges) {
        if (change.changedAt <= visibleUntil)
            visibleEntries[change.id] = change.entry;
    }
    json::array list;
    for (const auto& [id, entry] : visibleEntries) {
        if (!entry.is_null())
            list.push_back(entry);
    }
    return { 200, json::serialize(list) };
}

PlatformStandin::Response PlatformStandin::putVm(std::string_view name, const std::string& body)
{
    auto entry = parseJsonObject(body);
    if (!entry)
        return { 400, errorBody(entry.error().detail) };
    entry.value()["id"] = name;
    // A repeated PUT of the same entry is not recorded, so that the history grows only with changes.
    for (auto change = this->vmChanges.rbegin(); change != this->vmChanges.rend(); ++change) {
        if (change->id != name)
            continue;
        if (change->entry == json::value(entry.value()))
            return { 200, "{}" };
        break;
    }
    this->vmChanges.push_back({ Clock::now(), std::string(name), std::move(entry.value()) });
    return { 200, "{}" };
}

PlatformStandin::Response PlatformStandin::removeVm(std::string_view name, const std::string&)
{
    this->vmChanges.push_back({ Clock::now(), std::string(name), nullptr });
    return { 200, "{}" };
}

PlatformStandin::Response PlatformStandin::changeFaults(std::string_view, const std::string& body)
{
    const auto document = parseJsonObject(body);
    if (!document)
        return { 400, errorBody(document.error().detail) };
    const json::object& object = document.value();
    // A member that is absent keeps its value.
    if (const auto down = booleanMember(object, "down"))
        this->faults.isUnavailable = down.value();
    if (const auto slow = unsignedMember(object, "slowMs"))
        this->faults.responseDelay = std::chrono::milliseconds(slow.value());
    if (const auto lose = unsignedMember(object, "loseReplies"))
        this->faults.repliesToLose = lose.value();
    if (const auto lag = unsignedMember(object, "vmListLagMs"))
        this->faults.vmListLag = std::chrono::milliseconds(lag.value());
    return { 200, "{}" };
}

bool PlatformStandin::shouldLoseReply()
{
    if (!this->faults.repliesToLose)
        return false;
    --this->faults.repliesToLose;
    return true;
}

}
