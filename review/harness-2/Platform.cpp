#include "review/harness-2/Platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fcntl.h>
#include <openssl/evp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtail::review {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds answerTime { 4 };
    constexpr int fillerCount = 4;

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
        bytes.resize(static_cast<size_t>(length) - static_cast<size_t>(std::count(text.begin(), text.end(), '=')));
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

    std::string textMember(const json::object& object, const char* name)
    {
        return std::string(std::string_view(object.at(name).as_string()));
    }

    int64_t steadyMilliseconds() { return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count(); }

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

}

Store::Store(size_t vmCount, WriteListener writeListener, View rowView)
    : onWrite(std::move(writeListener))
    , view(std::move(rowView))
{
    for (size_t vm = 0; vm < vmCount; ++vm)
        this->listeners.push_back(
            std::make_unique<standins::TcpListener>(0, [this, vm](boost::asio::ip::tcp::socket& socket) { this->serve(vm, socket); }));
}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
    }
    this->changed.notify_all();
    for (const auto& listener : this->listeners)
        listener->stop();
}

void Store::put(const std::string& table, const std::string& key, const std::string& newValue)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->rows[{ table, key }] = Row { newValue, ++this->version };
    this->changed.notify_all();
}

std::optional<std::string> Store::value(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->rows.find({ table, key });
    return found == this->rows.end() ? std::nullopt : std::optional(found->second.value);
}

void Store::serve(size_t vm, boost::asio::ip::tcp::socket& socket)
{
    beast::flat_buffer buffer;
    while (true) {
        http::request<http::string_body> request;
        beast::error_code code;
        http::read(socket, buffer, request, code);
        if (code)
            return;
        std::this_thread::sleep_for(answerTime);
        const Answer result = this->answer(vm, std::string(request.target()), request.body());
        http::response<http::string_body> response(static_cast<http::status>(result.status), 11);
        response.set(http::field::content_type, "application/json");
        response.body() = result.body;
        response.prepare_payload();
        http::write(socket, response, code);
        if (code)
            return;
    }
}

Store::Answer Store::answer(size_t vm, const std::string& target, const std::string& body)
{
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/rows-get")
        return this->list(vm, parseQuery(target));
    if (path == "/rows-feed")
        return this->feed(vm, parseQuery(target));
    if (path == "/rows-tx")
        return this->transact(body);
    return { 404, "{}" };
}

json::object Store::rowObject(size_t vm, const std::pair<std::string, std::string>& name, const Row& row) const
{
    return { { "table", name.first }, { "part", "" }, { "key", name.second }, { "ver", row.version },
        { "value", encodeBase64(this->view(vm, name.first, row.value)) } };
}

json::object Store::newest() const { return { { "ver", this->version }, { "now_ms", steadyMilliseconds() } }; }

Store::Answer Store::list(size_t vm, const std::map<std::string, std::string>& query)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    json::array found;
    for (const auto& [name, row] : this->rows) {
        if (name.first == query.at("table"))
            found.push_back(this->rowObject(vm, name, row));
    }
    json::object reply = this->newest();
    reply["rows"] = std::move(found);
    reply["has_more"] = false;
    return { 200, json::serialize(reply) };
}

Store::Answer Store::feed(size_t vm, const std::map<std::string, std::string>& query)
{
    const uint64_t after = std::stoull(query.at("after"));
    const auto deadline = Clock::now() + std::chrono::milliseconds(std::stoi(query.at("wait_ms")));
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        std::map<uint64_t, json::array> found;
        for (const auto& [name, row] : this->rows) {
            if (name.first == query.at("table") && row.version > after)
                found[row.version].push_back(this->rowObject(vm, name, row));
        }
        if (!found.empty() || this->isStopping || Clock::now() >= deadline) {
            json::array list;
            for (const auto& [rowVersion, objects] : found)
                list.insert(list.end(), objects.begin(), objects.end());
            json::object reply = this->newest();
            reply["rows"] = std::move(list);
            return { 200, json::serialize(reply) };
        }
        this->changed.wait_until(lock, deadline);
    }
}

Store::Answer Store::transact(const std::string& body)
{
    const json::object change = json::parse(body).as_object();
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const json::value& each : change.at("expect").as_array()) {
        const json::object& row = each.as_object();
        const auto found = this->rows.find({ textMember(row, "table"), textMember(row, "key") });
        if ((found == this->rows.end() ? 0 : found->second.version) != row.at("ver").to_number<uint64_t>())
            return { 412, R"({"rows":[]})" };
    }
    ++this->version;
    for (const json::value& each : change.at("puts").as_array()) {
        const json::object& row = each.as_object();
        const std::string newValue = decodeBase64(textMember(row, "value"));
        this->rows[{ textMember(row, "table"), textMember(row, "key") }] = Row { newValue, this->version };
        this->onWrite(textMember(row, "table"), textMember(row, "key"), newValue);
    }
    this->changed.notify_all();
    return { 200, json::serialize(this->newest()) };
}

Path::Path(uint16_t port)
    : serverPort(port)
{
    this->heal();
}

Path::~Path() { this->cut(); }

void Path::cut()
{
    if (this->listener)
        this->listener->stop();
    this->listener.reset();
}

void Path::heal()
{
    if (this->listener)
        return;
    this->listener
        = std::make_unique<standins::TcpListener>(this->ownPort, [this](boost::asio::ip::tcp::socket& socket) { this->serve(socket); });
    this->ownPort = this->listener->port();
}

void Path::serve(boost::asio::ip::tcp::socket& socket)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket server(context);
    boost::system::error_code code;
    server.connect({ boost::asio::ip::address_v4::loopback(), this->serverPort }, code);
    if (code)
        return;
    const auto copy = [](int from, int to) {
        std::array<char, 16384> buffer {};
        ssize_t count = 0;
        while ((count = recv(from, buffer.data(), buffer.size(), 0)) > 0) {
            if (send(to, buffer.data(), static_cast<size_t>(count), MSG_NOSIGNAL) != count)
                break;
        }
        shutdown(from, SHUT_RDWR);
        shutdown(to, SHUT_RDWR);
    };
    std::thread backwards([&] { copy(server.native_handle(), socket.native_handle()); });
    copy(socket.native_handle(), server.native_handle());
    backwards.join();
    // The VM sees a reset.
    socket.set_option(boost::asio::socket_base::linger(true, 0), code);
}

PromotionCall::PromotionCall(Handler orderHandler)
    : handler(std::move(orderHandler))
    , listeningDescriptor(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (bind(this->listeningDescriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
        || listen(this->listeningDescriptor, 0) != 0
        || getsockname(this->listeningDescriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("cannot listen for promotions");
    this->listeningPort = ntohs(address.sin_port);
    this->acceptThread = std::thread([this] { this->acceptConnections(); });
}

PromotionCall::~PromotionCall()
{
    this->open();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
    }
    this->acceptThread.join();
    for (std::thread& thread : this->threads)
        thread.join();
    ::close(this->listeningDescriptor);
}

void PromotionCall::close()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->isClosed = true;
    // Connections of the stand-in itself fill the queue.
    for (int index = 0; index < fillerCount; ++index) {
        const int filler = socket(AF_INET, SOCK_STREAM, 0);
        fcntl(filler, F_SETFL, O_NONBLOCK);
        const sockaddr_in address = loopback(this->listeningPort);
        // The connection is established while the call is open again, or never.
        static_cast<void>(connect(filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
        this->fillers.push_back(filler);
    }
}

void PromotionCall::open()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->isClosed = false;
    for (const int filler : this->fillers)
        ::close(filler);
    this->fillers.clear();
}

std::vector<Order> PromotionCall::orders()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->received;
}

void PromotionCall::acceptConnections()
{
    constexpr int pollMilliseconds = 5;
    while (true) {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->isStopping)
                return;
        }
        pollfd waiting { this->listeningDescriptor, POLLIN, 0 };
        if (poll(&waiting, 1, pollMilliseconds) <= 0)
            continue;
        std::unique_lock<std::mutex> lock(this->mutex);
        if (this->isClosed) {
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(pollMilliseconds));
            continue;
        }
        const int descriptor = accept(this->listeningDescriptor, nullptr, nullptr);
        if (descriptor >= 0)
            this->threads.emplace_back([this, descriptor] { this->serve(descriptor); });
    }
}

void PromotionCall::serve(int descriptor)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket connection(context, boost::asio::ip::tcp::v4(), descriptor);
    beast::flat_buffer buffer;
    while (true) {
        // Ends when the caller or the stand-in does.
        pollfd waiting { descriptor, POLLIN, 0 };
        while (poll(&waiting, 1, 50) == 0) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->isStopping)
                return;
        }
        http::request<http::string_body> request;
        beast::error_code code;
        http::read(connection, buffer, request, code);
        if (code)
            return;
        const json::object body = json::parse(request.body()).as_object();
        const Order order { textMember(body, "service"), textMember(body, "id"), std::string(request["X-Duty-Holder"]),
            std::stoull(std::string(request["X-Fencing-Token"])), Clock::now() };
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->received.push_back(order);
        }
        http::response<http::string_body> response(static_cast<http::status>(this->handler(order)), 11);
        response.set(http::field::content_type, "application/json");
        response.body() = "{}";
        response.prepare_payload();
        http::write(connection, response, code);
        if (code)
            return;
    }
}

}
