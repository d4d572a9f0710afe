#pragma once

#include "foxtailtrail/filters/RequestContext.h"
#include "foxtailtrail/server/Metrics.h"

namespace foxtail {

// Turns the end of a request into the caller's answer: the results with the next token, or an error of the closed list.
class ResponseBuilder final {
public:
    HttpResponse response(const RequestContext&, const Result<void>&) const;

    // What metrics and the burn report count.
    RequestRecord makeRequestRecord(const RequestContext&, const Result<void>&) const;

    // The answer that carries an error.
    static HttpResponse errorResponse(const Error&);

    // The answer to GET /healthz: 200 while the VM may serve, else 503.
    static HttpResponse healthResponse(const ControlSnapshot&);

private:
    HttpResponse statusResponse(const RequestContext&) const;
    std::string tokenFor(const RequestContext&) const;
};

}
