#include "coltsfootbend/request/attempt_table.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

attempt_table::attempt_table(const options& options)
    : m_maxAttempts(options.maxAttempts)
    , m_maxAnswerBytes(options.maxAnswerBytes)
{
}

bool attempt_table::isEvicted(const attempt_id& attempt) const
{
    const auto floor = m_floors.find(attempt.entryIncarnation);
    return floor != m_floors.end() && attempt.serial <= floor->second;
}

admit_verdict attempt_table::admit(const attempt_id& attempt)
{
    if (const auto found = m_answers.find(attempt); found != m_answers.end())
        return found->second.state == attempt_state::Revoked ? admit_verdict::Revoked : admit_verdict::Duplicate;
    if (isEvicted(attempt))
        return admit_verdict::Forgotten;
    insert(attempt, attempt_state::Waiting);
    return admit_verdict::Admitted;
}

bool attempt_table::start(const attempt_id& attempt)
{
    const auto found = m_answers.find(attempt);
    if (found == m_answers.end() || found->second.state != attempt_state::Waiting)
        return false;
    found->second.state = attempt_state::Running;
    return true;
}

void attempt_table::withdraw(const attempt_id& attempt)
{
    if (auto* answer = running(attempt)) {
        answer->state = attempt_state::Revoked;
        answer->reason = refusal::EngineDown;
    }
}

void attempt_table::refuse(const attempt_id& attempt, refusal reason, std::chrono::milliseconds retryAfter)
{
    const auto found = m_answers.find(attempt);
    if (found == m_answers.end() || found->second.state != attempt_state::Waiting)
        return;
    found->second.state = attempt_state::Revoked;
    found->second.reason = reason;
    found->second.retryAfter = retryAfter;
}

revoke_verdict attempt_table::revoke(const attempt_id& attempt)
{
    const auto found = m_answers.find(attempt);
    if (found == m_answers.end()) {
        if (isEvicted(attempt))
            return revoke_verdict::Forgotten;
        insert(attempt, attempt_state::Revoked);
        return revoke_verdict::Revoked;
    }
    switch (found->second.state) {
    case attempt_state::Waiting:
        found->second.state = attempt_state::Revoked;
        return revoke_verdict::Revoked;
    case attempt_state::Revoked:
        return revoke_verdict::Revoked;
    case attempt_state::Running:
        return revoke_verdict::Running;
    case attempt_state::Finished:
        return revoke_verdict::Finished;
    case attempt_state::Failed:
        return revoke_verdict::Failed;
    }
    return revoke_verdict::Forgotten;
}

attempt_answer* attempt_table::running(const attempt_id& attempt)
{
    const auto found = m_answers.find(attempt);
    if (found == m_answers.end() || found->second.state != attempt_state::Running)
        return nullptr;
    return &found->second;
}

void attempt_table::begin(const attempt_id& attempt, int status, std::string contentType)
{
    if (auto* answer = running(attempt)) {
        answer->status = status;
        answer->contentType = std::move(contentType);
    }
}

void attempt_table::append(const attempt_id& attempt, std::string_view bytes)
{
    if (auto* answer = running(attempt)) {
        answer->body.append(bytes);
        answer->totalBytes += bytes.size();
        m_answerBytes += bytes.size();
        evictOldestBodies();
    }
}

void attempt_table::finish(const attempt_id& attempt)
{
    if (auto* answer = running(attempt)) {
        answer->state = attempt_state::Finished;
        m_finishedOrder.push_back(attempt);
        evictOldestBodies();
    }
}

void attempt_table::fail(const attempt_id& attempt)
{
    if (auto* answer = running(attempt)) {
        answer->state = attempt_state::Failed;
        m_finishedOrder.push_back(attempt);
    }
}

const attempt_answer* attempt_table::find(const attempt_id& attempt) const
{
    const auto found = m_answers.find(attempt);
    return found == m_answers.end() ? nullptr : &found->second;
}

attempt_answer* attempt_table::insert(const attempt_id& attempt, attempt_state state)
{
    evictSettled();
    m_order.push_back(attempt);
    auto& answer = m_answers[attempt];
    answer.state = state;
    return &answer;
}

void attempt_table::evictSettled()
{
    // Waiting and running attempts are skipped and never evicted; the admission limit bounds their number.
    for (auto left = m_order.size(); left > 0 && m_answers.size() >= m_maxAttempts; --left) {
        const auto oldest = m_order.front();
        m_order.pop_front();
        const auto found = m_answers.find(oldest);
        if (found->second.state == attempt_state::Waiting || found->second.state == attempt_state::Running) {
            m_order.push_back(oldest);
            continue;
        }
        m_answerBytes -= found->second.body.size();
        m_answers.erase(found);
        raiseFloor(oldest);
    }
}

void attempt_table::raiseFloor(const attempt_id& attempt)
{
    const auto [floor, isNew] = m_floors.try_emplace(attempt.entryIncarnation, attempt.serial);
    floor->second = std::max(floor->second, attempt.serial);
    if (!isNew)
        return;
    m_floorOrder.push_back(attempt.entryIncarnation);
    if (m_floorOrder.size() > maxEntryIncarnations) {
        m_floors.erase(m_floorOrder.front());
        m_floorOrder.pop_front();
    }
}

void attempt_table::evictOldestBodies()
{
    while (m_answerBytes > m_maxAnswerBytes && !m_finishedOrder.empty()) {
        const auto found = m_answers.find(m_finishedOrder.front());
        m_finishedOrder.pop_front();
        if (found == m_answers.end())
            continue;
        m_answerBytes -= found->second.body.size();
        found->second.body.clear();
        found->second.body.shrink_to_fit();
        found->second.bodyKept = false;
    }
}

} // namespace coltsfootbend
