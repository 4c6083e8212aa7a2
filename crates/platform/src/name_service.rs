//! Codec of the name service: DNS queries for the list of model servers, and their answers (RFC 1035,
//! RFC 2782).
use crate::config::ListedWorker;
use crate::errors::NameServiceError;
use crate::startup::ConfigNames;
use applepond::interface::{Endpoint, RackId, WorkerId, WorkerStatus, ZoneId};
use simple_dns::rdata::{RData, SRV};
use simple_dns::{CLASS, Name, Packet, PacketFlag, QTYPE, Question, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The DNS name whose SRV records hold the complete list.
const SERVICE: &str = "_rpc._tcp.mesh.local";
/// An SRV weight is the server's weight multiplied by this, as SRV weights are integers.
const WEIGHT_SCALE: f64 = 10.0;

/// Encodes a query for the complete list.
///
/// # Panics
/// Never: the question is constant and fits into a message.
pub fn query(id: u16) -> Vec<u8> {
    let mut packet = Packet::new_query(id);
    let service = Name::new_unchecked(SERVICE);
    packet.questions.push(Question::new(service, QTYPE::TYPE(TYPE::SRV), CLASS::IN.into(), false));
    packet.build_bytes_vec().expect("the constant question fits into a message")
}

/// The endpoint list from one answer.
#[derive(Debug)]
pub struct EndpointList {
    /// Index of the last event included in the list; the serial number of the SOA record.
    pub index: u64,
    /// The model servers.
    pub workers: Vec<ListedWorker>,
    /// Number of model servers left out because their records were incomplete or invalid.
    pub left_out: usize,
}

/// Decodes the answer to the query with this id.
///
/// # Errors
/// The bytes are not a DNS message or not the answer to this query, or the answer is truncated, reports a
/// failure or has no serial number.
pub fn read_answer(bytes: &[u8], id: u16, names: &ConfigNames) -> Result<EndpointList, NameServiceError> {
    let packet =
        Packet::parse(bytes).map_err(|error| NameServiceError::InvalidMessage(format!("{error:?}")))?;
    check_answer(&packet, id)?;
    let serial = packet.name_servers.iter().find_map(|record| match &record.rdata {
        RData::SOA(soa) => Some(u64::from(soa.serial)),
        _ => None,
    });
    let index = serial.ok_or(NameServiceError::MissingSerial)?;
    let hosts = HostRecords::read(&packet);
    let mut list = EndpointList { index, workers: Vec::new(), left_out: 0 };
    for record in &packet.answers {
        let RData::SRV(srv) = &record.rdata else { continue };
        match hosts.worker(srv, names) {
            Some(worker) => list.workers.push(worker),
            None => list.left_out += 1,
        }
    }
    Ok(list)
}

/// Checks that the packet is a complete, successful answer to the query with this id.
fn check_answer(packet: &Packet<'_>, id: u16) -> Result<(), NameServiceError> {
    if packet.id() != id || !packet.has_flags(PacketFlag::RESPONSE) {
        return Err(NameServiceError::UnrelatedAnswer);
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(NameServiceError::Truncated);
    }
    if packet.rcode() != RCODE::NoError {
        return Err(NameServiceError::ServerFailure(format!("{:?}", packet.rcode())));
    }
    Ok(())
}

/// The attributes of a TXT record, each `name=value` or just a name.
type Attributes = HashMap<String, Option<String>>;

/// The A and TXT records of an answer, by host name.
struct HostRecords {
    addresses: HashMap<String, Ipv4Addr>,
    attributes: HashMap<String, Attributes>,
}

impl HostRecords {
    fn read(packet: &Packet<'_>) -> HostRecords {
        let mut hosts = HostRecords { addresses: HashMap::new(), attributes: HashMap::new() };
        for record in packet.additional_records.iter().chain(&packet.answers) {
            let name = || record.name.to_string().to_ascii_lowercase();
            match &record.rdata {
                RData::A(host) => _ = hosts.addresses.insert(name(), Ipv4Addr::from(host.address)),
                RData::TXT(txt) => _ = hosts.attributes.insert(name(), txt.attributes()),
                _ => {}
            }
        }
        hosts
    }

    /// The model server of one SRV record, or `None` if its A or TXT record is missing or invalid.
    fn worker(&self, srv: &SRV<'_>, names: &ConfigNames) -> Option<ListedWorker> {
        let target = srv.target.to_string().to_ascii_lowercase();
        let address = SocketAddr::new(IpAddr::V4(*self.addresses.get(&target)?), srv.port);
        let attributes = self.attributes.get(&target)?;
        let mut labels = target.split('.');
        let (name, zone) = (labels.next()?, labels.next()?);
        let attribute = |name: &str| attributes.get(name).and_then(Option::as_deref);
        let number = |name: &str| attribute(name).map_or(Some(0), |value| value.parse::<u64>().ok());
        let worker = WorkerId::named(name);
        let endpoint = Endpoint {
            worker,
            status: if srv.priority == 0 { WorkerStatus::Ready } else { WorkerStatus::Draining },
            up_since: number("started")?.checked_mul(1000)?,
            zone: names.zones.iter().position(|known| known == zone).map(ZoneId),
            rack: match attribute("cell") {
                Some(_) => RackId(number("cell")? as i64),
                None => RackId::unshared(worker),
            },
            weight: f64::from(srv.weight) / WEIGHT_SCALE,
        };
        Some(ListedWorker { name: name.to_owned(), address, endpoint })
    }
}
