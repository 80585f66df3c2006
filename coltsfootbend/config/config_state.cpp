#include "coltsfootbend/config/config_state.h"

#include <utility>

namespace coltsfootbend {

config_state::config_state(std::size_t maxSteps)
    : m_maxSteps(maxSteps)
{
}

result<void> config_state::apply(const wire::config_step& step)
{
    if (step.version.number() != version().number() + 1) {
        return fail(error_kind::Stale,
            "step " + std::to_string(step.version.number()) + " does not follow version "
                + std::to_string(version().number()),
            "Ask for the steps in between");
    }
    auto document = applyMergePatch(m_document, step.mergePatch);
    if (!document)
        return tl::unexpected(document.error());
    auto parsed = parseConfiguration(step.version, *document);
    if (!parsed)
        return tl::unexpected(parsed.error());
    m_document = std::move(*document);
    m_current = std::make_shared<const configuration>(std::move(*parsed));
    m_steps.push_back(step);
    if (m_steps.size() > m_maxSteps)
        m_steps.pop_front();
    return {};
}

result<void> config_state::adopt(config_version newVersion, const std::string& document)
{
    if (newVersion <= version())
        return {};
    auto parsed = parseConfiguration(newVersion, document);
    if (!parsed)
        return tl::unexpected(parsed.error());
    m_document = document;
    m_current = std::make_shared<const configuration>(std::move(*parsed));
    m_steps.clear();
    return {};
}

result<void> config_state::take(const wire::config_reply& reply)
{
    if (!reply.base.isNone()) {
        if (auto adopted = adopt(reply.base, reply.document); !adopted)
            return adopted;
    }
    for (const auto& step : reply.steps) {
        if (step.version <= version())
            continue;
        if (auto applied = apply(step); !applied)
            return applied;
    }
    return {};
}

wire::config_reply config_state::replyTo(config_version have) const
{
    wire::config_reply reply;
    if (have >= version())
        return reply;
    const bool stepsReach = !m_steps.empty() && m_steps.front().version.number() <= have.number() + 1;
    if (!stepsReach) {
        reply.base = version();
        reply.document = m_document;
        return reply;
    }
    for (const auto& step : m_steps) {
        if (step.version <= have)
            continue;
        reply.steps.push_back(step);
        reply.steps.back().undoPatch.clear();
    }
    return reply;
}

} // namespace coltsfootbend
