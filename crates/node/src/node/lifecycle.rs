//! The life of the process: it listens, looks at everything once a tick, and shuts down gracefully.
//!
//! Enters here: the start, the tick, and what the process is told by signals.
use super::{Node, TICK_INTERVAL};
use applepond::interface::Micros;
use applepond_platform::config::NodeConfig;
use applepond_platform::errors::InputError;
use applepond_reactor::{Conn, Transport};
use std::io::ErrorKind;

/// Time in which the process before this one may still hold the address: a start has failed after 30 s.
pub(super) const LISTEN_TIMEOUT: Micros = 20_000_000;
/// Time after the order to shut down during which new connections and calls still come, and some to spare.
const GRACE_PERIOD: Micros = 900_000;
/// Time after the order to shut down at which whatever is still open is answered: the platform counts the
/// longest deadline as 3 s where it is longer, and kills 0.7 s after that.
const ANSWER_ALL_AFTER: Micros = 3_300_000;

/// What the process is told from outside.
pub enum ProcessEvent {
    /// The configuration file was replaced; an error says why it cannot be used.
    ConfigReplaced(Result<Box<NodeConfig>, InputError>),
    /// It is to shut down.
    ShutDown,
}

/// Why a node has come to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// It was told to shut down, and no answer is due.
    ShutDown,
    /// It cannot listen at its address.
    AddressUnavailable,
}

impl Node {
    /// Listens, as soon as the process before this one has given the address back.
    pub(super) fn listen(&mut self, now: Micros, transport: &mut dyn Transport, until: Micros) {
        // One more than are kept open, so that a new one is seen and takes the place of another.
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

    /// One look at everything that no event tells of, and the next after [`TICK_INTERVAL`].
    pub(super) fn tick(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(event) = (self.process_events)() {
            self.process_event(now, transport, event);
        }
        self.name_service.poll(now, transport);
        self.cut_excess_clients(now, transport);
        let mut conns: Vec<Conn> = self.connections.keys().copied().collect();
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
                tracing::info!(name_service = %config.name_service, "a new configuration holds");
                self.name_service.set_service(transport, config.name_service);
            }
            ProcessEvent::ConfigReplaced(Err(error)) => {
                tracing::warn!(%error, "the old configuration holds");
            }
            ProcessEvent::ShutDown => _ = self.shutdown_since.get_or_insert(now),
        }
    }

    /// What is to be done so long after the order to shut down.
    fn shut_down(&mut self, now: Micros, transport: &mut dyn Transport, since: Micros) {
        if now >= since + ANSWER_ALL_AFTER {
            self.control.advance_to(now);
            self.control.finish_all(&mut self.actions);
        }
        if now >= since + GRACE_PERIOD {
            self.close_all(now, transport);
        }
    }

    /// Comes to the end once no answer is due any more: whoever has connected is still read, and each answer
    /// is with the kernel and its client has closed too, or what the kernel has not delivered would go with
    /// the process. Each connection takes one request more at the most, and its timeout bounds its silence.
    fn close_all(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some((listener, _)) = self.listener.take() {
            // Whoever connected last is reported only after this call, and may be due an answer.
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
