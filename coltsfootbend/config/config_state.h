#pragma once

// The configuration that one process has in force, and the recent steps that led to it. Versions never decrease. Any
// process answers peers with older versions from this state, so that worker daemons need not read the platform.
// Deterministic.
//
//     config_state state;
//     if (state.apply(step)) ...            // advances by one version
//     wire::config_reply reply = state.replyTo(have);

#include "coltsfootbend/config/configuration.h"
#include "coltsfootbend/wire/messages.h"

#include <deque>
#include <memory>

namespace coltsfootbend {

class config_state {
public:
    // `maxSteps`: number of recent steps kept. Peers that are further behind receive the whole document.
    explicit config_state(std::size_t maxSteps = 256);

    // Applies the next step. Fails with `Stale` if it does not lead to the version after the current one, and with
    // `BadInput` if it cannot be applied; on failure nothing changes. O(document).
    result<void> apply(const wire::config_step&);

    // Replaces the configuration by a whole document if that is newer; otherwise does nothing.
    result<void> adopt(config_version, const std::string& document);

    // Applies the reply of another process. Steps that are already applied are skipped.
    result<void> take(const wire::config_reply&);

    // Returns the reply to a process at version `have`: the missing steps, or the whole document.
    wire::config_reply replyTo(config_version have) const;

    config_version version() const { return m_current->version; }
    const std::string& document() const { return m_document; }
    // Never null. The value is immutable; a new configuration replaces the pointer.
    std::shared_ptr<const configuration> current() const { return m_current; }
    const std::deque<wire::config_step>& steps() const { return m_steps; }

private:
    const std::size_t m_maxSteps;
    std::string m_document = "{}";
    std::shared_ptr<const configuration> m_current = std::make_shared<configuration>();
    std::deque<wire::config_step> m_steps;
};

} // namespace coltsfootbend
