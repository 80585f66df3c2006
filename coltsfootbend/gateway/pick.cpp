#include "coltsfootbend/gateway/pick.h"

namespace coltsfootbend {

const char* toString(pick_refusal reason)
{
    switch (reason) {
    case pick_refusal::NoServers:
        return "no_servers";
    case pick_refusal::GroupDown:
        return "group_down";
    case pick_refusal::GroupStalled:
        return "group_standing";
    case pick_refusal::Resting:
        return "servers_resting";
    case pick_refusal::Limited:
        return "servers_limited";
    case pick_refusal::Overloaded:
        return "overloaded";
    }
    return "overloaded";
}

const char* toString(backend_outcome outcome)
{
    switch (outcome) {
    case backend_outcome::Answered:
        return "answered";
    case backend_outcome::Failed:
        return "failed";
    case backend_outcome::Busy:
        return "busy";
    case backend_outcome::Replaced:
        return "replaced";
    case backend_outcome::Broken:
        return "broken";
    case backend_outcome::Silent:
        return "silent";
    case backend_outcome::Abandoned:
        return "abandoned";
    }
    return "abandoned";
}

} // namespace coltsfootbend
