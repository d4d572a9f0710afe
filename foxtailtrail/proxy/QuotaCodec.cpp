#include "foxtailtrail/proxy/QuotaCodec.h"

#include <cmath>

namespace foxtail {

namespace {

    double numberAt(const json::array& list, size_t index) { return list.at(index).to_number<double>(); }

    Duration millisecondsAt(const json::array& list, size_t index)
    {
        return std::chrono::milliseconds(list.at(index).to_number<int64_t>());
    }

    OrganisationId organisationAt(const json::array& list) { return OrganisationId(std::string(std::string_view(list.at(0).as_string()))); }

    // Keeps datagrams short: nobody needs more digits of a rate.
    double rounded(double value) { return std::round(value * 100) / 100; }

}

json::array encodeQuotaRequests(const std::vector<QuotaRequest>& requests)
{
    json::array list;
    for (const QuotaRequest& request : requests) {
        json::array claims;
        for (const QuotaClaim& claim : request.waiting)
            claims.push_back(json::array { claim.priority, toMilliseconds(claim.timeLeft), toMilliseconds(claim.waited), claim.count });
        list.push_back(json::array {
            request.organisation.value, std::move(claims), rounded(request.expected), request.unused, rounded(request.demandPerSecond) });
    }
    return list;
}

std::vector<QuotaRequest> decodeQuotaRequests(const json::array& list)
{
    std::vector<QuotaRequest> requests;
    for (const json::value& each : list) {
        const json::array& fields = each.as_array();
        QuotaRequest request { organisationAt(fields), {}, numberAt(fields, 2), numberAt(fields, 3), numberAt(fields, 4) };
        for (const json::value& eachClaim : fields.at(1).as_array()) {
            const json::array& claim = eachClaim.as_array();
            request.waiting.push_back(
                { claim.at(0).to_number<uint32_t>(), millisecondsAt(claim, 1), millisecondsAt(claim, 2), claim.at(3).to_number<size_t>() });
        }
        requests.push_back(std::move(request));
    }
    return requests;
}

json::array encodeQuotaGrants(const std::vector<QuotaGrant>& grants)
{
    json::array list;
    for (const QuotaGrant& grant : grants) {
        json::array line;
        for (const QuotaLinePlace& place : grant.line)
            line.push_back(json::array { place.priority, toMilliseconds(place.delay) });
        list.push_back(
            json::array { grant.organisation.value, grant.tokens, grant.oldestFirst, std::move(line), rounded(grant.expectedRate) });
    }
    return list;
}

std::vector<QuotaGrant> decodeQuotaGrants(const json::array& list)
{
    std::vector<QuotaGrant> grants;
    for (const json::value& each : list) {
        const json::array& fields = each.as_array();
        QuotaGrant grant { organisationAt(fields), numberAt(fields, 1), fields.at(2).to_number<size_t>(), {}, numberAt(fields, 4) };
        for (const json::value& place : fields.at(3).as_array())
            grant.line.push_back({ place.as_array().at(0).to_number<uint32_t>(), millisecondsAt(place.as_array(), 1) });
        grants.push_back(std::move(grant));
    }
    return grants;
}

}
