#include "coltsfootbend/gateway/catalogue.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

route makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    route made;
    made.name = name;
    made.host = host;
    made.pathPrefix = prefix;
    return made;
}

catalogue example()
{
    catalogue::contents contents;
    contents.routes = { makeRoute("root", "maps.example", "/"), makeRoute("label", "maps.example", "/label/"),
        makeRoute("deep", "maps.example", "/label/room/"), makeRoute("other", "tiles.example", "/label/") };
    contents.keys = { { "k1", { customer_id("panopano"), 1 } } };
    contents.hasCustomers = true;
    return catalogue(std::move(contents));
}

TEST(Catalogue, TheLongestPrefixWins)
{
    const auto known = example();
    EXPECT_EQ(known.findRoute("maps.example", "/label/room/3")->name, "deep");
    EXPECT_EQ(known.findRoute("maps.example", "/label/roomy/3")->name, "label");
    EXPECT_EQ(known.findRoute("maps.example", "/labels")->name, "root");
    EXPECT_EQ(known.findRoute("tiles.example", "/label/")->name, "other");
}

TEST(Catalogue, HostsAreComparedWithoutCaseAndPort)
{
    EXPECT_EQ(example().findRoute("Maps.Example:8080", "/label/x")->name, "label");
}

TEST(Catalogue, APathThatMatchesNoRouteIsNotFound)
{
    const auto known = example();
    EXPECT_FALSE(known.findRoute("tiles.example", "/tiles/1"));
    EXPECT_FALSE(known.findRoute("unknown.example", "/label/"));
    EXPECT_FALSE(known.findRoute("maps.example", ""));
    EXPECT_FALSE(known.findRoute("maps.example", "label"));
}

TEST(Catalogue, KeysAreMatchedWhole)
{
    const auto known = example();
    ASSERT_TRUE(known.findCustomer("k1"));
    EXPECT_EQ(known.findCustomer("k1")->id, customer_id("panopano"));
    EXPECT_FALSE(known.findCustomer("k"));
    EXPECT_FALSE(known.findCustomer(""));
}

} // namespace
} // namespace coltsfootbend
