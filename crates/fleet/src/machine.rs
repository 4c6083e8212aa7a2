//! The reactor machine that connects membership and shared state to the UDP socket.
use crate::envelope::{Envelopes, FleetKey, process_receiver};
use crate::page::log_change;
use crate::shared_state::SharedState;
use applepond_membership::{
    Actions, Change, InstanceId, LocalIdentity, MemberStatus, Membership, RouterId, Safeguards,
};
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Delay in µs before the port is opened again after a failure, which may be a temporary lack of descriptors
/// or memory.
const OPEN_RETRY_DELAY: Micros = 1_000_000;
/// Smallest protocol tag of a shared-state message. A message whose first byte is lower belongs to the
/// membership protocol.
const FIRST_PROTOCOL_TAG: u8 = 0xb0;
/// Receiver id that every router accepts.
const ANY_RECEIVER: u64 = 0;

/// Timer that retries opening the port.
const OPEN_TIMER: TimerId = TimerId(0);
/// Timer of the membership protocol.
const MEMBERSHIP_TIMER: TimerId = TimerId(1);
/// Timer of the shared state.
const SHARED_STATE_TIMER: TimerId = TimerId(2);

/// State that the machine shares with the rest of the process.
pub struct FleetView {
    /// The membership protocol and its view of the fleet.
    pub members: Membership,
    /// State shared between routers; `None` in tests that cover membership alone.
    pub shared: Option<SharedState>,
    pub(crate) envelopes: Envelopes,
    /// Datagrams sealed for sending.
    pub(crate) sent: u64,
    /// Datagrams of `sent` that the kernel did not accept, or for which no socket was open.
    pub(crate) unsent: u64,
    /// Membership messages that could not be decoded, and shared-state messages that were rejected: their
    /// sender is unknown, they were not addressed to this process, or there is no shared state.
    pub(crate) unreadable: u64,
}

impl FleetView {
    /// Replaces seeds and keys. Datagrams sealed with any other key are rejected from now on.
    pub fn reconfigure(&mut self, seeds: Vec<SocketAddr>, keys: Vec<FleetKey>) {
        self.members.set_seeds(seeds);
        self.envelopes.set_keys(keys);
    }
}

/// Configuration of a [`FleetMachine`].
pub struct FleetMachineConfig {
    /// Name of the router.
    pub name: String,
    /// Zone of the router.
    pub zone: String,
    /// UDP address on which it listens, and which it advertises to other routers.
    pub listen: SocketAddr,
    /// Addresses of routers that it contacts to discover the others.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet; the first one seals, any of them opens.
    pub keys: Vec<FleetKey>,
    /// Proxy of a fault-injection scenario. All datagrams are sent to it, prefixed with the receiver's
    /// address.
    pub proxy: Option<SocketAddr>,
    /// Safeguards of the membership protocol that are enabled.
    pub safeguards: Safeguards,
}

/// The reactor machine of the fleet runtime.
pub struct FleetMachine {
    listen: SocketAddr,
    proxy: Option<SocketAddr>,
    /// The UDP socket, once it is open.
    socket: Option<ConnectionId>,
    view: Rc<RefCell<FleetView>>,
    /// When the membership timer fires, so that it is not set twice.
    membership_timer: Micros,
    /// When the shared-state timer fires.
    shared_state_timer: Micros,
    /// Returns true once the process is shutting down, so that the router leaves the fleet.
    is_shutting_down: Box<dyn FnMut() -> bool>,
}

/// Actions that the state machines request during one call, carried out when it returns.
#[derive(Default)]
struct PendingActions {
    /// Membership messages, each with the address of its receiver.
    membership: Vec<(SocketAddr, Vec<u8>)>,
    /// Shared-state messages, each with the router that receives it.
    shared: Vec<(RouterId, Vec<u8>)>,
    changes: Vec<Change>,
}

impl Actions for PendingActions {
    fn send(&mut self, to: SocketAddr, message: &[u8]) {
        self.membership.push((to, message.to_vec()));
    }
    fn changed(&mut self, change: Change) {
        self.changes.push(change);
    }
}

impl FleetMachine {
    /// Creates the machine and the view that it shares with the rest of the process. `seed` seeds the random
    /// numbers and must differ at each start, as the instance id is derived from it.
    pub fn new(now: Micros, config: FleetMachineConfig, seed: u64) -> (Self, Rc<RefCell<FleetView>>) {
        let FleetMachineConfig { name, zone, listen, seeds, keys, proxy, safeguards } = config;
        let instance_id = InstanceId(seed | 1);
        // The clock gives a later start a higher incarnation. After the clock has been set back, other
        // routers report the higher incarnation that they know.
        let identity = LocalIdentity { name, zone, address: listen, instance_id, incarnation: now };
        let envelopes = Envelopes::new(instance_id.0, RouterId::named(&identity.name).0, keys);
        let members = Membership::new(now, identity, seeds, seed).with_safeguards(safeguards);
        let view = FleetView { members, shared: None, envelopes, sent: 0, unsent: 0, unreadable: 0 };
        let view = Rc::new(RefCell::new(view));
        let machine = FleetMachine {
            listen,
            proxy,
            socket: None,
            view: view.clone(),
            membership_timer: 0,
            shared_state_timer: 0,
            is_shutting_down: Box::new(|| false),
        };
        (machine, view)
    }

    /// Sets the function that tells whether the process is shutting down. It is called at every wake-up of
    /// the membership protocol.
    pub fn with_shutdown(mut self, is_shutting_down: Box<dyn FnMut() -> bool>) -> Self {
        self.is_shutting_down = is_shutting_down;
        self
    }

    fn open(&mut self, now: Micros, transport: &mut dyn Transport) {
        match transport.bind_datagrams(self.listen) {
            Ok((socket, at)) => {
                tracing::info!(%at, "fleet: UDP port opened");
                self.socket = Some(socket);
            }
            Err(error) => {
                tracing::warn!(
                    at = %self.listen,
                    %error,
                    reason = "fleet-port",
                    "fleet: the UDP port could not be opened; retrying"
                );
                transport.set_timer_at(now + OPEN_RETRY_DELAY, OPEN_TIMER);
            }
        }
    }

    /// Calls into the state machines and carries out the actions that they request.
    fn call(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        call: impl FnOnce(&mut FleetView, &mut PendingActions),
    ) {
        let mut actions = PendingActions::default();
        let view = self.view.clone();
        let mut view = view.borrow_mut();
        call(&mut view, &mut actions);
        self.send(transport, &mut view, actions.membership, actions.shared);
        actions.changes.iter().for_each(log_change);
        self.set_timers(now, transport, &view);
    }

    fn send(
        &self,
        transport: &mut dyn Transport,
        view: &mut FleetView,
        membership: Vec<(SocketAddr, Vec<u8>)>,
        shared: Vec<(RouterId, Vec<u8>)>,
    ) {
        for (address, message) in membership {
            // Another router may have taken over the address, so the membership message itself names its
            // receiver.
            self.send_datagram(transport, view, address, ANY_RECEIVER, &message);
        }
        for (to, message) in shared {
            // Addressed to the process that currently holds the router's name.
            let Some(record) = view.members.record(to) else { continue };
            let (address, receiver) = (record.address, process_receiver(to.0, record.instance_id.0));
            self.send_datagram(transport, view, address, receiver, &message);
        }
    }

    fn send_datagram(
        &self,
        transport: &mut dyn Transport,
        view: &mut FleetView,
        address: SocketAddr,
        receiver: u64,
        message: &[u8],
    ) {
        let Some(sealed) = view.envelopes.seal(receiver, message) else { return };
        let accepted = match (self.socket, self.proxy) {
            (Some(socket), None) => transport.send_datagram_to(socket, address, &sealed),
            (Some(socket), Some(proxy)) => {
                let prefix = format!("{address}\n");
                transport.send_datagram_to(socket, proxy, &[prefix.as_bytes(), &sealed].concat())
            }
            (None, _) => false,
        };
        view.sent += 1;
        view.unsent += u64::from(!accepted);
    }

    fn set_timers(&mut self, now: Micros, transport: &mut dyn Transport, view: &FleetView) {
        let next = view.members.next_deadline();
        if next != self.membership_timer {
            self.membership_timer = next;
            transport.set_timer_at(next, MEMBERSHIP_TIMER);
        }
        let Some(shared) = &view.shared else { return };
        let next_wakeup = shared.next_wakeup();
        let next = shared.next_disk_poll(now).map_or(next_wakeup, |poll| poll.min(next_wakeup));
        // A pending timer that fires earlier calls this function again, which sets the next one.
        if self.shared_state_timer <= now || next < self.shared_state_timer {
            self.shared_state_timer = next;
            transport.set_timer_at(next, SHARED_STATE_TIMER);
        }
    }
}

impl Machine for FleetMachine {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.open(now, transport);
        self.call(now, transport, |_, _| {});
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId, _: Listener) {}
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn bytes(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId, _: &[u8]) {}
    fn half_closed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn closed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId, _: Closed, _: u64) {}
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}

    fn datagram_received(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        _: ConnectionId,
        bytes: &[u8],
    ) {
        self.call(now, transport, |view, actions| {
            let FleetView { members, envelopes, unreadable, shared, .. } = view;
            let Ok((instance_id, message)) = envelopes.open(bytes) else { return };
            if message.first().is_none_or(|tag| *tag < FIRST_PROTOCOL_TAG) {
                *unreadable += u64::from(members.handle_message(now, message, actions).is_err());
                return;
            }
            // Requires a message addressed to this process: one that was recorded before this process started
            // is not.
            let from = members
                .router_of_instance(InstanceId(instance_id))
                .filter(|_| envelopes.last_was_for_process());
            match (from, shared) {
                (Some(from), Some(shared)) => {
                    actions.shared.extend(shared.handle_message(now, from, message));
                }
                _ => *unreadable += 1,
            }
        });
    }

    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        match timer {
            OPEN_TIMER => self.open(now, transport),
            SHARED_STATE_TIMER => self.call(now, transport, |view, actions| {
                if let Some(shared) = &mut view.shared {
                    actions.shared.extend(shared.wake(now, &view.members));
                }
            }),
            _ => {
                let is_shutting_down = (self.is_shutting_down)();
                self.call(now, transport, |view, actions| {
                    if is_shutting_down && view.members.local_record().status != MemberStatus::Left {
                        view.members.leave(now, actions);
                    } else if now >= view.members.next_deadline() {
                        view.members.handle_timeout(now, actions);
                    }
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
