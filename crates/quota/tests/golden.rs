//! The encoding of messages and terms. A version that changes it cannot run alongside the previous one.
use applepond_consensus::{Acceptor, AcceptorError, AcceptorState, AcceptorStorage, Ballot, Promise};
use applepond_membership::{InstanceId, RouterId};
use applepond_quota::message::{self, MessageWriter};
use applepond_quota::{Budget, LeaseGrant, LeaseRequest, QuotaActions, QuotaService, ServiceConfig, Term};

const ME: RouterId = RouterId(0xaabb_ccdd_0011_2233);

fn term() -> Term {
    Term {
        number: 12,
        router: RouterId(4_000_000_007),
        instance_id: InstanceId(55),
        settings_digest: 0xdead_beef,
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 0xfeed_f00d }
}

fn messages() -> Vec<Vec<u8>> {
    let mut written = MessageWriter::new(ME);
    let to = RouterId(5);
    written.prepare(to, ballot(7));
    written.accept(to, ballot(8), &term());
    let accepted = Some((ballot(2), term()));
    let full = Promise { ballot: ballot(7), previous: ballot(2), accepted };
    written.promised(to, &full);
    written.promised(to, &Promise { accepted: None, ..full });
    written.accepted(to, ballot(8));
    written.rejected(to, ballot(8), ballot(9));
    let need = vec![1, 200, 70_000];
    let lessee = InstanceId(77);
    let request =
        LeaseRequest { lessee, settings_digest: 0xdead_beef, number: 3, in_force: 4, need: need.clone() };
    written.request_leases(to, &request);
    written.grant_leases(to, &LeaseGrant { lessee, number: 4, extra: need });
    written.redirect(to, RouterId(6));
    written.messages.into_iter().map(|(_, bytes)| bytes).collect()
}

#[test]
fn messages_keep_their_bytes() {
    let lines: Vec<String> = messages().iter().map(hex::encode).collect();
    insta::assert_snapshot!("messages", lines.join("\n"));
}

struct Memory;

impl AcceptorStorage<Term> for Memory {
    fn persist(&mut self, _: &AcceptorState<Term>) -> Result<(), AcceptorError> {
        Ok(())
    }
}

#[test]
fn messages_are_read() {
    let budgets = vec![Budget { total: 1_000, floor: 10 }];
    let config =
        ServiceConfig { router: ME, instance_id: InstanceId(1), replicas: vec![ME], routers: 3, budgets };
    let mut service = QuotaService::new(0, config, Some(Acceptor::new(3, Ok(None))), 1);
    for bytes in messages() {
        let mut answers = MessageWriter::new(ME);
        let read = message::handle_message(&bytes, 0, &mut service, &mut Memory, &|_| true, &mut answers);
        assert_eq!(read, Ok(()), "{}", hex::encode(&bytes));
    }
}

#[test]
fn terms_keep_their_bytes() {
    let bytes = postcard::to_stdvec(&term()).expect("terms can be written");
    assert_eq!(postcard::from_bytes::<Term>(&bytes), Ok(term()));
    insta::assert_snapshot!("terms", hex::encode(bytes));
}
