#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace foxtail {

// One header field of a message.
struct HttpHeader {
    std::string name;
    std::string value;
};

// A request as the handlers see it. Header names compare without regard to case.
struct HttpRequest {
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    // The value of the first header of that name, or null.
    const std::string* header(const std::string& name) const;
};

// An answer to a request. The body has the given content type.
struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    // The value of the first header of that name, or null.
    const std::string* header(const std::string& name) const;
};

}
