#pragma once

#include <string>

namespace arbutus::net {

// Lends a large buffer of the thread to a connection's input while what has arrived is
// parsed. Afterwards, the input takes no more memory than its unparsed bytes.
class ReadBufferLoan {
public:
    // `input` must outlive the loan.
    explicit ReadBufferLoan(std::string& input)
        : input_(input)
    {
        if (input_.empty())
            input_.swap(spare());
    }
    ~ReadBufferLoan()
    {
        std::string unparsed(input_);
        if (input_.capacity() > spare().capacity() && input_.capacity() <= maxSpareBytes) {
            input_.clear();
            spare().swap(input_);
        }
        // A move of a short string would keep the capacity.
        input_.swap(unparsed);
    }
    ReadBufferLoan(const ReadBufferLoan&) = delete;
    ReadBufferLoan& operator=(const ReadBufferLoan&) = delete;

private:
    static constexpr std::size_t maxSpareBytes = std::size_t { 256 } << 10;

    static std::string& spare()
    {
        static thread_local std::string buffer;
        return buffer;
    }

    std::string& input_;
};

} // namespace arbutus::net
