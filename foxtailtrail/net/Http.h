#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace foxtail {

// A header field of an HTTP message.
struct HttpHeader {
    std::string name;
    std::string value;
};

// An HTTP request. Header names are case-insensitive.
struct HttpRequest {
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    // Returns the value of the first header with that name, or null.
    const std::string* header(const std::string& name) const;
};

// An HTTP response. The content type describes the body.
struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    // Returns the value of the first header with that name, or null.
    const std::string* header(const std::string& name) const;
};

}
