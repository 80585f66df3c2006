#include "coltsfootbend/gateway/table_copy.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

// Returns whether two rows with the same key come from the same write, or, across eras, from writes of the same value.
bool isSameState(const watched_row& known, const watched_row& row, bool isLaterEra)
{
    return known.revision == row.revision || (isLaterEra && known.value == row.value);
}

} // namespace

std::optional<std::vector<watched_row>> table_copy::replace(row_page snapshot)
{
    if (snapshot.revision < m_revision)
        return std::nullopt;
    const auto before = m_revision;
    // A row may have come and gone since `before`, so the states in between are not known.
    m_knownStates.push_back({ snapshot.revision, snapshot.revision });
    advance(snapshot.revision);
    m_position = std::max(m_position, snapshot.revision);
    std::vector<watched_row> changed;
    std::map<std::string, watched_row> rows;
    const bool isLaterEra = !snapshot.revision.isInEraOf(before);
    for (auto& row : snapshot.rows) {
        const auto known = m_rows.find(row.key);
        if (known != m_rows.end() && isSameState(known->second, row, isLaterEra)) {
            row.revision = known->second.revision;
        } else {
            // A row that another process has kept from an earlier era may have changed since `before`.
            if (row.revision <= before)
                row.revision = snapshot.revision;
            changed.push_back(row);
        }
        m_removed.erase(row.key);
        auto key = row.key;
        rows[std::move(key)] = std::move(row);
    }
    for (const auto& [key, row] : m_rows) {
        if (!rows.contains(key))
            m_removed[key] = snapshot.revision;
    }
    m_rows = std::move(rows);
    discardOldRemovals();
    return changed;
}

void table_copy::advance(store_revision revision)
{
    if (revision < m_revision)
        return;
    if (m_knownStates.empty() || !revision.isInEraOf(m_knownStates.back().last))
        m_knownStates.push_back({ revision, revision });
    m_knownStates.back().last = revision;
    m_revision = revision;
    if (m_knownStates.size() > m_options.maxKnownSeries)
        m_knownStates.erase(m_knownStates.begin());
}

void table_copy::apply(const row_page& changes)
{
    m_position = std::max(m_position, changes.revision);
    for (const auto& row : changes.rows) {
        if (row.revision.isInEraOf(m_revision))
            advance(row.revision);
        if (row.isDeleted) {
            remove(row.key, row.revision);
            continue;
        }
        auto& known = m_rows[row.key];
        if (row.revision >= known.revision)
            known = row;
        m_removed.erase(row.key);
    }
    discardOldRemovals();
}

void table_copy::applyDifference(const row_page& difference)
{
    advance(difference.revision);
    apply(difference);
}

void table_copy::remove(const std::string& key, store_revision revision)
{
    const auto known = m_rows.find(key);
    if (known != m_rows.end() && known->second.revision > revision)
        return; // It was written again later.
    if (known != m_rows.end())
        m_rows.erase(known);
    auto& removedAt = m_removed[key];
    removedAt = std::max(removedAt, revision);
}

void table_copy::discardOldRemovals()
{
    if (m_removed.size() <= m_options.maxRemovedRows)
        return;
    std::vector<store_revision> revisions;
    revisions.reserve(m_removed.size());
    for (const auto& [key, revision] : m_removed)
        revisions.push_back(revision);
    const auto newestDiscarded
        = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() - m_options.maxRemovedRows - 1);
    std::nth_element(revisions.begin(), newestDiscarded, revisions.end());
    m_removalsKnownSince = std::max(m_removalsKnownSince, *newestDiscarded);
    std::erase_if(m_removed, [this](const auto& entry) { return entry.second <= m_removalsKnownSince; });
}

row_page table_copy::snapshot() const
{
    row_page page { {}, m_revision };
    page.rows.reserve(m_rows.size());
    for (const auto& [key, row] : m_rows)
        page.rows.push_back(row);
    return page;
}

bool table_copy::knowsChangesSince(store_revision since) const
{
    const auto includes = [&](const known_states& states) { return states.first <= since && since <= states.last; };
    return !since.isNone() && since >= m_removalsKnownSince
        && std::any_of(m_knownStates.begin(), m_knownStates.end(), includes);
}

std::optional<row_page> table_copy::changesSince(store_revision since) const
{
    if (!knowsChangesSince(since))
        return std::nullopt;
    row_page page { {}, m_revision };
    for (const auto& [key, row] : m_rows) {
        if (row.revision > since)
            page.rows.push_back(row);
    }
    for (const auto& [key, revision] : m_removed) {
        if (revision > since)
            page.rows.push_back({ key, {}, revision, true });
    }
    return page;
}

} // namespace coltsfootbend
