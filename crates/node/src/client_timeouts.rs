//! The timeouts of client connections, and which connection makes room for another when there are too many.
//!
//! Owned here: every client connection that does not wait for an answer, by the end of its timeout. A
//! connection must be removed before its phase or its timeout changes, and inserted again after that.
use crate::client::{ClientConnection, Phase, SILENCE_TIMEOUT};
use applepond::interface::Micros;
use applepond_reactor::Conn;
use std::collections::BTreeSet;

/// Age from which on a new connection that has brought nothing may make room for others: a call follows its
/// connection at once, give or take the way.
const NEW_CONNECTION_GRACE: Micros = 200_000;

/// Connections by the end of their timeout; the first times out first.
type ByTimeout = BTreeSet<(Micros, Conn)>;

/// Connections that do not wait for an answer.
#[derive(Default)]
pub(crate) struct ClientTimeouts {
    /// Those that have brought nothing yet.
    silent: ByTimeout,
    /// Those that are idle between two requests.
    idle: ByTimeout,
    /// Those within a request, or closing.
    active: ByTimeout,
}

impl ClientTimeouts {
    pub(crate) fn insert(&mut self, conn: Conn, client: &ClientConnection) {
        let set = match client.phase {
            Phase::Reading if client.is_idle => &mut self.idle,
            Phase::Reading if client.is_between_requests() => &mut self.silent,
            _ => &mut self.active,
        };
        set.insert((client.timeout_at, conn));
    }

    pub(crate) fn remove(&mut self, conn: Conn, client: &ClientConnection) {
        let key = (client.timeout_at, conn);
        for set in [&mut self.silent, &mut self.idle, &mut self.active] {
            set.remove(&key);
        }
    }

    /// A connection that has timed out.
    pub(crate) fn expired(&self, now: Micros) -> Option<Conn> {
        let first = |set: &ByTimeout| set.first().filter(|(timeout_at, _)| *timeout_at <= now).copied();
        let [silent, idle, active] = [&self.silent, &self.idle, &self.active].map(first);
        silent.or(active).or(idle).map(|(_, conn)| conn)
    }

    /// Those that are idle between two requests.
    pub(crate) fn idle(&self) -> Vec<Conn> {
        self.idle.iter().map(|(_, conn)| *conn).collect()
    }

    /// The connection that makes room for another: the longest silent, the longest idle, then the longest
    /// within a request. One that has just come is the last, or a flood of idle ones would shut out whoever
    /// still has to send its request. One that still has to take part of an answer, `has_unsent`, goes only
    /// when it times out.
    pub(crate) fn least_valuable(&self, now: Micros, has_unsent: impl Fn(Conn) -> bool) -> Option<Conn> {
        let first = |set: &ByTimeout| set.iter().find(|(_, conn)| !has_unsent(*conn)).copied();
        let is_old = |timeout_at: Micros| now + SILENCE_TIMEOUT >= timeout_at + NEW_CONNECTION_GRACE;
        let old = |set| first(set).filter(|(timeout_at, _)| is_old(*timeout_at));
        let found = old(&self.silent).or_else(|| first(&self.idle)).or_else(|| old(&self.active));
        found.or_else(|| first(&self.silent)).map(|(_, conn)| conn)
    }
}
