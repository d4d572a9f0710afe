#include "foxtailtrail/net/HttpClient.h"

#include "foxtailtrail/net/Await.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/SocketOptions.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <vector>

namespace foxtail {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

    // Responses of other VMs and the store are well below this size.
    constexpr uint64_t maxResponseBytes = uint64_t { 64 } << 20;

    // Connecting across regions takes about 20 ms. The kernel retransmits an unanswered SYN only after seconds, so without this timeout
    // an attempt that began during a network partition would outlast the partition.
    constexpr Duration connectTimeout = std::chrono::milliseconds(800);

    // Returns whether an idle connection can be used again: the server has neither closed it nor sent unexpected data.
    bool isReusable(beast::tcp_stream& stream)
    {
        char byte = 0;
        beast::error_code code;
        stream.socket().non_blocking(true, code);
        stream.socket().receive(boost::asio::buffer(&byte, 1), Tcp::socket::message_peek, code);
        return code == boost::asio::error::would_block;
    }

    HttpResponse toResponse(http::response<http::string_body>&& message)
    {
        HttpResponse response;
        response.status = message.result_int();
        for (const auto& field : message)
            response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.contentType = std::string(message[http::field::content_type]);
        response.body = std::move(message.body());
        return response;
    }

}

class HttpClient::Implementation {
public:
    Implementation(Endpoint endpoint, size_t maxIdle)
        : endpoint(std::move(endpoint))
        , maxIdle(maxIdle)
    {
    }

    Result<HttpResponse> send(const HttpRequest& request, TimePoint deadline, const SendCheck& maySend)
    {
        BOOST_OUTCOME_TRY(std::unique_ptr<beast::tcp_stream> stream, this->acquireConnection(deadline));
        const BusyStream busy(this->busyStreams, stream.get());

        http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
        message.set(http::field::host, this->endpoint.address);
        for (const HttpHeader& header : request.headers)
            message.set(header.name, header.value);
        message.body() = request.body;
        message.prepare_payload();

        if (deadline <= now() || (maySend && !maySend()))
            return fail(
                ErrorKind::PeerUnavailable, this->endpointText() + ": not sent: the time for it had ended when the connection was open");
        stream->expires_at(toSteady(deadline));
        const IoOutcome writeOutcome = awaitIo([&](auto callback) { http::async_write(*stream, message, std::move(callback)); });
        this->counters.sentBytes += writeOutcome.bytes;
        if (writeOutcome.code)
            return this->outcomeUnknown(writeOutcome.code);

        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxResponseBytes);
        const IoOutcome readOutcome = awaitIo([&](auto callback) { http::async_read(*stream, buffer, parser, std::move(callback)); });
        this->counters.receivedBytes += readOutcome.bytes;
        if (readOutcome.code)
            return this->outcomeUnknown(readOutcome.code);

        stream->expires_never();
        if (parser.get().keep_alive() && this->idleConnections.size() < this->maxIdle)
            this->idleConnections.push_back(std::move(stream));
        return toResponse(parser.release());
    }

    void abortRequests()
    {
        for (beast::tcp_stream* stream : this->busyStreams)
            stream->cancel();
    }

    Endpoint endpoint;
    TransferCounters counters;

private:
    // Lists a connection as busy while it exists.
    class BusyStream {
    public:
        BusyStream(std::set<beast::tcp_stream*>& busyStreams, beast::tcp_stream* stream)
            : busyStreams(busyStreams)
            , stream(stream)
        {
            this->busyStreams.insert(this->stream);
        }
        ~BusyStream() { this->busyStreams.erase(this->stream); }
        BusyStream(const BusyStream&) = delete;
        BusyStream& operator=(const BusyStream&) = delete;

    private:
        std::set<beast::tcp_stream*>& busyStreams;
        beast::tcp_stream* stream;
    };

    boost::outcome_v2::failure_type<Error> outcomeUnknown(beast::error_code code)
    {
        // What took the response may have silenced the idle connections too.
        this->idleConnections.clear();
        return fail(ErrorKind::OutcomeUnknown, this->endpointText() + ": no complete response: " + code.message());
    }

    std::string endpointText() const { return this->endpoint.address + ":" + std::to_string(this->endpoint.port); }

    // Takes an idle connection or opens a new one.
    Result<std::unique_ptr<beast::tcp_stream>> acquireConnection(TimePoint deadline)
    {
        while (!this->idleConnections.empty()) {
            std::unique_ptr<beast::tcp_stream> stream = std::move(this->idleConnections.back());
            this->idleConnections.pop_back();
            if (isReusable(*stream))
                return stream;
        }
        beast::error_code code;
        const auto address = boost::asio::ip::make_address(this->endpoint.address, code);
        if (code)
            return fail(ErrorKind::PeerUnavailable, "\"" + this->endpoint.address + "\" is not an IP address");
        auto stream = std::make_unique<beast::tcp_stream>(FiberThread::current()->ioContext());
        stream->expires_at(toSteady(std::min(deadline, now() + connectTimeout)));
        const IoOutcome connectOutcome = awaitIo([&](auto callback) {
            stream->async_connect(
                Tcp::endpoint(address, this->endpoint.port), [callback](beast::error_code outcome) mutable { callback(outcome); });
        });
        if (connectOutcome.code)
            return fail(ErrorKind::PeerUnavailable, this->endpointText() + ": cannot connect: " + connectOutcome.code.message());
        configureSocket(stream->socket().native_handle());
        return stream;
    }

    size_t maxIdle;
    std::vector<std::unique_ptr<beast::tcp_stream>> idleConnections;
    std::set<beast::tcp_stream*> busyStreams;
};

HttpClient::HttpClient(Endpoint endpoint, size_t maxIdleConnections)
    : implementation(std::make_unique<Implementation>(std::move(endpoint), maxIdleConnections))
{
}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::send(const HttpRequest& request, TimePoint deadline, const SendCheck& maySend)
{
    return this->implementation->send(request, deadline, maySend);
}

void HttpClient::abortRequests() { this->implementation->abortRequests(); }

const Endpoint& HttpClient::endpoint() const { return this->implementation->endpoint; }

const TransferCounters& HttpClient::counters() const { return this->implementation->counters; }

}
