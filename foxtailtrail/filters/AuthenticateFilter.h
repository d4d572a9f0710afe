#pragma once

#include "foxtailtrail/filters/RequestContext.h"

namespace foxtail {

// Decides for which organisation a request runs, from the key that came with this very request and the configuration that is
// in force now. Fails with ConfigurationStale, UnknownRoute, KeyMissing, KeyUnknown, KeyWithdrawn, NotPermitted, KeyInRequest or
// TokenInvalid.
class AuthenticateFilter final : public RequestFilter {
public:
    Result<void> apply(RequestContext&) override;

private:
    Result<void> findOrganisation(RequestContext&) const;
    Result<void> checkToken(RequestContext&) const;
};

}
