#pragma once

// Owns the services of one process, starts them in the order in which they were added, lets them find each other by
// name, and stops them in reverse order. All other functions of a process are services. Not for objects that only one
// service uses: those are its members.
//
//     kernel kernel;
//     kernel.add(std::make_unique<platform_service>(...));
//     kernel.add(std::make_unique<entry_service>(...)); // may call kernel.find<platform_service>("platform")
//     if (auto started = kernel.start(); !started) ...
//     kernel.leave(deadline); kernel.stop();

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootbend {

class kernel;

// A component of a process that the kernel starts and stops.
class service {
public:
    virtual ~service() = default;
    // Returns the name, which is unique in the process.
    virtual std::string_view name() const = 0;
    // Starts the service. Called once, after all services that were added earlier have been started.
    virtual result<void> start(kernel&) = 0;
    // Accepts no new work, and returns when all work in flight is done or at `deadline`.
    virtual void leave(time_point /*deadline*/) { }
    virtual void stop() { }
};

// The registry and lifecycle of the services of one process.
class kernel {
public:
    // Adds a service. Precondition: `start` was not called, and no other service has the same name.
    void add(std::unique_ptr<service>);

    // Returns the service called `name`, or null when there is none or it is of another type. O(services).
    template <typename T> T* find(std::string_view name) const { return dynamic_cast<T*>(findService(name)); }

    // Returns the service called `name` like `find`, or fails with `NotFound` and an error that names it.
    template <typename T> result<T*> require(std::string_view name) const
    {
        if (auto* found = find<T>(name))
            return found;
        return fail(error_kind::NotFound, "the service '" + std::string(name) + "' is not part of this process",
            "Add it to 'services' in the settings");
    }

    // Starts all services in the order in which they were added. Returns the error of the first one that fails; later
    // ones are not started.
    result<void> start();
    // Calls `leave` on every started service, in reverse order of start.
    void leave(time_point deadline);
    // Stops every started service, in reverse order of start.
    void stop();

private:
    service* findService(std::string_view name) const;

    std::vector<std::unique_ptr<service>> m_services;
    std::size_t m_started = 0;
};

} // namespace coltsfootbend
