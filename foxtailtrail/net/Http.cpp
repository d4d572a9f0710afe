#include "foxtailtrail/net/Http.h"

#include <boost/beast/core/string.hpp>

namespace foxtail {

namespace {

    const std::string* findHeader(const std::vector<HttpHeader>& headers, const std::string& name)
    {
        for (const HttpHeader& header : headers) {
            if (boost::beast::iequals(header.name, name))
                return &header.value;
        }
        return nullptr;
    }

}

const std::string* HttpRequest::header(const std::string& name) const { return findHeader(this->headers, name); }

const std::string* HttpResponse::header(const std::string& name) const { return findHeader(this->headers, name); }

}
