#include "foxtailtrail/filters/AuthenticateFilter.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/session/ConsistencyToken.h"

#include <algorithm>

namespace foxtail {

Result<void> AuthenticateFilter::apply(RequestContext& context)
{
    const ControlSnapshot& snapshot = *context.snapshot;
    if (!snapshot.configuration || now() >= snapshot.servingDeadline)
        return fail(ErrorKind::ConfigurationStale, "the configuration has not been confirmed within its freshness lifetime");

    const auto found = snapshot.configuration->services.find(context.serviceName);
    if (found == snapshot.configuration->services.end())
        return fail(ErrorKind::UnknownRoute, "there is no such service");
    context.service = &found->second;
    context.request.database = context.service->database;
    BOOST_OUTCOME_TRY(this->findOrganisation(context));
    return this->checkToken(context);
}

Result<void> AuthenticateFilter::findOrganisation(RequestContext& context) const
{
    const Service& service = *context.service;
    if (service.access == ServiceAccess::Open) {
        context.request.organisation = service.openOrganisation;
    } else {
        BOOST_OUTCOME_TRY(context.request.organisation, context.snapshot->keyTable->authenticate(context.headers.key));
        const auto& permitted = service.organisations;
        if (!permitted.empty() && std::find(permitted.begin(), permitted.end(), context.request.organisation) == permitted.end())
            return fail(ErrorKind::NotPermitted);
    }
    // A key in a statement, parameter or request id would reach a backend server. The search covers the decoded texts, because the
    // body may write the key with JSON escapes.
    const std::string& key = context.headers.key;
    if (key.empty())
        return succeed();
    for (const Statement& statement : context.request.statements) {
        if (statement.sql.find(key) != std::string::npos)
            return fail(ErrorKind::KeyInRequest);
        for (const SqlValue& value : statement.params) {
            if (value && value->find(key) != std::string::npos)
                return fail(ErrorKind::KeyInRequest);
        }
    }
    if (context.request.requestId.value.find(key) != std::string::npos)
        return fail(ErrorKind::KeyInRequest);
    return succeed();
}

Result<void> AuthenticateFilter::checkToken(RequestContext& context) const
{
    if (context.headers.token.empty())
        return succeed();
    BOOST_OUTCOME_TRY(
        const ConsistencyToken token, ConsistencyToken::decode(context.headers.token, context.snapshot->configuration->fleetSecret));
    if (token.database != context.request.database)
        return fail(ErrorKind::TokenInvalid, "the token belongs to another database");
    context.request.token = token.logPoint;
    return succeed();
}

}
