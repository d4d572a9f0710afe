#include "foxtailtrail/net/HttpServer.h"

#include "foxtailtrail/net/Await.h"
#include "foxtailtrail/net/Clock.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <sys/socket.h>

namespace foxtail {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

    // Larger headers are rejected, which bounds the buffer of a connection.
    constexpr uint32_t maxHeaderBytes = 16 * 1024;

    // The limits in bytes and time for reading the rest of a rejected request.
    constexpr uint64_t maxDiscardedBytes = uint64_t { 64 } << 20;
    constexpr std::chrono::milliseconds acceptRetryDelay(50);
    constexpr Duration discardTimeout = std::chrono::seconds(5);

    using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    HttpRequest toRequest(http::request<http::string_body>&& message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        request.body = std::move(message.body());
        return request;
    }

    http::response<http::string_body> toMessage(HttpResponse&& response, unsigned version, bool keepAlive)
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status), version);
        message.set(http::field::content_type, response.contentType);
        for (const HttpHeader& header : response.headers)
            message.set(header.name, header.value);
        message.body() = std::move(response.body);
        message.keep_alive(keepAlive);
        message.prepare_payload();
        return message;
    }

    Error errorFromReadFailure(beast::error_code code)
    {
        if (code == http::error::body_limit)
            return { ErrorKind::BodyTooLarge, "" };
        if (code == http::error::header_limit)
            return { ErrorKind::MalformedRequest, "the header is larger than " + std::to_string(maxHeaderBytes) + " bytes" };
        return { ErrorKind::MalformedRequest, "not a valid HTTP/1.1 request: " + code.message() };
    }

}

// Shared by the handlers of the acceptor and of every connection, because these may run after the server has been destroyed.
class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation> {
public:
    Implementation(FiberThread& thread, HttpServerSettings settings, Handler handler)
        : thread(thread)
        , settings(std::move(settings))
        , handler(std::move(handler))
        , acceptor(thread.ioContext())
    {
    }

    beast::error_code openAcceptor()
    {
        beast::error_code code;
        const auto address = boost::asio::ip::make_address(this->settings.address, code);
        if (code)
            return code;
        const Tcp::endpoint endpoint(address, this->settings.port);
        this->acceptor.open(endpoint.protocol(), code);
        if (!code)
            this->acceptor.set_option(Tcp::acceptor::reuse_address(true), code);
        if (!code && this->settings.reusePort)
            this->acceptor.set_option(ReusePort(true), code);
        if (!code)
            this->acceptor.bind(endpoint, code);
        if (!code)
            this->acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
        if (!code)
            this->boundPort = this->acceptor.local_endpoint().port();
        return code;
    }

    // Must run on the server's thread.
    void accept()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](beast::error_code code, Tcp::socket socket) {
            if (self->isStopping)
                return;
            if (!code)
                self->addConnection(std::move(socket));
            if (!code)
                self->accept();
            else
                self->acceptLater();
        });
    }

    // Accepts again after a delay, because an error such as a lack of descriptors would repeat at once.
    void acceptLater()
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(this->thread.ioContext(), acceptRetryDelay);
        timer->async_wait([self = this->shared_from_this(), timer](beast::error_code) {
            if (!self->isStopping)
                self->accept();
        });
    }

    // Must run on the server's thread.
    void stopAccepting()
    {
        if (this->isStopping)
            return;
        this->isStopping = true;
        beast::error_code ignored;
        this->acceptor.close(ignored);
        for (Connection& connection : this->connections) {
            if (!connection.isBusy)
                connection.stream.close();
        }
    }

    FiberThread& thread;
    HttpServerSettings settings;
    Handler handler;
    uint16_t boundPort = 0;
    std::atomic<size_t> connectionCount { 0 };

private:
    struct Connection {
        explicit Connection(Tcp::socket&& socket)
            : stream(std::move(socket))
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bool isBusy = false;
        std::list<Connection>::iterator position;
    };

    // Closes the connection that has been idle for longest. Its handler removes it.
    void closeIdleConnection()
    {
        const auto idle = std::find_if(this->connections.begin(), this->connections.end(),
            [](const Connection& connection) { return !connection.isBusy && connection.stream.socket().is_open(); });
        if (idle != this->connections.end())
            idle->stream.close();
    }

    void addConnection(Tcp::socket&& socket)
    {
        if (this->connections.size() >= 2 * this->settings.maxConnections)
            return;
        if (this->connections.size() >= this->settings.maxConnections)
            this->closeIdleConnection();
        beast::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        this->connections.emplace_back(std::move(socket));
        this->connections.back().position = std::prev(this->connections.end());
        ++this->connectionCount;
        this->awaitRequest(this->connections.back());
    }

    void removeConnection(Connection& connection)
    {
        connection.stream.close();
        this->connections.erase(connection.position);
        --this->connectionCount;
    }

    // Waits without a fiber until the first byte of the next request arrives. Beast's timeout does not apply to this wait, so only
    // the platform's load balancer and drain() end idle connections.
    void awaitRequest(Connection& connection)
    {
        connection.isBusy = false;
        if (this->isStopping)
            return this->removeConnection(connection);
        if (connection.buffer.size() > 0)
            return this->startRequests(connection);
        connection.stream.socket().async_wait(
            Tcp::socket::wait_read, [self = this->shared_from_this(), &connection](beast::error_code code) {
                if (code || self->isStopping)
                    self->removeConnection(connection);
                else
                    self->startRequests(connection);
            });
    }

    void startRequests(Connection& connection)
    {
        connection.isBusy = true;
        startFiber([self = this->shared_from_this(), &connection] {
            const bool keepOpen = self->handleRequest(connection);
            if (keepOpen)
                self->awaitRequest(connection);
            else
                self->removeConnection(connection);
        });
    }

    // Reads one request, runs the handler and sends the response. Returns whether the connection can carry another request.
    bool handleRequest(Connection& connection)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(this->settings.maxBodyBytes);
        parser.header_limit(maxHeaderBytes);
        connection.stream.expires_after(this->settings.transferTimeout);
        const IoOutcome readOutcome
            = awaitIo([&](auto callback) { http::async_read(connection.stream, connection.buffer, parser, std::move(callback)); });
        if (readOutcome.code == http::error::end_of_stream || readOutcome.code == beast::error::timeout
            || readOutcome.code == boost::asio::error::connection_reset)
            return false;
        if (readOutcome.code) {
            this->send(connection,
                this->settings.errorResponse ? this->settings.errorResponse(errorFromReadFailure(readOutcome.code))
                                             : HttpResponse { 400, "text/plain", {}, "" },
                11, false);
            this->discardInput(connection);
            return false;
        }

        const bool keepAlive = parser.get().keep_alive();
        const unsigned version = parser.get().version();
        // The handler enforces its own deadline.
        connection.stream.expires_never();
        HttpResponse response = this->handler(toRequest(parser.release()));
        const bool keepOpen = keepAlive && !this->isStopping;
        return this->send(connection, std::move(response), version, keepOpen) && keepOpen;
    }

    // Reads and discards what the client still sends. Closing a socket with unread bytes would reset the connection, and the client
    // could lose the response before reading it.
    void discardInput(Connection& connection)
    {
        beast::error_code ignored;
        connection.stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        std::array<char, 16384> buffer {};
        uint64_t discarded = 0;
        const TimePoint deadline = now() + discardTimeout;
        while (discarded < maxDiscardedBytes && now() < deadline) {
            connection.stream.expires_at(toSteady(deadline));
            const IoOutcome readOutcome
                = awaitIo([&](auto callback) { connection.stream.async_read_some(boost::asio::buffer(buffer), std::move(callback)); });
            if (readOutcome.code)
                return;
            discarded += readOutcome.bytes;
        }
    }

    bool send(Connection& connection, HttpResponse&& response, unsigned version, bool keepAlive)
    {
        http::response<http::string_body> message = toMessage(std::move(response), version, keepAlive);
        connection.stream.expires_after(this->settings.transferTimeout);
        const IoOutcome writeOutcome = awaitIo([&](auto callback) { http::async_write(connection.stream, message, std::move(callback)); });
        connection.stream.expires_never();
        if (!keepAlive && !writeOutcome.code) {
            beast::error_code ignored;
            connection.stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        }
        return !writeOutcome.code;
    }

    Tcp::acceptor acceptor;
    std::list<Connection> connections;
    bool isStopping = false;
};

HttpServer::HttpServer(std::shared_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(FiberThread& thread, HttpServerSettings settings, Handler handler)
{
    auto implementation = std::make_shared<Implementation>(thread, std::move(settings), std::move(handler));
    const beast::error_code code = implementation->openAcceptor();
    if (code) {
        return fail(ErrorKind::Internal,
            "cannot listen on " + implementation->settings.address + ":" + std::to_string(implementation->settings.port) + ": "
                + code.message());
    }
    thread.post([implementation] { implementation->accept(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

HttpServer::~HttpServer() { this->drain(now() + this->implementation->settings.transferTimeout); }

uint16_t HttpServer::port() const { return this->implementation->boundPort; }

void HttpServer::stopAccepting()
{
    this->implementation->thread.call([this] { this->implementation->stopAccepting(); });
}

bool HttpServer::drain(TimePoint deadline)
{
    this->stopAccepting();
    constexpr Duration pollInterval = std::chrono::milliseconds(2);
    while (this->implementation->connectionCount > 0) {
        if (now() >= deadline)
            return false;
        sleepFor(pollInterval);
    }
    return true;
}

}
