#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutus::http1 {

enum class HeldFor {
    // Requests that are read, wait or run.
    Requests,
    // Answers that are buffered or that a slow caller has not read.
    Answers,
};

// Ends or shortens what some holders of a budget hold.
class Reclaimer {
public:
    virtual ~Reclaimer() = default;

    // Frees bytes until the budget is within its target, as far as this reclaimer can.
    void reclaim() { onReclaim(); }

private:
    virtual void onReclaim() = 0;
};

// Counts the bytes that a process holds for its callers against a capacity. All users run on
// one event loop.
class ByteBudget {
public:
    // For a process that knows nothing of its machine.
    static constexpr std::size_t defaultCapacity = std::size_t { 128 } << 20;
    // A holder of no more than this counts as small. Small holders are never reclaimed, and
    // the reserve is for them alone. All connections of an entry VM with 160 MB and 4,100
    // descriptors hold 15 MiB at this size.
    static constexpr std::size_t smallBytes = std::size_t { 8 } << 10;

    explicit ByteBudget(std::size_t capacity = defaultCapacity)
        : capacity_(capacity)
    {
    }
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    std::size_t capacity() const { return capacity_; }
    std::size_t held() const { return held_[0] + held_[1]; }
    std::size_t held(HeldFor purpose) const { return held_[static_cast<std::size_t>(purpose)]; }

    bool isExceeded() const { return held() > capacity_; }
    // Whether a holder of `bytes`, which are counted already, may keep them.
    bool allows(std::size_t bytes) const { return held() <= (bytes <= smallBytes ? capacity_ + capacity_ / 4 : capacity_); }
    // Answers have a part of their own, so that they leave room for requests.
    bool isCrowdedByAnswers() const { return held(HeldFor::Answers) > capacity_ / 4; }
    // Reclaiming stops a little below the capacity, so that it is not needed for each read.
    bool isWithinTarget() const { return held() <= capacity_ - capacity_ / 16; }

    // `reclaimer` must be removed before it is destroyed.
    void addReclaimer(Reclaimer& reclaimer) { reclaimers_.push_back(&reclaimer); }
    void removeReclaimer(Reclaimer&);
    // Lets the reclaimers free bytes if the capacity is exceeded. Does nothing while they do,
    // because what they end may hold bytes for a moment.
    void reclaimIfExceeded();

    // Counts a request that was refused for want of bytes.
    void countRefusal() { ++refusals_; }
    std::uint64_t refusals() const { return refusals_; }

private:
    friend class ByteCharge;

    const std::size_t capacity_;
    std::array<std::size_t, 2> held_ {};
    std::vector<Reclaimer*> reclaimers_;
    bool isReclaiming_ = false;
    std::uint64_t refusals_ = 0;
};

// The part of one holder in a budget. Released on destruction.
class ByteCharge {
public:
    ByteCharge() = default;
    ByteCharge(std::shared_ptr<ByteBudget> budget, HeldFor purpose)
        : budget_(std::move(budget))
        , purpose_(purpose)
    {
    }
    ~ByteCharge() { set(0); }
    ByteCharge(ByteCharge&& other) noexcept
        : budget_(std::move(other.budget_))
        , purpose_(other.purpose_)
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    ByteCharge& operator=(ByteCharge&& other) noexcept
    {
        set(0);
        budget_ = std::move(other.budget_);
        purpose_ = other.purpose_;
        bytes_ = std::exchange(other.bytes_, 0);
        return *this;
    }

    void set(std::size_t bytes)
    {
        if (!budget_)
            return;
        auto& held = budget_->held_[static_cast<std::size_t>(purpose_)];
        held = held - bytes_ + bytes;
        bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

private:
    std::shared_ptr<ByteBudget> budget_;
    HeldFor purpose_ = HeldFor::Requests;
    std::size_t bytes_ = 0;
};

// Returns the bytes that a string has allocated. It may have far more than its size.
inline std::size_t allocatedBytes(const std::string& text)
{
    static const std::size_t inlineCapacity = std::string().capacity();
    return text.capacity() > inlineCapacity ? text.capacity() : 0;
}

} // namespace arbutus::http1
