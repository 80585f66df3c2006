// Tests how one issuer divides the rate of a limited server among gateways.

#include "coltsfootbend/permits/permit_issuer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const permit_subject server("b");
const time_point start { 100s };

permit_requester gateway(int number) { return permit_requester("g" + std::to_string(number)); }

limit_statement named(double perSecond, time_point at, std::uint64_t incarnation = 0)
{
    return { .serverIncarnation = incarnation, .perSecond = perSecond, .isNamed = true, .at = at };
}

// Checks that gateways which request permits continuously never receive more than the server accepts, whatever their
// number and the limit are.
RC_GTEST_PROP(PermitIssuer, IssuesNoMoreThanTheServerAccepts, ())
{
    const auto gateways = *rc::gen::inRange(1, 120);
    const auto limit = *rc::gen::element(0.0, 0.2, 1.0, 1.1, 7.0, 40.0);
    const auto requestInterval = std::chrono::milliseconds(*rc::gen::inRange(5, 900));
    permit_issuer issuer;
    std::vector<time_point> issued;
    for (auto now = start; now < start + 20s; now += 5ms) {
        if ((now - start) % requestInterval < 5ms) {
            for (int i = 0; i < gateways; ++i) {
                // Each gateway received the limit at a different time.
                issuer.receiveStatement(server, named(limit, now - std::chrono::milliseconds(i)), now);
                issuer.requestPermit(server, gateway(i), 1, now);
            }
        }
        for (const auto& permit : issuer.issue(now)) {
            RC_ASSERT(permit.subject == server);
            issued.push_back(now);
        }
    }
    const double maxInWindow = std::max(limit, 0.2) * 4 * 1.05 + 1;
    for (auto first = issued.begin(); first != issued.end(); ++first) {
        const auto end = std::upper_bound(first, issued.end(), *first + 4s);
        RC_ASSERT(static_cast<double>(end - first) <= maxInWindow + 1);
    }
    const double requestedPerSecond = gateways * 1000 / toMilliseconds(requestInterval);
    RC_ASSERT(static_cast<double>(issued.size()) >= std::min(requestedPerSecond, std::max(limit, 0.2)) * 20 * 0.7 - 2);
}

TEST(PermitIssuer, ServesTheGatewayWithTheOldestPermitFirst)
{
    permit_issuer issuer;
    issuer.receiveStatement(server, named(1, start), start);
    std::vector<permit_requester> served;
    for (auto now = start; now < start + 9500ms; now += 100ms) {
        for (int i = 0; i < 3; ++i)
            issuer.requestPermit(server, gateway(i), 1, now);
        for (const auto& permit : issuer.issue(now))
            served.push_back(permit.requester);
    }
    ASSERT_EQ(served.size(), 9U);
    for (std::size_t i = 3; i < served.size(); ++i)
        EXPECT_EQ(served[i], served[i - 3]);
}

TEST(PermitIssuer, DropsRequestsThatAreNotRepeated)
{
    permit_issuer issuer;
    issuer.receiveStatement(server, named(0.5, start), start);
    issuer.requestPermit(server, gateway(1), 1, start);
    EXPECT_TRUE(issuer.issue(start + 1900ms).empty());
    EXPECT_TRUE(issuer.issue(start + 2100ms).empty()) << "the request is two seconds old";
}

TEST(PermitIssuer, IssuesADuePermitAtOnceAndTheNextAfterAnInterval)
{
    permit_issuer issuer;
    issuer.receiveStatement(server, named(1, start), start);
    const auto later = start + 60s;
    for (int i = 0; i < 5; ++i)
        issuer.requestPermit(server, gateway(i), 1, later);
    EXPECT_EQ(issuer.issue(later).size(), 1U) << "permits do not accumulate in an idle minute";
    EXPECT_NEAR(toMilliseconds(issuer.estimateWait(server, gateway(4), later).expectedAt - later), 4000, 100);
}

TEST(PermitIssuer, ANewIssuerWaitsForAnIntervalBeforeItsFirstPermit)
{
    permit_issuer issuer;
    issuer.receiveStatement(server, named(1, start - 30s), start);
    issuer.requestPermit(server, gateway(1), 1, start);
    EXPECT_TRUE(issuer.issue(start).empty()) << "another process may have issued a permit a moment ago";
    EXPECT_EQ(issuer.issue(start + 1s).size(), 1U);
}

TEST(PermitIssuer, TheNewestStatementOfAnIncarnationCountsInAnyOrderOfArrival)
{
    permit_issuer issuer;
    EXPECT_TRUE(issuer.receiveStatement(server, named(1, start + 2s, 7), start + 2s));
    EXPECT_FALSE(
        issuer.receiveStatement(server, { .serverIncarnation = 7, .isNamed = false, .at = start + 1s }, start + 3s))
        << "an older statement that arrives late";
    EXPECT_TRUE(
        issuer.receiveStatement(server, { .serverIncarnation = 7, .isNamed = false, .at = start + 3s }, start + 3s));
    issuer.requestPermit(server, gateway(1), 1, start + 3s);
    EXPECT_TRUE(issuer.issue(start + 9s).empty()) << "the server states no limit any more";
    EXPECT_FALSE(issuer.receiveStatement(server, named(1, start + 4s, 6), start + 4s)) << "an earlier incarnation";
    EXPECT_TRUE(issuer.receiveStatement(server, named(2, start + 1s, 8), start + 4s)) << "a later incarnation";
    EXPECT_EQ(issuer.statement(server)->perSecond, 2);
}

TEST(PermitIssuer, ReportsTheEndOfALimitForAWhile)
{
    permit_issuer issuer;
    issuer.receiveStatement(server, named(1, start), start);
    issuer.receiveStatement(server, { .isNamed = false, .at = start + 1s }, start + 1s);
    EXPECT_EQ(issuer.statements(start + 2s).count(server), 1U);
    EXPECT_EQ(issuer.statements(start + 7s).count(server), 0U);
}

} // namespace
} // namespace coltsfootbend
