#include "standins/platform/RowStore.h"

#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <openssl/evp.h>
#include <sstream>
#include <thread>

namespace foxtail::standins {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::milliseconds pollInterval { 20 };

    std::string encodeBase64(const std::string& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<size_t>(length));
        return text;
    }

    std::string decodeBase64(const std::string& text)
    {
        std::string bytes(text.size() / 4 * 3 + 3, '\0');
        const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        const auto padding = static_cast<size_t>(std::count(text.begin(), text.end(), '='));
        bytes.resize(static_cast<size_t>(length) - padding);
        return bytes;
    }

    std::map<std::string, std::string> parseQuery(const std::string& target)
    {
        std::map<std::string, std::string> query;
        const size_t mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            const size_t equals = part.find('=');
            query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return query;
    }

    int64_t steadyMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    }

}

RowStore::RowStore(PromotionHandler handler)
    : promotionHandler(std::move(handler))
    , listener(0, [this](boost::asio::ip::tcp::socket& socket) { this->serve(socket); })
{
}

RowStore::~RowStore()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
    }
    this->stateCondition.notify_all();
    this->listener.stop();
}

void RowStore::setFaults(const RowStoreFaults& newFaults)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (newFaults.isSilent && !this->faults.isSilent)
        ++this->silenceCount;
    this->faults = newFaults;
}

void RowStore::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->version;
    this->write({ table, key }, Row { value, this->version, false });
    this->stateCondition.notify_all();
}

void RowStore::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->version;
    this->write({ table, key }, Row { {}, this->version, true });
    this->stateCondition.notify_all();
}

void RowStore::write(const std::pair<std::string, std::string>& name, Row row)
{
    this->changes.push_back({ std::chrono::steady_clock::now(), name, row });
    this->rows[name] = std::move(row);
}

void RowStore::restore(std::chrono::milliseconds ageOfCopy)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto copiedAt = std::chrono::steady_clock::now() - ageOfCopy;
    std::erase_if(this->changes, [&](const Change& change) { return copiedAt < change.changedAt; });
    this->rows.clear();
    this->version = 1;
    for (const Change& change : this->changes) {
        this->rows[change.name] = change.row;
        this->version = std::max(this->version, change.row.version);
    }
    this->historyStartVersion = std::min(this->historyStartVersion, this->version);
    ++this->era;
    this->stateCondition.notify_all();
}

std::optional<std::string> RowStore::value(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->rows.find({ table, key });
    return found == this->rows.end() || found->second.isDeleted ? std::nullopt : std::optional(found->second.value);
}

void RowStore::compact()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->historyStartVersion = ++this->version;
    this->stateCondition.notify_all();
}

std::vector<PromotionOrder> RowStore::promotionOrders()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->receivedOrders;
}

uint64_t RowStore::callCount()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->calls;
}

void RowStore::serve(boost::asio::ip::tcp::socket& socket)
{
    uint64_t number = 0;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        number = ++this->connectionCount;
    }
    beast::flat_buffer buffer;
    while (true) {
        Request request;
        beast::error_code code;
        http::read(socket, buffer, request, code);
        if (code)
            return;
        Response result;
        bool isRejected = false;
        bool isSilenced = false;
        uint64_t silencesBefore = 0;
        std::chrono::milliseconds handlingDelay { 0 };
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            ++this->calls;
            while (this->faults.isUnresponsive && !this->isStopping)
                this->stateCondition.wait_for(lock, pollInterval);
            // Multiplying by a prime spreads consecutive connection numbers over 0 to 99.
            isRejected = this->faults.isUnavailable
                || (this->faults.rejectedConnectionShare > 0
                    && static_cast<double>(number * 7919 % 100) < this->faults.rejectedConnectionShare * 100);
            handlingDelay = this->faults.requestDelay;
            isSilenced = this->faults.isSilent;
            silencesBefore = this->silenceCount;
        }
        if (handlingDelay.count() > 0)
            std::this_thread::sleep_for(handlingDelay);
        if (!isSilenced)
            result = isRejected ? Response { 503, "{}", false } : this->handleRequest(request);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            isSilenced = isSilenced || this->silenceCount != silencesBefore;
        }
        if (isSilenced) {
            // Returns when the client closes the connection.
            std::array<char, 1024> ignored {};
            while (!code)
                socket.read_some(boost::asio::buffer(ignored), code);
            return;
        }
        if (result.isLost)
            return;
        http::response<http::string_body> response(static_cast<http::status>(result.status), 11);
        response.set(http::field::content_type, "application/json");
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            response.set("Store-Era", std::to_string(this->era));
        }
        response.body() = result.body;
        response.prepare_payload();
        http::write(socket, response, code);
        if (code)
            return;
    }
}

RowStore::Response RowStore::handleRequest(const Request& request)
{
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/rows-get")
        return this->listRows(parseQuery(target));
    if (path == "/rows-feed")
        return this->readFeed(parseQuery(target));
    if (path == "/rows-tx")
        return this->runTransaction(request.body());
    if (path == "/promote")
        return this->handlePromotion(request);
    return { 404, "{}", false };
}

json::object RowStore::rowObject(const std::string& table, const std::string& key, const Row& row) const
{
    json::object object { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
    if (row.isDeleted)
        object["tombstone"] = true;
    else
        object["value"] = encodeBase64(row.value);
    return object;
}

json::object RowStore::responseObject() const { return { { "ver", this->version }, { "now_ms", steadyMilliseconds() } }; }

RowStore::Response RowStore::listRows(const std::map<std::string, std::string>& query)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    json::array found;
    for (const auto& [name, row] : this->rows) {
        if (name.first == query.at("table") && !row.isDeleted)
            found.push_back(this->rowObject(name.first, name.second, row));
    }
    json::object reply = this->responseObject();
    reply["rows"] = std::move(found);
    reply["has_more"] = false;
    return { 200, json::serialize(reply), false };
}

RowStore::Response RowStore::readFeed(const std::map<std::string, std::string>& query)
{
    const uint64_t after = std::stoull(query.at("after"));
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoi(query.at("wait_ms")));
    std::unique_lock<std::mutex> lock(this->mutex);
    const uint64_t startedInEra = this->era;
    while (true) {
        // The process that served the call is gone.
        if (this->era != startedInEra)
            return { 503, "{}", true };
        if (after < this->historyStartVersion || this->version < after)
            return { 410, "{}", false };
        json::array found;
        for (const Change& change : this->changes) {
            if (change.name.first == query.at("table") && change.row.version > after)
                found.push_back(this->rowObject(change.name.first, change.name.second, change.row));
        }
        if (!found.empty() || this->isStopping || std::chrono::steady_clock::now() >= deadline) {
            json::object reply = this->responseObject();
            reply["rows"] = std::move(found);
            return { 200, json::serialize(reply), false };
        }
        this->stateCondition.wait_until(lock, deadline);
    }
}

RowStore::Response RowStore::runTransaction(const std::string& body)
{
    const json::object change = json::parse(body).as_object();
    std::unique_lock<std::mutex> lock(this->mutex);
    const bool isReplyLost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->faults.lostReplyShare;
    if (isReplyLost && this->faults.lostReplyCommitDelay.count() > 0) {
        const std::chrono::milliseconds delay = this->faults.lostReplyCommitDelay;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }
    const auto nameOf = [](const json::object& row) {
        return std::pair(
            std::string(std::string_view(row.at("table").as_string())), std::string(std::string_view(row.at("key").as_string())));
    };
    for (const json::value& each : change.at("expect").as_array()) {
        const auto found = this->rows.find(nameOf(each.as_object()));
        const uint64_t current = found == this->rows.end() || found->second.isDeleted ? 0 : found->second.version;
        if (current != each.at("ver").to_number<uint64_t>())
            return { 412, "{\"rows\":[]}", isReplyLost };
    }
    ++this->version;
    for (const json::value& each : change.at("puts").as_array())
        this->write(nameOf(each.as_object()),
            Row { decodeBase64(std::string(std::string_view(each.at("value").as_string()))), this->version, false });
    this->stateCondition.notify_all();
    return { 200, json::serialize(this->responseObject()), isReplyLost };
}

RowStore::Response RowStore::handlePromotion(const Request& request)
{
    const json::object body = json::parse(request.body()).as_object();
    const PromotionOrder order { std::string(std::string_view(body.at("service").as_string())),
        std::string(std::string_view(body.at("id").as_string())), std::string(request["X-Duty-Holder"]),
        std::stoull(std::string(request["X-Fencing-Token"])), std::chrono::steady_clock::now() };
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->receivedOrders.push_back(order);
    }
    return { this->promotionHandler(order), "{}", false };
}

}
