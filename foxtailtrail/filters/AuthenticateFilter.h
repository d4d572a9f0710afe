#pragma once

#include "foxtailtrail/filters/RequestContext.h"

namespace foxtail {

// Determines the organisation of a request from the key in its headers and the installed configuration. Fails with ConfigurationStale,
// UnknownRoute, KeyMissing, KeyUnknown, KeyWithdrawn, NotPermitted, KeyInRequest or TokenInvalid.
class AuthenticateFilter final : public RequestFilter {
public:
    Result<void> apply(RequestContext&) override;

private:
    Result<void> findOrganisation(RequestContext&) const;
    Result<void> checkToken(RequestContext&) const;
};

}
