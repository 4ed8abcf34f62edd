#pragma once

#include "include/base/Clock.h"
#include "include/fleet/UpstreamRegistry.h"
#include "include/placement/LayerController.h"
#include "include/routes/RouteConfiguration.h"
#include "src/node/EngineClient.h"
#include "src/node/PlatformCodec.h"

#include <functional>
#include <string>
#include <vector>

namespace arbutus::node {

// Places layers on engines on behalf of the control VM that leads: plans, has the plans
// committed, and sends the commands that are due. Runs on the event loop.
class LayerPlacer {
public:
    // Commits an encoded plan and calls `done` on the event loop.
    using CommitPlan = std::function<void(std::uint64_t revision, std::string plan, std::function<void(base::Result<void>)> done)>;

    // What is committed, as far as this VM has applied it.
    struct Committed {
        std::uint64_t routesVersion = 0;
        const std::string& routesDocument;
        std::uint64_t planRevision = 0;
        // The fencing token of the commands.
        std::uint64_t term = 0;
    };

    // All references must outlive this object.
    LayerPlacer(const base::Clock&, const PlatformCodec&, const fleet::UpstreamRegistry&, EngineClient&, CommitPlan);

    // Forgets what an earlier leadership has ordered.
    void beginLeadership() { controller_.reset(); }
    // Adopts a committed plan unless it is known already.
    void adoptPlan(std::uint64_t revision, const std::string& plan);
    // Plans and sends commands. Call several times a second on the leader only.
    void tick(const Committed&, base::TimePoint now);

private:
    void decodeServices(const Committed&, base::TimePoint now);
    void commit(const placement::LayerPlans&, std::uint64_t revision);
    void send(const placement::LayerCommand&, std::uint64_t term);

    const base::Clock& clock_;
    const PlatformCodec& codec_;
    const fleet::UpstreamRegistry& registry_;
    EngineClient& engineClient_;
    const CommitPlan commitPlan_;
    placement::LayerController controller_;
    placement::LayerPlans plans_;
    std::uint64_t planRevision_ = 0;
    bool isCommitting_ = false;
    std::vector<routes::Service> services_;
    std::uint64_t decodedRoutesVersion_ = 0;
    base::TimePoint nextDecodeAt_;
};

} // namespace arbutus::node
