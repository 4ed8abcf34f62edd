#pragma once

#include "include/base/Time.h"
#include "include/routes/RouteConfiguration.h"
#include "include/routing/ModelCopies.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::routing {

// What callers of a service expect.
struct StreamAims {
    FractionalMilliseconds firstEvent { 500 };
    // Between two events of a stream.
    FractionalMilliseconds pause { 250 };
};

// Demand and capacity of one data centre for one service. Streams are of typical size.
struct DataCentreState {
    // Streams per second that arrive at its entry VMs.
    double arrivals = 0;
    // Streams that fit at the complete copies which begin there and keep the aims, streams per
    // second that these can prefill, and streams that are there.
    double streams = 0;
    double prefillsPerSecond = 0;
    double running = 0;
    // How long a stream stays, and what its caller would see without network delay.
    FractionalMilliseconds holdTime { 0 };
    FractionalMilliseconds firstEvent { 0 };
    FractionalMilliseconds pause { 0 };
};

using DataCentreStates = std::map<std::string, DataCentreState>;

// Adds the copies to the capacity of their data centres. `typicalAnswer` is in tokens.
void addCopies(DataCentreStates&, const std::vector<ModelCopy>&, int tokensPerEvent, double typicalAnswer, const StreamAims&);

// Streams per second from the entry VMs of one data centre (first key) to the copies of
// another one (second key).
using CrossFlows = std::map<std::string, std::map<std::string, double>>;

// Computes the flows that pay. A data centre first uses its own copies, up to a share of
// their memory that leaves room for chance; the rest goes where capacity is left, in
// proportion to it, and stays if none is. A flow pays if it keeps the aims in spite of the
// delay and takes at most half of the link. A data centre without capacity sends all, also
// if that keeps no aim. Without a listed delay between two data centres there is no flow.
CrossFlows planFlows(const DataCentreStates&, const routes::LayeredModel&, const StreamAims&);

// Keeps the plan of one data centre: which share of its streams goes to each other one.
// Changes are damped, because demand and load are known late and only by samples.
class CrossSitePlanner {
public:
    using Shares = std::map<std::string, double>;

    explicit CrossSitePlanner(std::string dataCentre)
        : dataCentre_(std::move(dataCentre))
    {
    }

    void update(const DataCentreStates&, const routes::LayeredModel&, const StreamAims&, base::TimePoint now);

    // Positive shares of other data centres. The sum is at most 1; the rest stays.
    const Shares& shares() const { return shares_; }
    // Returns the streams per second that are expected to begin at copies of a data centre.
    double inflow(const std::string& dataCentre) const;

private:
    std::string dataCentre_;
    Shares shares_;
    std::map<std::string, double> inflows_;
    base::TimePoint updatedAt_;
};

// Draws data centres so that each gets its share as evenly as possible (error diffusion).
class ShareSequence {
public:
    // `phase`, 0 to 1, differs between entry VMs, so that they do not all leave at once.
    explicit ShareSequence(double phase)
        : phase_(phase)
    {
    }

    // Returns the next data centre; `home` gets what `shares` leaves.
    std::string next(const CrossSitePlanner::Shares& shares, const std::string& home);

private:
    double phase_;
    std::map<std::string, double> owed_;
};

} // namespace arbutus::routing
