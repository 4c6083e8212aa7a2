//! Timeouts of client connections, and the choice of the connection to close when there are too many.
//!
//! Holds every client connection that does not wait for a response, ordered by timeout. A connection must be
//! removed before its phase or timeout changes and inserted again afterwards.
use crate::client::{ClientConnection, Phase, SILENCE_TIMEOUT};
use applepond::interface::Micros;
use applepond_reactor::ConnectionId;
use std::collections::BTreeSet;

/// Minimum age at which a new, silent connection may be closed in favour of others. Clients send a call
/// immediately after connecting, so it arrives within the network latency.
const NEW_CONNECTION_GRACE: Micros = 200_000;

/// Connections ordered by timeout, the earliest first.
type ByTimeout = BTreeSet<(Micros, ConnectionId)>;

/// Client connections that do not wait for a response.
#[derive(Default)]
pub(crate) struct ClientTimeouts {
    /// Connections that have not sent anything yet.
    silent: ByTimeout,
    /// Connections that are idle between two requests.
    idle: ByTimeout,
    /// Connections within a request, or closing.
    active: ByTimeout,
}

impl ClientTimeouts {
    pub(crate) fn insert(&mut self, conn: ConnectionId, client: &ClientConnection) {
        let set = match client.phase {
            Phase::Reading if client.is_idle => &mut self.idle,
            Phase::Reading if client.is_between_requests() => &mut self.silent,
            _ => &mut self.active,
        };
        set.insert((client.timeout_at, conn));
    }

    pub(crate) fn remove(&mut self, conn: ConnectionId, client: &ClientConnection) {
        let key = (client.timeout_at, conn);
        for set in [&mut self.silent, &mut self.idle, &mut self.active] {
            set.remove(&key);
        }
    }

    /// Returns a connection that has timed out.
    pub(crate) fn expired(&self, now: Micros) -> Option<ConnectionId> {
        let first = |set: &ByTimeout| set.first().filter(|(timeout_at, _)| *timeout_at <= now).copied();
        let [silent, idle, active] = [&self.silent, &self.idle, &self.active].map(first);
        silent.or(active).or(idle).map(|(_, conn)| conn)
    }

    /// All connections that are idle between two requests.
    pub(crate) fn idle(&self) -> Vec<ConnectionId> {
        self.idle.iter().map(|(_, conn)| *conn).collect()
    }

    /// Selects the connection to close when there are too many: the one that has been silent longest, else
    /// idle longest, else within a request longest. New connections come last, as otherwise a flood of idle
    /// connections would displace clients that are about to send their request. Connections with an unsent
    /// part of a response (`has_unsent`) are closed only when they time out.
    pub(crate) fn least_valuable(
        &self,
        now: Micros,
        has_unsent: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let first = |set: &ByTimeout| set.iter().find(|(_, conn)| !has_unsent(*conn)).copied();
        let is_old = |timeout_at: Micros| now + SILENCE_TIMEOUT >= timeout_at + NEW_CONNECTION_GRACE;
        let old = |set| first(set).filter(|(timeout_at, _)| is_old(*timeout_at));
        let found = old(&self.silent).or_else(|| first(&self.idle)).or_else(|| old(&self.active));
        found.or_else(|| first(&self.silent)).map(|(_, conn)| conn)
    }
}
