//! The machine that connects membership and shared state with the socket; nothing is decided here.
use crate::envelope::{Envelopes, FleetKey, process};
use crate::page::log_change;
use crate::shared_state::SharedState;
use applepond_membership::{
    Actions, Change, InstanceId, LocalIdentity, MemberStatus, Membership, RouterId, Safeguards,
};
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// µs between two attempts to open the port: descriptors or memory may be there again.
const OPEN_RETRY_DELAY: Micros = 1_000_000;
/// Messages whose first byte is at least this begin with a protocol tag of the shared state; those of
/// membership begin with a small number.
const FIRST_PROTOCOL_TAG: u8 = 0xb0;
/// The receiver of datagrams for whatever router they reach.
const ANY_RECEIVER: u64 = 0;

/// Timer: opens the port.
const OPEN_TIMER: Wake = Wake(0);
/// Timer: wakes the membership.
const MEMBERSHIP_TIMER: Wake = Wake(1);
/// Timer: wakes the shared state.
const SHARED_STATE_TIMER: Wake = Wake(2);

/// What the machine shares with the rest of the process.
pub struct FleetView {
    /// Who is a member of the fleet.
    pub members: Membership,
    /// State that the routers share; none where a test looks at membership alone.
    pub shared: Option<SharedState>,
    pub(crate) envelopes: Envelopes,
    /// Datagrams sent.
    pub(crate) sent: u64,
    /// Datagrams among them that the kernel did not take.
    pub(crate) unsent: u64,
    /// Messages that could not be read.
    pub(crate) unreadable: u64,
}

impl FleetView {
    /// Replaces seeds and keys; datagrams under another key are not accepted from now on.
    pub fn reconfigure(&mut self, seeds: Vec<SocketAddr>, keys: Vec<FleetKey>) {
        self.members.set_seeds(seeds);
        self.envelopes.set_keys(keys);
    }
}

/// What a router starts with.
pub struct FleetMachineConfig {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens for datagrams; others reach it there.
    pub listen: SocketAddr,
    /// Addresses of routers that it asks for the others.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet; the first one seals.
    pub keys: Vec<FleetKey>,
    /// A proxy of a fault-injection scenario: every datagram goes there, its receiver's address in front.
    pub proxy: Option<SocketAddr>,
    /// Safeguards of the membership that are enabled.
    pub safeguards: Safeguards,
}

/// The fleet's part of a router.
pub struct FleetMachine {
    listen: SocketAddr,
    proxy: Option<SocketAddr>,
    /// The socket, once it is open.
    socket: Option<Conn>,
    view: Rc<RefCell<FleetView>>,
    /// The time of the membership's timer, so that none is set twice.
    membership_timer: Micros,
    /// The same for the shared state.
    shared_state_timer: Micros,
    /// Whether this process is to end, which is then announced.
    is_ending: Box<dyn FnMut() -> bool>,
}

/// Actions of one call, carried out when it returns.
#[derive(Default)]
struct PendingActions {
    /// Messages of the membership, with the address that each is for.
    membership: Vec<(SocketAddr, Vec<u8>)>,
    /// Messages of the shared state, with the router that each is for.
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
    /// The machine and the view that the rest of the process shares. `seed` is for random numbers, and new at
    /// each start, as the instance id that is made of it has to be.
    pub fn new(now: Micros, config: FleetMachineConfig, seed: u64) -> (Self, Rc<RefCell<FleetView>>) {
        let FleetMachineConfig { name, zone, listen, seeds, keys, proxy, safeguards } = config;
        let instance_id = InstanceId(seed | 1);
        // Later starts have higher incarnations as far as the clock goes on; where it went back, the others
        // say so.
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
            is_ending: Box::new(|| false),
        };
        (machine, view)
    }

    /// Sets what is asked at every wake-up of the membership, whether this process is to end.
    pub fn with_end(mut self, is_ending: Box<dyn FnMut() -> bool>) -> Self {
        self.is_ending = is_ending;
        self
    }

    fn open(&mut self, now: Micros, transport: &mut dyn Transport) {
        match transport.bind_datagrams(self.listen) {
            Ok((socket, at)) => {
                tracing::info!(%at, "fleet: the port is open");
                self.socket = Some(socket);
            }
            Err(error) => {
                tracing::warn!(
                    at = %self.listen,
                    %error,
                    reason = "fleet-port",
                    "fleet: the port cannot be opened, which is tried again"
                );
                transport.wake_at(now + OPEN_RETRY_DELAY, OPEN_TIMER);
            }
        }
    }

    /// Makes a call and carries out its actions.
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
            // Whose an address is may have changed: the message itself says whom it is for.
            self.send_datagram(transport, view, address, ANY_RECEIVER, &message);
        }
        for (to, message) in shared {
            // For one process alone: the one that is known under the name.
            let Some(record) = view.members.record(to) else { continue };
            let (address, receiver) = (record.address, process(to.0, record.instance_id.0));
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
        let taken = match (self.socket, self.proxy) {
            (Some(socket), None) => transport.send_datagram_to(socket, address, &sealed),
            (Some(socket), Some(proxy)) => {
                let front = format!("{address}\n");
                transport.send_datagram_to(socket, proxy, &[front.as_bytes(), &sealed].concat())
            }
            (None, _) => false,
        };
        view.sent += 1;
        view.unsent += u64::from(!taken);
    }

    fn set_timers(&mut self, now: Micros, transport: &mut dyn Transport, view: &FleetView) {
        let next = view.members.next_deadline();
        if next != self.membership_timer {
            self.membership_timer = next;
            transport.wake_at(next, MEMBERSHIP_TIMER);
        }
        let Some(shared) = &view.shared else { return };
        let next_wakeup = shared.next_wakeup();
        let next = shared.next_disk_poll(now).map_or(next_wakeup, |poll| poll.min(next_wakeup));
        // A timer that is set already and fires sooner sets the next one.
        if self.shared_state_timer <= now || next < self.shared_state_timer {
            self.shared_state_timer = next;
            transport.wake_at(next, SHARED_STATE_TIMER);
        }
    }
}

impl Machine for FleetMachine {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.open(now, transport);
        self.call(now, transport, |_, _| {});
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: Listener) {}
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn bytes(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: &[u8]) {}
    fn half_closed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn closed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: Closed, _: u64) {}
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}

    fn datagram_received(&mut self, now: Micros, transport: &mut dyn Transport, _: Conn, bytes: &[u8]) {
        self.call(now, transport, |view, actions| {
            let FleetView { members, envelopes, unreadable, shared, .. } = view;
            let Ok((instance_id, message)) = envelopes.open(bytes) else { return };
            if message.first().is_none_or(|tag| *tag < FIRST_PROTOCOL_TAG) {
                *unreadable += u64::from(members.handle_message(now, message, actions).is_err());
                return;
            }
            // Guards against a message that was recorded before this process: it is for another one.
            let from = members.router_of_instance(InstanceId(instance_id)).filter(|_| envelopes.was_for_me());
            match (from, shared) {
                (Some(from), Some(shared)) => {
                    actions.shared.extend(shared.handle_message(now, from, message));
                }
                _ => *unreadable += 1,
            }
        });
    }

    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        match wake {
            OPEN_TIMER => self.open(now, transport),
            SHARED_STATE_TIMER => self.call(now, transport, |view, actions| {
                if let Some(shared) = &mut view.shared {
                    actions.shared.extend(shared.wake(now, &view.members));
                }
            }),
            _ => {
                let is_ending = (self.is_ending)();
                self.call(now, transport, |view, actions| {
                    if is_ending && view.members.local_record().status != MemberStatus::Left {
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
