#include "coltsfootbend/measure/scenario.h"
#include "coltsfootbend/measure/virtual_time.h"
#include "coltsfootbend/membership/worker_directory.h"

#include <algorithm>
#include <random>

namespace coltsfootbend {

using namespace std::chrono_literals;

namespace {

constexpr int workers = 73; // Number of workers that announce themselves to one entry VM at the planned size.
constexpr auto announceInterval = 1s;
constexpr auto length = 4h;
constexpr double lossShare = 0.01;
constexpr double stallShare = 0.002; // Share of announcements that are delayed by 500 ms.

class membership_trial {
public:
    void run()
    {
        for (int worker = 0; worker < workers; ++worker)
            m_time.after(std::chrono::milliseconds(m_random() % 1000), [this, worker] { announce(worker); });
        m_time.after(100ms, [this] { checkDirectory(); });
        m_time.after(10s, [this] { terminateRandomWorker(); });
        m_time.runUntil(m_end);
    }

    std::size_t falseDeaths = 0;
    std::size_t falseSuspicions = 0;
    std::vector<double> detectMs;

private:
    static vm_id nameOf(int worker) { return vm_id("w" + std::to_string(worker)); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void announce(int worker)
    {
        if (m_time.now() >= m_terminatedUntil[worker]) {
            wire::announce announcement;
            announcement.worker = nameOf(worker);
            announcement.workerIncarnation = incarnation(static_cast<std::uint64_t>(m_restarts[worker]) + 1);
            announcement.deployments = { deployment_id("d") };
            const auto delay = uniform() < stallShare ? 500ms : 1ms;
            if (uniform() >= lossShare)
                m_time.after(delay, [this, announcement] { (void)m_directory.observe(m_time.now(), announcement); });
        }
        m_time.after(announceInterval, [this, worker] { announce(worker); });
    }

    // Terminates a random worker every 30 s; its replacement starts after 20 s.
    void terminateRandomWorker()
    {
        const auto worker = static_cast<int>(m_random() % workers);
        if (m_time.now() >= m_terminatedUntil[worker]) {
            m_terminatedUntil[worker] = m_time.now() + 20s;
            m_terminatedAt[worker] = m_time.now();
            m_detected[worker] = false;
            ++m_restarts[worker];
        }
        m_time.after(30s, [this] { terminateRandomWorker(); });
    }

    void checkDirectory()
    {
        (void)m_directory.expire(m_time.now());
        for (int worker = 0; worker < workers; ++worker) {
            const auto* known = m_directory.find(nameOf(worker));
            const bool isTerminated = m_time.now() < m_terminatedUntil[worker];
            const bool isSuspected = !known || m_time.now() >= known->suspectAt;
            if (isTerminated && isSuspected && !m_detected[worker]) {
                m_detected[worker] = true;
                detectMs.push_back(toMilliseconds(m_time.now() - m_terminatedAt[worker]));
            }
            // Announcements of new workers and of replacements may not have been received yet.
            const bool isSettled = m_time.now() > m_terminatedUntil[worker] + 5s && m_time.now() > m_start + 5s;
            falseDeaths += isSettled && !known ? 1 : 0;
            const bool wasSuspected = m_suspected[worker];
            m_suspected[worker] = isSuspected;
            falseSuspicions += isSettled && isSuspected && !wasSuspected ? 1 : 0;
        }
        m_time.after(100ms, [this] { checkDirectory(); });
    }

    std::mt19937_64 m_random { 5 };
    virtual_time m_time;
    const time_point m_start = m_time.now();
    const time_point m_end = m_start + length;
    worker_directory m_directory { worker_directory::options {} };
    std::vector<time_point> m_terminatedUntil = std::vector<time_point>(workers);
    std::vector<time_point> m_terminatedAt = std::vector<time_point>(workers);
    std::vector<bool> m_detected = std::vector<bool>(workers);
    std::vector<bool> m_suspected = std::vector<bool>(workers);
    std::vector<int> m_restarts = std::vector<int>(workers);
};

void measureMembership(figure_writer& out)
{
    membership_trial trial;
    trial.run();
    std::sort(trial.detectMs.begin(), trial.detectMs.end());
    const auto index = static_cast<std::size_t>(0.99 * static_cast<double>(trial.detectMs.size() - 1));
    out.write("membership.false_deaths", static_cast<double>(trial.falseDeaths), "workers forgotten while alive");
    out.write("membership.false_suspicions", static_cast<double>(trial.falseSuspicions), "in four hours of 73 workers");
    out.write("membership.deaths", static_cast<double>(trial.detectMs.size()), "workers");
    out.write("membership.detect_ms_p99", trial.detectMs[index], "ms from death to suspicion");
}

} // namespace

std::vector<scenario> membershipScenarios()
{
    return { { "membership", "deaths seen and imagined at 1% loss and 500 ms stalls", measureMembership } };
}

} // namespace coltsfootbend
