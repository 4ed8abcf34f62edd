#pragma once

#include "include/base/Error.h"

#include <cpprest/json.h>

#include <string>

namespace arbutus::ctl {

// HTTP client for the admin API of one process.
class AdminClient {
public:
    AdminClient(std::string url, std::string token)
        : url_(std::move(url))
        , token_(std::move(token))
    {
    }

    const std::string& url() const { return url_; }

    // Returns the JSON body of the response. Fails with the error kind in the
    // response, NoUpstream if no response arrives, or Internal if the response is
    // malformed.
    base::Result<web::json::value> get(const std::string& path) const;
    base::Result<web::json::value> post(const std::string& path, const web::json::value& body) const;

private:
    base::Result<web::json::value> exchange(const std::string& method, const std::string& path, const web::json::value* body) const;

    const std::string url_;
    const std::string token_;
};

} // namespace arbutus::ctl
