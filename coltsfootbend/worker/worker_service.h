#pragma once

// The worker daemon's service beside one backend server: admits attempts, sends them to the engine or plain service
// over HTTP, retains their answers for joins, stores the claims of the keys whose home it is, and announces its load to
// the entries. `attempt_executor` makes the decisions; this service carries them out. Registered in the kernel
// as "worker".

#include "coltsfootbend/config/config_service.h"
#include "coltsfootbend/execution/attempt_executor.h"
#include "coltsfootbend/net/http.h"
#include "coltsfootbend/settings/settings.h"
#include "coltsfootbend/wire/peer.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace coltsfootbend {

// Connects the attempt executor with the peers, the backend server and the platform.
class worker_service final : public service {
public:
    worker_service(fiber_runtime&, const daemon_settings&, incarnation ownIncarnation);

    std::string_view name() const override { return "worker"; }
    result<void> start(kernel&) override;
    void leave(time_point deadline) override;
    void stop() override { m_stopped = true; }

private:
    // An attempt that is queued or running.
    struct run {
        wire::dispatch request;
        time_point deadline {};
        std::vector<fiber_signal*> waiters;
        bool cancelled = false;
        bool onBackend = false;
    };
    using run_ptr = std::shared_ptr<run>;

    void registerHandlers();
    void onDispatch(peer_stream&, const wire::dispatch&);
    void onRevoke(peer_stream&, const wire::revoke&);
    void onJoin(peer_stream&, const wire::join&);
    void onCancel(peer_stream&, const wire::cancel&);
    void onClaim(peer_stream&, const wire::claim&);
    void onClose(peer_stream&, const wire::close&);

    void streamAnswer(peer_stream&, const attempt_id&, const run_ptr&, std::uint64_t offset, time_point deadline);
    bool sendAvailablePieces(peer_stream&, const attempt_id&, answer_position&);
    void performActions();
    void removeIfSettled(const attempt_id&);
    void runOnBackend(const run_ptr&);
    void controlBackendStream(const attempt_id&, const char* verb);
    static http_request toBackend(const wire::dispatch&);
    void notifyWaiters(const attempt_id&);

    wire::load currentLoad() const;
    void announceLoop();
    void announceTo(const peer_settings&, bool isLocal);
    void announceToAllEntries();
    void expireLoop();

    void registerLedger();
    bool tryRegisterLedger();
    void handOverLedger(time_point deadline);

    fiber_runtime& m_runtime;
    const daemon_settings& m_settings;
    const worker_settings& m_worker;
    const incarnation m_incarnation;
    peer_service* m_peers = nullptr;
    config_service* m_configuration = nullptr;
    http_client m_backend;
    attempt_executor m_executor;
    std::unordered_map<attempt_id, run_ptr> m_runs;
    std::size_t m_openStreams = 0;
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace coltsfootbend
