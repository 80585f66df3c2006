#pragma once

// A micro-kernel: it owns the services of one process, starts them in the order in which they were added, lets them
// find each other by name, and takes them down in reverse. Everything else is a service. Not for objects that only one
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

class service {
public:
    virtual ~service() = default;
    // Unique in its process.
    virtual std::string_view name() const = 0;
    // Called once; services added earlier have been started.
    virtual result<void> start(kernel&) = 0;
    // Takes no new work, and returns when what is in flight is done or at `deadline`.
    virtual void leave(time_point /*deadline*/) { }
    virtual void stop() { }
};

class kernel {
public:
    // Precondition: `start` was not called, and no other service has the same name.
    void add(std::unique_ptr<service>);

    // Returns the service called `name`, or null when there is none or it is of another type. O(services).
    template <typename T> T* find(std::string_view name) const { return dynamic_cast<T*>(findService(name)); }

    // As `find`, but a missing service is an error that names it.
    template <typename T> result<T*> require(std::string_view name) const
    {
        if (auto* found = find<T>(name))
            return found;
        return fail(error_kind::NotFound, "the service '" + std::string(name) + "' is not part of this process",
            "Add it to 'services' in the settings");
    }

    result<void> start();
    // Asks every service to leave, the last started first.
    void leave(time_point deadline);
    void stop();

private:
    service* findService(std::string_view name) const;

    std::vector<std::unique_ptr<service>> m_services;
    std::size_t m_started = 0;
};

} // namespace coltsfootbend
