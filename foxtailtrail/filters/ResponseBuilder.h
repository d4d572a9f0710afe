#pragma once

#include "foxtailtrail/filters/RequestContext.h"
#include "foxtailtrail/server/Metrics.h"

namespace foxtail {

// Builds the HTTP response to a client request: the results with the new consistency token, or an error of a documented kind.
class ResponseBuilder final {
public:
    HttpResponse response(const RequestContext&, const Result<void>&) const;

    // Makes the record that metrics and the burn rate report count.
    RequestRecord makeRequestRecord(const RequestContext&, const Result<void>&) const;

    // Builds the response that reports an error.
    static HttpResponse errorResponse(const Error&);

    // Builds the response to GET /healthz: 200 while the VM may serve, else 503.
    static HttpResponse healthResponse(const ControlSnapshot&);

private:
    HttpResponse statusResponse(const RequestContext&) const;
    std::string tokenFor(const RequestContext&) const;
};

}
