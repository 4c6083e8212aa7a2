//! Start, periodic checks and graceful shutdown of the node.
//!
//! Entry points: the start, the tick, and the signals to the process.
use super::{Node, TICK_INTERVAL};
use applepond::interface::Micros;
use applepond_platform::config::NodeConfig;
use applepond_platform::errors::InputError;
use applepond_reactor::{ConnectionId, Transport};
use std::io::ErrorKind;

/// Time to wait for a previous process to release the address. The platform counts a start as failed after
/// 30 s.
pub(super) const LISTEN_TIMEOUT: Micros = 20_000_000;
/// Time after the shutdown request during which new connections and calls may still arrive, with a margin.
const GRACE_PERIOD: Micros = 900_000;
/// Time after the shutdown request when all open requests are answered. The platform waits for the longest
/// deadline, but at most 3 s, and kills the process 0.7 s after that.
const ANSWER_ALL_AFTER: Micros = 3_300_000;

/// A signal to the process.
pub enum ProcessEvent {
    /// The configuration file was replaced; holds the error if the new file is invalid.
    ConfigReplaced(Result<Box<NodeConfig>, InputError>),
    /// The process is asked to shut down.
    ShutDown,
}

/// Why a node has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// The node was asked to shut down, and all requests have been answered.
    ShutDown,
    /// The node cannot listen on its address.
    AddressUnavailable,
}

impl Node {
    /// Starts listening. Retries until `until` while a previous process still holds the address.
    pub(super) fn listen(&mut self, now: Micros, transport: &mut dyn Transport, until: Micros) {
        // One more than the limit, so that a new connection is accepted and can replace an existing one.
        match transport.listen(self.config.listen, self.max_clients + 1) {
            Ok((listener, address)) => {
                tracing::info!(%address, "listening");
                self.listener = Some((listener, address));
            }
            Err(error) if error.kind() == ErrorKind::AddrInUse && now < until => {
                tracing::warn!(listen = %self.config.listen, "the address is still in use");
                let listen = move |node: &mut Node, now, transport: &mut dyn Transport| {
                    node.listen(now, transport, until);
                };
                self.schedule(now, transport, TICK_INTERVAL, Box::new(listen));
            }
            Err(error) => {
                tracing::error!(listen = %self.config.listen, %error, "cannot listen");
                (self.on_exit)(ExitReason::AddressUnavailable);
            }
        }
    }

    /// Checks everything that causes no event by itself, and schedules the next tick.
    pub(super) fn tick(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(event) = (self.process_events)() {
            self.process_event(now, transport, event);
        }
        self.name_service.poll(now, transport);
        self.abort_expired_and_excess_clients(now, transport);
        let mut conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
        conns.sort_unstable();
        for conn in conns {
            self.check_connection(now, transport, conn);
        }
        if let Some(since) = self.shutdown_since {
            self.shut_down(now, transport, since);
        }
        let tick = |node: &mut Node, now, transport: &mut dyn Transport| node.tick(now, transport);
        self.schedule(now, transport, TICK_INTERVAL, Box::new(tick));
    }

    fn process_event(&mut self, now: Micros, transport: &mut dyn Transport, event: ProcessEvent) {
        match event {
            ProcessEvent::ConfigReplaced(Ok(config)) => {
                tracing::info!(name_service = %config.name_service, "configuration replaced");
                self.name_service.set_service(transport, config.name_service);
            }
            ProcessEvent::ConfigReplaced(Err(error)) => {
                tracing::warn!(%error, "new configuration rejected; the previous one stays in effect");
            }
            ProcessEvent::ShutDown => _ = self.shutdown_since.get_or_insert(now),
        }
    }

    /// Takes the shutdown steps that are due. `since` is the time of the shutdown request.
    fn shut_down(&mut self, now: Micros, transport: &mut dyn Transport, since: Micros) {
        if now >= since + ANSWER_ALL_AFTER {
            self.control.advance_to(now);
            self.control.finish_all(&mut self.actions);
        }
        if now >= since + GRACE_PERIOD {
            self.close_all(now, transport);
        }
    }

    /// Closes the listener and idle clients, and exits once all requests have ended and all clients have
    /// disconnected. Clients that have already connected are still served. An answer written to the kernel
    /// may be lost if the process exits before the client has closed its side. The wait is bounded: each
    /// connection is given at most one more request, and silent connections time out.
    fn close_all(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some((listener, _)) = self.listener.take() {
            // Connections still in the accept queue are reported after this call and must be answered.
            return transport.stop_accepting(listener, true);
        }
        for conn in self.client_timeouts.idle() {
            let Some(client) = self.clients.get_mut(&conn) else { continue };
            self.client_timeouts.remove(conn, client);
            client.close(now, transport, conn);
            self.client_timeouts.insert(conn, client);
        }
        if self.requests.is_empty() && self.clients.is_empty() {
            (self.on_exit)(ExitReason::ShutDown);
        }
    }
}
