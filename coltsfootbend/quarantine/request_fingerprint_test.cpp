#include "coltsfootbend/quarantine/request_fingerprint.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

const fingerprint_source request {
    .method = "POST", .host = "h", .target = "/drafts/1?x=2", .caller = "c", .body = "body"
};

TEST(RequestFingerprint, IsTheSameForTheSameRequest)
{
    EXPECT_EQ(fingerprintOf(request), fingerprintOf(request));
    EXPECT_EQ(fingerprintOf(request).text().size(), 32U);
}

TEST(RequestFingerprint, DiffersWithEachPartOfTheRequest)
{
    for (auto part : { &fingerprint_source::method, &fingerprint_source::host, &fingerprint_source::target,
             &fingerprint_source::caller, &fingerprint_source::body }) {
        auto other = request;
        other.*part = "other";
        EXPECT_NE(fingerprintOf(other), fingerprintOf(request));
    }
}

TEST(RequestFingerprint, DiffersWhereOnlyTheJoinedTextIsTheSame)
{
    EXPECT_NE(fingerprintOf({ .caller = "ab", .body = "c" }), fingerprintOf({ .caller = "a", .body = "bc" }));
}

} // namespace
} // namespace coltsfootbend
