#include "coltsfootbend/gateway/pick.h"

namespace coltsfootbend {

const char* toString(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NoServers:
        return "no_servers";
    case refusal_reason::NoHomeServers:
        return "no_home_servers";
    case refusal_reason::Evacuated:
        return "evacuated";
    case refusal_reason::GroupDown:
        return "group_down";
    case refusal_reason::GroupStalled:
        return "group_standing";
    case refusal_reason::Cold:
        return "servers_cold";
    case refusal_reason::BackingOff:
        return "servers_resting";
    case refusal_reason::Limited:
        return "servers_limited";
    case refusal_reason::Overloaded:
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
    case backend_outcome::Unresponsive:
        return "silent";
    case backend_outcome::Abandoned:
        return "abandoned";
    }
    return "abandoned";
}

} // namespace coltsfootbend
