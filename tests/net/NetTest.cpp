#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/net/HttpServer.h"
#include "foxtailtrail/net/JsonRpc.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <vector>

namespace foxtail {

namespace {

    constexpr Duration longTimeout = std::chrono::seconds(30);

    // Provides an HTTP server and a client, each on its own thread.
    class HttpTest : public testing::Test {
    protected:
        void start(HttpServer::Handler handler)
        {
            HttpServerSettings settings;
            settings.maxBodyBytes = 1000;
            settings.errorResponse = [](const Error& error) {
                const ErrorKindProperties& row = errorKindProperties(error.kind);
                return HttpResponse { row.httpStatus, "text/plain", {}, std::string(row.name) };
            };
            this->server = HttpServer::listen(*this->serverThread, settings, std::move(handler)).value();
        }

        // Sends raw bytes over a socket and returns all bytes of the response.
        std::string sendRaw(const std::string& bytes)
        {
            boost::asio::io_context context;
            boost::asio::ip::tcp::socket socket(context);
            socket.connect({ boost::asio::ip::make_address("127.0.0.1"), this->server->port() });
            boost::asio::write(socket, boost::asio::buffer(bytes));
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
            std::string received;
            boost::system::error_code code;
            boost::asio::read(socket, boost::asio::dynamic_buffer(received), code);
            return received;
        }

        std::unique_ptr<FiberThread> serverThread = FiberThread::start("server");
        std::unique_ptr<FiberThread> clientThread = FiberThread::start("client");
        std::unique_ptr<HttpServer> server;
    };

}

// Guards against a call that waits until the kernel retransmits the SYN of a connection, which takes seconds and outlasts a network
// partition. Reported as CONFIG in run scale-2 with the grown sites.
TEST_F(HttpTest, ConnectTimesOutBeforeSynIsRetransmitted)
{
    // Once the accept queue is full, the kernel drops the SYN packets of further connections.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    acceptor.listen(0);
    std::vector<boost::asio::ip::tcp::socket> pendingConnections;
    for (int count = 0; count < 4; ++count) {
        pendingConnections.emplace_back(context);
        pendingConnections.back().open(boost::asio::ip::tcp::v4());
        pendingConnections.back().native_non_blocking(true);
        const auto endpoint = acceptor.local_endpoint();
        // Returns before the connection is established, because the socket is non-blocking.
        const int outcome = ::connect(pendingConnections.back().native_handle(), endpoint.data(), static_cast<socklen_t>(endpoint.size()));
        ASSERT_TRUE(outcome == 0 || errno == EINPROGRESS);
    }
    const auto startedAt = std::chrono::steady_clock::now();
    const Result<HttpResponse> response = this->clientThread->call([&] {
        HttpClient client({ "127.0.0.1", acceptor.local_endpoint().port() });
        return client.send({ "GET", "/", {}, {} }, now() + longTimeout);
    });
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().kind, ErrorKind::PeerUnavailable);
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, std::chrono::seconds(2));
}

// Guards against an order that is sent after the right to send it has ended, because opening the connection took long or the process was
// suspended meanwhile (review case 9).
TEST_F(HttpTest, SendsNothingOnceTheCheckFailsWithTheConnectionOpen)
{
    std::atomic<int> requestCount { 0 };
    this->start([&](const HttpRequest&) {
        ++requestCount;
        return HttpResponse { 200, "text/plain", {}, "" };
    });
    this->clientThread->call([&] {
        HttpClient client({ "127.0.0.1", this->server->port() });
        const Result<HttpResponse> refused = client.send({ "POST", "/", {}, "" }, now() + longTimeout, [] { return false; });
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, ErrorKind::PeerUnavailable);
        // An open connection is no exception.
        EXPECT_TRUE(client.send({ "POST", "/", {}, "" }, now() + longTimeout, [] { return true; }));
        EXPECT_FALSE(client.send({ "POST", "/", {}, "" }, now() + longTimeout, [] { return false; }));
        EXPECT_FALSE(client.send({ "POST", "/", {}, "" }, now()));
    });
    EXPECT_EQ(requestCount, 1);
}

// Guards against a response that is returned to the request of another fiber when many fibers share a client.
TEST_F(HttpTest, ReturnsEachResponseToItsOwnRequest)
{
    this->start([](const HttpRequest& request) {
        sleepFor(std::chrono::milliseconds(request.body.size() % 3));
        return HttpResponse { 200, "text/plain", {}, request.target + request.body };
    });
    constexpr int fiberCount = 50;
    std::atomic<int> correctCount { 0 };
    std::atomic<int> endedCount { 0 };
    const Endpoint endpoint { "127.0.0.1", this->server->port() };
    auto client = std::make_unique<HttpClient>(endpoint, 4);
    for (int index = 0; index < fiberCount; ++index) {
        this->clientThread->post([&, index] {
            for (int round = 0; round < 20; ++round) {
                const std::string body(static_cast<size_t>(index), 'x');
                const auto response = client->send({ "POST", "/" + std::to_string(round), {}, body }, now() + longTimeout);
                if (response && response.value().body == "/" + std::to_string(round) + body)
                    ++correctCount;
            }
            ++endedCount;
        });
    }
    while (endedCount < fiberCount)
        sleepFor(std::chrono::milliseconds(1));
    EXPECT_EQ(correctCount, fiberCount * 20);
    this->clientThread->call([&] { client.reset(); });
}

// Guards against malformed input that terminates the process or gets no specific error.
TEST_F(HttpTest, RejectsMalformedRequests)
{
    this->start([](const HttpRequest& request) { return HttpResponse { 200, "text/plain", {}, request.body }; });
    EXPECT_NE(this->sendRaw("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x')).find("413"), std::string::npos);
    EXPECT_NE(this->sendRaw(std::string("\0\1\2garbage\r\n\r\n", 14)).find("MalformedRequest"), std::string::npos);
    EXPECT_NE(this->sendRaw("GET / HTTP/1.1\r\nX: " + std::string(20000, 'y') + "\r\n\r\n").find("400"), std::string::npos);
    EXPECT_EQ(this->sendRaw("GET / HT"),
        "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 16\r\n\r\nMalformedRequest");
    EXPECT_NE(this->sendRaw("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok").find("200 OK"), std::string::npos);
}

// Guards against a planned stop that aborts a running request.
TEST_F(HttpTest, DrainCompletesRunningRequests)
{
    std::atomic<bool> started { false };
    this->start([&](const HttpRequest&) {
        started = true;
        sleepFor(std::chrono::milliseconds(50));
        return HttpResponse { 200, "text/plain", {}, "whole" };
    });
    const Endpoint endpoint { "127.0.0.1", this->server->port() };
    std::atomic<bool> ended { false };
    std::string body;
    this->clientThread->post([&] {
        HttpClient client(endpoint);
        const auto response = client.send({ "GET", "/", {}, "" }, now() + longTimeout);
        body = response ? response.value().body : response.error().detail;
        ended = true;
    });
    while (!started)
        sleepFor(std::chrono::milliseconds(1));
    EXPECT_TRUE(this->server->drain(now() + longTimeout));
    while (!ended)
        sleepFor(std::chrono::milliseconds(1));
    EXPECT_EQ(body, "whole");
    const auto refused = this->clientThread->call([&] { return HttpClient(endpoint).send({ "GET", "/", {}, "" }, now() + longTimeout); });
    EXPECT_EQ(refused.error().kind, ErrorKind::PeerUnavailable);
}

// Guards against a server that takes new requests while a stop waits for those of another one.
TEST_F(HttpTest, RefusesConnectionsWhileRunningRequestGoesOn)
{
    std::atomic<bool> started { false };
    std::atomic<bool> released { false };
    this->start([&](const HttpRequest&) {
        started = true;
        while (!released)
            sleepFor(std::chrono::milliseconds(1));
        return HttpResponse { 200, "text/plain", {}, "whole" };
    });
    const Endpoint endpoint { "127.0.0.1", this->server->port() };
    std::atomic<bool> ended { false };
    std::string body;
    this->clientThread->post([&] {
        HttpClient client(endpoint);
        const auto response = client.send({ "GET", "/", {}, "" }, now() + longTimeout);
        body = response ? response.value().body : response.error().detail;
        ended = true;
    });
    while (!started)
        sleepFor(std::chrono::milliseconds(1));
    this->server->stopAccepting();
    const auto refused = this->clientThread->call([&] { return HttpClient(endpoint).send({ "GET", "/", {}, "" }, now() + longTimeout); });
    EXPECT_EQ(refused.error().kind, ErrorKind::PeerUnavailable);
    EXPECT_FALSE(ended);
    released = true;
    EXPECT_TRUE(this->server->drain(now() + longTimeout));
    while (!ended)
        sleepFor(std::chrono::milliseconds(1));
    EXPECT_EQ(body, "whole");
}

// Guards against reporting a request as not run although its bytes have been sent.
TEST_F(HttpTest, ReportsUnknownOutcomeWhenResponseMissesDeadline)
{
    // The handler may still run after the body of the test has ended.
    const auto released = std::make_shared<std::atomic<bool>>(false);
    this->start([released](const HttpRequest&) {
        while (!*released)
            sleepFor(std::chrono::milliseconds(1));
        return HttpResponse {};
    });
    const Endpoint endpoint { "127.0.0.1", this->server->port() };
    // Two seconds suffice to connect and send on a busy machine. The response never arrives before the deadline.
    const auto result = this->clientThread->call([&] {
        return HttpClient(endpoint).send({ "GET", "/", {}, "" }, now() + std::chrono::seconds(2));
    });
    *released = true;
    EXPECT_EQ(result.error().kind, ErrorKind::OutcomeUnknown);
}

// Guards against an error of a peer, or an invalid call, that is taken for a result.
TEST(JsonRpcTest, ReturnsResultsAndErrors)
{
    JsonRpcDispatcher dispatcher;
    dispatcher.addMethod("echo", [](const std::string& parameters) { return JsonRpcOutcome { false, 0, parameters }; });
    dispatcher.addMethod("refuse", [](const std::string&) { return JsonRpcOutcome { true, jsonRpcApplicationError, "NotHome: vm2" }; });
    const JsonRpcTransport transport = [&](const std::string& request, std::string& reply, std::string&) {
        reply = dispatcher.handle(request);
        return true;
    };
    EXPECT_EQ(callJsonRpc("echo", R"({"a":[1,null,"x"]})", transport).text, R"({"a":[1,null,"x"]})");
    EXPECT_EQ(callJsonRpc("refuse", "{}", transport).text, "NotHome: vm2");
    EXPECT_TRUE(callJsonRpc("absent", "{}", transport).failed);
    EXPECT_TRUE(callJsonRpc("echo", "{", transport).failed);
    for (const char* text : { "", "[]", "{}", "[[[[", "{\"jsonrpc\":\"2.0\",\"method\":\"echo\",\"params\":7,\"id\":1}" })
        EXPECT_NE(dispatcher.handle(text).find("error"), std::string::npos) << text;
    const JsonRpcTransport failingTransport = [](const std::string&, std::string&, std::string& error) {
        error = "connection refused";
        return false;
    };
    EXPECT_EQ(callJsonRpc("echo", "{}", failingTransport).code, jsonRpcTransportError);
}

}
