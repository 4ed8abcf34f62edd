#pragma once

#include "include/base/Error.h"

#include <cpprest/json.h>

#include <string>

namespace arbutus::ctl {

// Calls the administration interface of one process.
class AdminClient {
public:
    AdminClient(std::string url, std::string token)
        : url_(std::move(url))
        , token_(std::move(token))
    {
    }

    const std::string& url() const { return url_; }

    // Fails with the kind that the process answered, or with NoUpstream when it
    // cannot be reached.
    base::Result<web::json::value> get(const std::string& path) const;
    base::Result<web::json::value> post(const std::string& path, const web::json::value& body) const;

private:
    base::Result<web::json::value> exchange(const std::string& method, const std::string& path, const web::json::value* body) const;

    const std::string url_;
    const std::string token_;
};

} // namespace arbutus::ctl
