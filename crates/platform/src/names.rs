//! The name service: queries for the list of model servers and what an answer says (RFC 1035, RFC 2782).
use crate::config::Member;
use crate::fault::NoAnswer;
use crate::rows::Words;
use applepond::interface::*;
use simple_dns::rdata::RData;
use simple_dns::{CLASS, Name, Packet, PacketFlag, QTYPE, Question, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The name under which the whole list is found.
const SERVICE: &str = "_rpc._tcp.mesh.local";
/// The listed weight stands here times ten, as SRV weights are whole numbers.
const WEIGHT_PARTS: f64 = 10.0;

/// A query for the whole list.
pub fn query(id: u16) -> Vec<u8> {
    let mut packet = Packet::new_query(id);
    let service = Name::new_unchecked(SERVICE);
    packet.questions.push(Question::new(service, QTYPE::TYPE(TYPE::SRV), CLASS::IN.into(), false));
    packet.build_bytes_vec().expect("a fixed question fits")
}

/// What one answer holds: the number of the last event, and the list. Records that do not add up to a model
/// server are counted and left out.
#[derive(Debug)]
pub struct Told {
    pub index: u64,
    pub members: Vec<Member>,
    pub left_out: usize,
}

/// Reads the answer to the query of this id; a fault says why it is none.
pub fn answer(bytes: &[u8], id: u16, words: &Words) -> Result<Told, NoAnswer> {
    let packet = Packet::parse(bytes).map_err(|e| NoAnswer::Unreadable(format!("{e:?}")))?;
    if packet.id() != id || !packet.has_flags(PacketFlag::RESPONSE) {
        return Err(NoAnswer::Another);
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(NoAnswer::Cut);
    }
    if packet.rcode() != RCODE::NoError {
        return Err(NoAnswer::Reports(format!("{:?}", packet.rcode())));
    }
    let serial = packet.name_servers.iter().find_map(|r| match &r.rdata {
        RData::SOA(soa) => Some(u64::from(soa.serial)),
        _ => None,
    });
    let index = serial.ok_or(NoAnswer::NoSerial)?;
    let mut addresses: HashMap<String, Ipv4Addr> = HashMap::new();
    let mut notes: HashMap<String, HashMap<String, Option<String>>> = HashMap::new();
    for record in packet.additional_records.iter().chain(&packet.answers) {
        let name = || record.name.to_string().to_ascii_lowercase();
        match &record.rdata {
            RData::A(a) => _ = addresses.insert(name(), Ipv4Addr::from(a.address)),
            RData::TXT(txt) => _ = notes.insert(name(), txt.attributes()),
            _ => {}
        }
    }
    let mut told = Told { index, members: Vec::new(), left_out: 0 };
    for record in &packet.answers {
        let RData::SRV(srv) = &record.rdata else { continue };
        let target = srv.target.to_string().to_ascii_lowercase();
        let entry = addresses.get(&target).zip(notes.get(&target));
        match entry.and_then(|(at, notes)| {
            let address = SocketAddr::new(IpAddr::V4(*at), srv.port);
            member(&target, address, srv.priority, srv.weight, notes, words)
        }) {
            Some(member) => told.members.push(member),
            None => told.left_out += 1,
        }
    }
    Ok(told)
}

fn member(
    target: &str,
    address: SocketAddr,
    priority: u16,
    weight: u16,
    notes: &HashMap<String, Option<String>>,
    words: &Words,
) -> Option<Member> {
    let mut labels = target.split('.');
    let (name, zone) = (labels.next()?, labels.next()?);
    let note = |name: &str| notes.get(name).and_then(Option::as_deref);
    let number = |name: &str| note(name).map_or(Some(0), |v| v.parse::<u64>().ok());
    let server = WorkerId::named(name);
    let listed = Endpoint {
        worker: server,
        status: if priority == 0 { WorkerStatus::Ready } else { WorkerStatus::Draining },
        up_since: number("started")?.checked_mul(1000)?,
        zone: words.zones.iter().position(|z| z == zone).map(ZoneId),
        rack: match note("cell") {
            Some(_) => RackId(number("cell")? as i64),
            None => RackId::unshared(server),
        },
        weight: f64::from(weight) / WEIGHT_PARTS,
    };
    Some(Member { name: name.to_owned(), address, listed })
}
