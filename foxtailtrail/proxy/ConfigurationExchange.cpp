#include "foxtailtrail/proxy/ConfigurationExchange.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/Json.h"
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

    // In requests, the store version as of which the requester knows the evacuations; in responses, the evacuations that are newer.
    constexpr const char* evacuationsHeader = "Foxtail-Evacuations";

    std::string encodeEvacuations(const EvacuationState& state)
    {
        json::array names;
        for (const DataCentre& dataCentre : state.dataCentres)
            names.emplace_back(dataCentre.value);
        return base64UrlEncode(json::serialize(
            json::object { { "era", state.asOf.era }, { "version", state.asOf.number }, { "dataCentres", std::move(names) } }));
    }

    Result<EvacuationState> decodeEvacuations(const std::string& text)
    {
        std::string decoded;
        if (!base64UrlDecode(text, decoded))
            return fail(ErrorKind::MalformedRequest, "the evacuations cannot be decoded");
        BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(decoded));
        EvacuationState state;
        BOOST_OUTCOME_TRY(state.asOf.era, unsignedMember(object, "era"));
        BOOST_OUTCOME_TRY(state.asOf.number, unsignedMember(object, "version"));
        BOOST_OUTCOME_TRY(const json::array names, arrayMember(object, "dataCentres"));
        for (const json::value& name : names) {
            if (!name.is_string())
                return fail(ErrorKind::MalformedRequest, "an evacuated data centre has no name");
            state.dataCentres.emplace_back(std::string(std::string_view(name.get_string())));
        }
        return state;
    }

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
    std::vector<HttpHeader> headers;
    // A VM that does not know the evacuations of another era, or any, sends no state or an earlier one.
    const std::string* known = request.header(evacuationsHeader);
    const Result<EvacuationState> requesterState = known ? decodeEvacuations(*known) : Result<EvacuationState>(EvacuationState {});
    if (!requesterState || requesterState.value().asOf < this->evacuations.knownAsOf())
        headers.push_back({ evacuationsHeader, encodeEvacuations(this->evacuations.state()) });
    if (this->documentVersion <= requesterVersion)
        return HttpResponse { 204, "text/plain", headers, {} };
    headers.push_back({ eraHeader, std::to_string(this->followedStoreVersion.era) });
    headers.push_back({ followedHeader, std::to_string(this->followedStoreVersion.number) });
    return HttpResponse { 200, "application/json", headers, this->document };
}

Result<PeerAnswer> ConfigurationExchange::fetch(const Endpoint& peer, Duration timeout) const
{
    HttpClient client(peer, 0);
    HttpRequest request;
    request.method = "GET";
    request.target = requestTarget;
    request.headers = { { versionHeader, std::to_string(this->documentVersion) },
        { contactHeader, this->ownEndpoint.address + ":" + std::to_string(this->ownEndpoint.port) },
        { evacuationsHeader, encodeEvacuations({ this->evacuations.knownAsOf(), {} }) } };
    BOOST_OUTCOME_TRY(HttpResponse response, client.send(request, now() + timeout));
    PeerAnswer answer;
    if (const std::string* evacuated = response.header(evacuationsHeader)) {
        BOOST_OUTCOME_TRY(answer.evacuations, decodeEvacuations(*evacuated));
    }
    if (response.status == 204)
        return answer;
    const std::string* era = response.header(eraHeader);
    const std::string* followedVersion = response.header(followedHeader);
    if (response.status != 200 || !era || !followedVersion)
        return fail(ErrorKind::PeerUnavailable, "the peer responded with status " + std::to_string(response.status));
    const StoreVersion followed { std::strtoull(era->c_str(), nullptr, 10), std::strtoull(followedVersion->c_str(), nullptr, 10) };
    answer.configuration = PeerConfiguration { std::move(response.body), followed };
    return answer;
}

}
