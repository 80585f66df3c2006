// Prints the figures that the docs quote. Runs scenarios in virtual time with fixed seeds on the shipped decision code.

#include "coltsfootbend/measure/scenario.h"

#include <cxxopts.hpp>
#include <iostream>

namespace coltsfootbend {

namespace {

int runMeasure(int argc, char** argv)
{
    cxxopts::Options options("coltsfootbend_measure", "Measures the decision code in virtual time");
    options.positional_help("[SCENARIO...]");
    options.add_options()("json", "one JSON object a line (the default)")("list", "list the scenarios")(
        "h,help", "print this")("scenario", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("scenario");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help({ "" });
        return 0;
    }
    std::vector<std::string> wanted;
    if (arguments.count("scenario") > 0)
        wanted = arguments["scenario"].as<std::vector<std::string>>();
    if (arguments.count("list") > 0) {
        for (const auto& known : scenarios())
            std::cout << known.name << "  " << known.description << "\n";
        return 0;
    }
    for (const auto& name : wanted) {
        const auto isKnown = [&](const scenario& known) { return known.name == name; };
        if (std::none_of(scenarios().begin(), scenarios().end(), isKnown)) {
            std::cerr << "coltsfootbend_measure: no scenario '" << name << "'. See --list\n";
            return 2;
        }
    }
    for (const auto& known : scenarios()) {
        if (!wanted.empty() && std::find(wanted.begin(), wanted.end(), known.name) == wanted.end())
            continue;
        figure_writer writer(known.name, std::cout);
        known.run(writer);
    }
    return 0;
}

} // namespace

} // namespace coltsfootbend

int main(int argc, char** argv)
{
    try {
        return coltsfootbend::runMeasure(argc, argv);
    } catch (const std::exception& exception) {
        std::cerr << "coltsfootbend_measure: " << exception.what() << ". See --help\n";
        return 2;
    }
}
