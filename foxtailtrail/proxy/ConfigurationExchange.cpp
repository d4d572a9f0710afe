#include "foxtailtrail/proxy/ConfigurationExchange.h"

#include "foxtailtrail/net/Clock.h"

#include <charconv>
#include <cstdlib>

namespace foxtail {

namespace {

    // Limits the number of requesters that are recorded; the oldest is dropped first.
    constexpr size_t maxRecordedRequesters = 8;
    constexpr const char* requestTarget = "/configuration";
    // Request headers: the configuration version of the requester, and the endpoint at which it serves the same request.
    constexpr const char* versionHeader = "Foxtail-Configuration";
    constexpr const char* contactHeader = "Foxtail-Contact";
    // Response headers: the era and number of the store version up to which the responder has applied the declarations.
    constexpr const char* eraHeader = "Foxtail-Store-Era";
    constexpr const char* followedHeader = "Foxtail-Store-Version";

    std::optional<Endpoint> parseEndpoint(const std::string& text)
    {
        const size_t colon = text.rfind(':');
        uint16_t port = 0;
        if (colon == std::string::npos)
            return std::nullopt;
        const char* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
        if (error != std::errc() || stop != end || port == 0)
            return std::nullopt;
        return Endpoint { text.substr(0, colon), port };
    }

}

void ConfigurationExchange::setDocument(std::string newDocument, uint64_t version)
{
    this->document = std::move(newDocument);
    this->documentVersion = version;
}

HttpResponse ConfigurationExchange::handleRequest(const HttpRequest& request)
{
    if (request.target != requestTarget)
        return HttpResponse { 404, "text/plain", {}, {} };
    const std::string* contact = request.header(contactHeader);
    if (const std::optional<Endpoint> requester = contact ? parseEndpoint(*contact) : std::nullopt) {
        std::erase(this->requesters, *requester);
        this->requesters.push_back(*requester);
        if (this->requesters.size() > maxRecordedRequesters)
            this->requesters.erase(this->requesters.begin());
    }
    const std::string* version = request.header(versionHeader);
    const uint64_t requesterVersion = version ? std::strtoull(version->c_str(), nullptr, 10) : 0;
    if (this->documentVersion <= requesterVersion)
        return HttpResponse { 204, "text/plain", {}, {} };
    return HttpResponse { 200, "application/json",
        { { eraHeader, std::to_string(this->followedStoreVersion.era) },
            { followedHeader, std::to_string(this->followedStoreVersion.number) } },
        this->document };
}

Result<std::optional<PeerConfiguration>> ConfigurationExchange::fetch(const Endpoint& peer, Duration timeout) const
{
    HttpClient client(peer, 0);
    HttpRequest request;
    request.method = "GET";
    request.target = requestTarget;
    request.headers = { { versionHeader, std::to_string(this->documentVersion) },
        { contactHeader, this->ownEndpoint.address + ":" + std::to_string(this->ownEndpoint.port) } };
    BOOST_OUTCOME_TRY(HttpResponse response, client.send(request, now() + timeout));
    if (response.status == 204)
        return std::optional<PeerConfiguration>();
    const std::string* era = response.header(eraHeader);
    const std::string* followedVersion = response.header(followedHeader);
    if (response.status != 200 || !era || !followedVersion)
        return fail(ErrorKind::PeerUnavailable, "the peer responded with status " + std::to_string(response.status));
    const StoreVersion followed { std::strtoull(era->c_str(), nullptr, 10), std::strtoull(followedVersion->c_str(), nullptr, 10) };
    return std::optional(PeerConfiguration { std::move(response.body), followed });
}

}
