#pragma once

#include "foxtailtrail/execution/RetryPolicy.h"
#include "foxtailtrail/filters/RequestContext.h"
#include "foxtailtrail/server/HomeClient.h"

namespace foxtail {

// Sends a request to the home that can run it, and retries where that is safe, until RetryPolicy decides the final outcome. Fails with
// the error that the client receives.
class RouteFilter final : public RequestFilter {
public:
    RouteFilter(HomeClient&, RetryPolicySettings);

    Result<void> apply(RequestContext&) override;

private:
    Result<void> runTransaction(RequestContext&);
    Result<void> queryStatus(RequestContext&);
    std::optional<RetryEffect> runAttempt(RetryPolicy&, const StartAttempt&, const TransactionRequest&);
    std::optional<RetryEffect> resolve(RetryPolicy&, const ResolveById&, const TransactionRequest&);

    HomeClient& homeClient;
    RetryPolicySettings settings;
};

}
