//! Connects `Membership` with a socket, the log and the state page; nothing is decided here.
use crate::envelope::{Envelopes, Key, process};
use crate::shared::Shared;
use applepond_membership::{
    Actions, Change, InstanceId, LocalIdentity, MemberStatus, MemberView, Membership, RouterId, Safeguards,
};
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// µs between two tries to open the port: descriptors or memory may be there again.
const OPEN_AGAIN: Micros = 1_000_000;

/// First bytes of messages from here on are marks of what is shared.
const MARKS: u8 = 0xb0;

/// What others of the process look at.
pub struct View {
    pub members: Membership,
    /// None where a rig looks at membership alone.
    pub shared: Option<Shared>,
    envelopes: Envelopes,
    /// Datagrams sent, those that the kernel would not take, and messages that could not be read.
    sent: u64,
    unsent: u64,
    unread: u64,
}

impl View {
    /// Other seeds and keys from now on; messages under a key that is in neither list are foreign.
    pub fn renew(&mut self, seeds: Vec<SocketAddr>, keys: Vec<Key>) {
        self.members.set_seeds(seeds);
        self.envelopes.rekey(keys);
    }
}

pub struct Fleet {
    listen: SocketAddr,
    /// A rig stands between the routers: every datagram goes there, its address in front.
    through: Option<SocketAddr>,
    post: Option<Conn>,
    view: Rc<RefCell<View>>,
    /// The timer that is set, so that none is set twice.
    armed: Micros,
    /// The same for what is shared.
    looks: Micros,
    /// Whether this process is to end: the others are told then.
    ends: Box<dyn FnMut() -> bool>,
}

/// Actions as they come, carried out when the call returns.
#[derive(Default)]
struct Said {
    messages: Vec<(SocketAddr, Vec<u8>)>,
    shared: Vec<(RouterId, Vec<u8>)>,
    changes: Vec<Change>,
}

impl Actions for Said {
    fn send(&mut self, to: SocketAddr, message: &[u8]) {
        self.messages.push((to, message.to_vec()));
    }
    fn changed(&mut self, change: Change) {
        self.changes.push(change);
    }
}

impl Fleet {
    /// `seed` is for chance, and is new at each start, as the birth drawn from it has to be.
    pub fn new(
        now: Micros,
        (name, zone, listen): (String, String, SocketAddr),
        seeds: Vec<SocketAddr>,
        keys: Vec<Key>,
        seed: u64,
        (through, guards): (Option<SocketAddr>, Safeguards),
    ) -> (Self, Rc<RefCell<View>>) {
        let instance_id = InstanceId(seed | 1);
        // Later starts have higher ones, as far as the clock goes on; where it went back, the others say so.
        let me = LocalIdentity { name, zone, address: listen, instance_id, incarnation: now };
        let envelopes = Envelopes::new(instance_id.0, RouterId::named(&me.name).0, keys);
        let members = Membership::new(now, me, seeds, seed).with_guards(guards);
        let shared = None;
        let view = View { members, shared, envelopes, sent: 0, unsent: 0, unread: 0 };
        let view = Rc::new(RefCell::new(view));
        let ends = Box::new(|| false);
        (Fleet { listen, through, post: None, view: view.clone(), armed: 0, looks: 0, ends }, view)
    }

    /// Who is asked at every beat whether this process is to end.
    pub fn with_end(mut self, ends: Box<dyn FnMut() -> bool>) -> Self {
        self.ends = ends;
        self
    }

    fn open(&mut self, now: Micros, transport: &mut dyn Transport) {
        match transport.bind_datagrams(self.listen) {
            Ok((post, at)) => {
                tracing::info!(%at, "fleet: the port is open");
                self.post = Some(post);
            }
            Err(error) => {
                tracing::warn!(at = %self.listen, %error, reason = "fleet-port", "fleet: no port");
                transport.wake_at(now + OPEN_AGAIN, Wake(0));
            }
        }
    }

    fn with(&mut self, now: Micros, transport: &mut dyn Transport, call: impl FnOnce(&mut View, &mut Said)) {
        let mut said = Said::default();
        let mut view = self.view.borrow_mut();
        call(&mut view, &mut said);
        // Whom an address belongs to may have changed: the message's own words tell whom it is for.
        let mut messages: Vec<_> = said.messages.into_iter().map(|(at, message)| (at, 0, message)).collect();
        for (to, message) in said.shared {
            // For one process alone: the one that is known under the name.
            let Some(record) = view.members.record(to) else { continue };
            messages.push((record.address, process(to.0, record.instance_id.0), message));
        }
        for (to, whom, message) in messages {
            let Some(sealed) = view.envelopes.seal(whom, &message) else { continue };
            let taken = match (self.post, self.through) {
                (Some(post), None) => transport.datagram_to(post, to, &sealed),
                (Some(post), Some(rig)) => {
                    let front = format!("{to}\n");
                    transport.datagram_to(post, rig, &[front.as_bytes(), &sealed].concat())
                }
                (None, _) => false,
            };
            view.sent += 1;
            view.unsent += u64::from(!taken);
        }
        said.changes.iter().for_each(log);
        let next = view.members.next_deadline();
        if next != self.armed {
            self.armed = next;
            transport.wake_at(next, Wake(1));
        }
        let Some(shared) = &view.shared else { return };
        let next = shared.look(now).map_or(shared.next(), |look| look.min(shared.next()));
        // One that is set already and comes sooner looks again.
        if self.looks <= now || next < self.looks {
            self.looks = next;
            transport.wake_at(next, Wake(2));
        }
    }
}

/// One line of the log a change.
fn log(change: &Change) {
    match change {
        Change::StatusChanged { name, previous: was, current: is, accusers: by } => {
            let (was, is) = (was.map_or("unknown", |w| w.as_str()), is.as_str());
            tracing::info!(
                reason = "fleet-standing",
                router = name,
                was,
                is,
                by = by.join(","),
                "fleet: a router"
            );
        }
        Change::LinkFaultChanged { name, previous: was, current: is } => {
            tracing::info!(reason = "fleet-lame", router = name, ?was, ?is, "fleet: a link");
        }
        Change::ProcessStalled(time) => {
            tracing::warn!(reason = "fleet-stood-still", us = time, "fleet: this process stood still");
        }
        Change::Isolated(deaf) => {
            tracing::warn!(reason = "fleet-deaf", deaf, "fleet: all neighbours are silent");
        }
        Change::Rejoined(incarnation) => {
            tracing::warn!(reason = "fleet-returned", incarnation, "fleet: this router had been removed");
        }
        Change::NameLost { holder } => {
            tracing::error!(reason = "fleet-refused", %holder, "fleet: another process has this name");
        }
        Change::NameContested { name, claimant: by } => {
            tracing::error!(reason = "fleet-taken", router = name, %by, "fleet: name wanted");
        }
        Change::TableFull { name } => {
            tracing::error!(reason = "fleet-full", router = name, "fleet: more routers than are kept");
        }
    }
}

/// The view for the state page.
pub fn page(view: &View, now: Micros) -> Value {
    let row = |seen: MemberView| {
        let record = &seen.record;
        json!({"name": record.name, "zone": record.zone, "address": record.address.to_string(),
            "incarnation": record.incarnation, "standing": seen.observed.as_str(),
            "for-us": now.saturating_sub(seen.since), "by": seen.accusers,
            "lame": seen.link_fault.map(|l| format!("{l:?}").to_lowercase())})
    };
    let members = &view.members;
    let dropped: serde_json::Map<String, Value> = view
        .envelopes
        .dropped()
        .iter()
        .map(|(why, n)| (format!("{why:?}").to_lowercase(), json!(n)))
        .collect();
    json!({"live": members.live_count(), "live-by-zone": members.live_count_by_zone(),
        "view": members.view_digest(),
        "refused": members.has_lost_name(), "deaf": members.is_isolated(),
        "members": members.members().map(row).collect::<Vec<_>>(),
        "shared": view.shared.as_ref().map(|s| s.page(now)),
        "datagrams": {"sent": view.sent, "not-taken": view.unsent, "unreadable": view.unread,
            "dropped": dropped}})
}

impl Machine for Fleet {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.open(now, transport);
        self.with(now, transport, |_, _| {});
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: Listener) {}
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn bytes(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: &[u8]) {}
    fn half_closed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn closed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: Closed, _: u64) {}
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}

    fn datagram_received(&mut self, now: Micros, transport: &mut dyn Transport, _: Conn, bytes: &[u8]) {
        self.with(now, transport, |view, said| {
            let View { members, envelopes, unread, shared, .. } = view;
            let Ok((instance_id, message)) = envelopes.open(bytes) else { return };
            // Messages of members begin with a small number, those of what is shared with a mark.
            if message.first().is_none_or(|mark| *mark < MARKS) {
                *unread += u64::from(members.handle_message(now, message, said).is_err());
                return;
            }
            // Guards against one that was kept from before this process: it is for another one.
            let from = members.router_of_instance(InstanceId(instance_id)).filter(|_| envelopes.was_for_me());
            match (from, shared) {
                (Some(from), Some(shared)) => said.shared.extend(shared.heard(now, from, message)),
                _ => *unread += 1,
            }
        });
    }

    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        if wake.0 == 0 {
            return self.open(now, transport);
        }
        if wake.0 == 2 {
            return self.with(now, transport, |view, said| {
                let View { members, shared, .. } = view;
                said.shared.extend(shared.iter_mut().flat_map(|s| s.wake(now, members)));
            });
        }
        let ends = (self.ends)();
        self.with(now, transport, |view, said| {
            if ends && view.members.local_record().status != MemberStatus::Left {
                view.members.leave(now, said);
            } else if now >= view.members.next_deadline() {
                view.members.handle_timeout(now, said);
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use applepond_fakes::simulated_transport::SimulatedTransport;
    use test_case::test_case;

    const BEGIN: Micros = 1_000_000_000;

    fn key(secret: &[u8]) -> Key {
        Key::from_secret(secret).expect("long enough")
    }

    fn fleet(name: &str, port: u16, seed: u16, secret: &[u8]) -> (Fleet, Rc<RefCell<View>>) {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let who = (name.to_owned(), "z".to_owned(), at(port));
        Fleet::new(BEGIN, who, vec![at(seed)], vec![key(secret)], u64::from(port), (None, Safeguards::ALL))
    }

    /// Fires what is due by then.
    fn pass(fleet: &mut Fleet, transport: &mut SimulatedTransport, until: Micros) {
        while let Some((at, wake)) = transport.due(until) {
            fleet.woken(at, transport, wake);
        }
    }

    // Short of descriptors, or a kernel that takes nothing: the process goes on, and says so.
    #[test_case(3, false, 0; "no descriptor for three seconds")]
    #[test_case(0, true, 1; "a socket that refuses to send")]
    fn goes_on_without(no_posts: usize, refuses: bool, least: u64) {
        let mut transport = SimulatedTransport::default();
        transport.no_posts = no_posts;
        let (mut fleet, view) = fleet("a", 1, 2, b"a secret of some length");
        fleet.start(BEGIN, &mut transport);
        if refuses {
            transport.stuck.insert(fleet.post.expect("open"));
        }
        pass(&mut fleet, &mut transport, BEGIN + 10_000_000);
        let page = page(&view.borrow(), BEGIN + 10_000_000);
        assert_eq!(page["live"], 1);
        assert!(page["datagrams"]["not-taken"].as_u64() >= Some(least));
        assert_eq!(transport.datagrams.is_empty(), refuses, "and sends once it can");
    }

    // Keys are changed while the process runs: what only the old one sealed is foreign from then on.
    #[test]
    fn other_keys() {
        let (old, new) = (&b"a secret of some length"[..], &b"another secret as long"[..]);
        let (mut transport, mut others) = (SimulatedTransport::default(), SimulatedTransport::default());
        let ((mut one, view), (mut other, others_view)) = (fleet("a", 1, 2, old), fleet("b", 2, 1, old));
        one.start(BEGIN, &mut transport);
        other.start(BEGIN, &mut others);
        let told = |one: &mut Fleet,
                    transport: &mut SimulatedTransport,
                    others: &mut SimulatedTransport,
                    at: Micros| {
            for (conn, _, bytes) in std::mem::take(&mut others.datagrams) {
                one.datagram_received(at, transport, conn, &bytes);
            }
        };
        pass(&mut other, &mut others, BEGIN + 1_000_000);
        told(&mut one, &mut transport, &mut others, BEGIN + 1_000_000);
        assert_eq!(page(&view.borrow(), BEGIN)["members"].as_array().map(Vec::len), Some(2));
        let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 2))];
        view.borrow_mut().renew(seeds.clone(), vec![key(new)]);
        pass(&mut other, &mut others, BEGIN + 2_000_000);
        told(&mut one, &mut transport, &mut others, BEGIN + 2_000_000);
        let foreign = page(&view.borrow(), BEGIN)["datagrams"]["dropped"]["foreign"].as_u64();
        assert!(foreign >= Some(1));
        others_view.borrow_mut().renew(seeds, vec![key(new)]);
        pass(&mut other, &mut others, BEGIN + 3_000_000);
        told(&mut one, &mut transport, &mut others, BEGIN + 3_000_000);
        assert_eq!(page(&view.borrow(), BEGIN)["datagrams"]["dropped"]["foreign"].as_u64(), foreign);
    }
}
