#pragma once

// The configuration that one process has in force, and the recent steps that led to it. It only ever goes forward. Any
// process answers others that are behind from here, so that worker daemons never ask the platform. Deterministic.
//
//     config_state state;
//     if (state.apply(step)) ...            // one step on
//     wire::config_reply reply = state.replyTo(have);

#include "coltsfootbend/config/configuration.h"
#include "coltsfootbend/wire/messages.h"

#include <deque>
#include <memory>

namespace coltsfootbend {

class config_state {
public:
    // `maxSteps`: how many recent steps are kept; who is further behind gets the whole document.
    explicit config_state(std::size_t maxSteps = 256);

    // Takes the next step. Fails with `Stale` when it is not for the version after the present one, with `BadInput`
    // when it cannot be applied; then nothing changes. O(document).
    result<void> apply(const wire::config_step&);

    // Takes a whole document if it is newer; otherwise does nothing.
    result<void> adopt(config_version, const std::string& document);

    // Takes what another process answered. Steps that are already known are passed over.
    result<void> take(const wire::config_reply&);

    // What to answer a process that has `have`: the missing steps, or the whole document.
    wire::config_reply replyTo(config_version have) const;

    config_version version() const { return m_current->version; }
    const std::string& document() const { return m_document; }
    // Never null. The value stays as it is while somebody holds it.
    std::shared_ptr<const configuration> current() const { return m_current; }
    const std::deque<wire::config_step>& steps() const { return m_steps; }

private:
    const std::size_t m_maxSteps;
    std::string m_document = "{}";
    std::shared_ptr<const configuration> m_current = std::make_shared<configuration>();
    std::deque<wire::config_step> m_steps;
};

} // namespace coltsfootbend
