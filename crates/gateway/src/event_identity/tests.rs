//! Properties of the comparison of contents.
use super::{CHANGED_BY_RETRIES, EventContent};
use applepond_http::encode::HeaderLines;
use applepond_storage::WorkflowRecord;
use proptest::prelude::*;
use test_case::test_case;

/// The parts of an event that are compared.
#[derive(Clone, Debug, PartialEq)]
struct Parts {
    event_type: String,
    attributes: Vec<(String, String)>,
    media_type: Option<String>,
    data: Vec<u8>,
}

fn header_lines(attributes: &[(String, String)]) -> HeaderLines {
    let mut lines = HeaderLines::default();
    attributes.iter().for_each(|(name, value)| lines.field(&format!("ce-{name}"), value));
    lines
}

impl Parts {
    fn content(&self) -> EventContent {
        let attributes = header_lines(&self.attributes);
        EventContent::new(Some(&self.event_type), &attributes, self.media_type.as_deref(), &self.data)
    }
}

/// Parts out of few values, so that two of them are often nearly the same, and data that looks like fields.
fn parts() -> impl Strategy<Value = Parts> {
    let name = prop::sample::select(vec!["subject", "customer", "beds", "a"]);
    let value = prop::sample::select(vec!["", "1", "2", ": ", "ce-a: 1"]);
    let attributes = prop::collection::btree_map(name, value, 0..4);
    let media_type = prop::option::of(prop::sample::select(vec!["", "text/plain"]));
    let data = prop::sample::select(vec!["", "1", "\r\n", "ce-a: 1\r\n", "content-type: \r\n\r\n", "\r\n1"]);
    (prop::sample::select(vec!["quote", "book"]), attributes, media_type, data).prop_map(
        |(event_type, attributes, media_type, data)| Parts {
            event_type: event_type.to_owned(),
            attributes: attributes
                .iter()
                .map(|(name, value)| (name.to_string(), value.to_string()))
                .collect(),
            media_type: media_type.map(str::to_owned),
            data: data.as_bytes().to_vec(),
        },
    )
}

proptest! {
    // Two contents are the same exactly if all parts are.
    #[test]
    fn contents_are_the_same_if_all_parts_are(first in parts(), second in parts()) {
        prop_assert_eq!(first.content().is_same(&second.content()), first == second);
    }

    // Neither the order of the attributes nor what a client changes in a retry counts.
    #[test]
    fn a_retry_has_the_same_content(
        event in parts(),
        turn in 0usize..4,
        changed in prop::sample::subsequence(CHANGED_BY_RETRIES.to_vec(), 0..=CHANGED_BY_RETRIES.len()),
    ) {
        let mut retry = event.clone();
        let count = retry.attributes.len();
        retry.attributes.rotate_left(turn.min(count));
        for name in changed {
            let name = name.trim_start_matches("ce-").to_owned();
            retry.attributes.insert(turn.min(retry.attributes.len()), (name, turn.to_string()));
        }
        prop_assert!(event.content().is_same(&retry.content()));
    }

    // The content of a record is that of the event which it was made of.
    #[test]
    fn a_record_has_the_content_of_its_event(event in parts()) {
        let record = WorkflowRecord {
            header_lines: header_lines(&event.attributes).bytes().to_vec(),
            content_type: event.media_type.clone(),
            data: event.data.clone(),
            event_type: Some(event.event_type.clone()),
            ..WorkflowRecord::default()
        };
        prop_assert!(EventContent::of_record(&record, &[]).is_same(&event.content()));
    }
}

// The type of a record without one is that of its workflow, if the workflow takes only one.
#[test_case(&["quote"], true; "the same type")]
#[test_case(&["book"], false; "another type")]
#[test_case(&["book", "quote"], true; "several types: not compared")]
fn the_type_of_an_older_record_is_that_of_its_workflow(types: &[&str], same: bool) {
    let types: Vec<String> = types.iter().map(|event_type| (*event_type).to_owned()).collect();
    let content = EventContent::of_record(&WorkflowRecord::default(), &types);
    let event = EventContent::new(Some("quote"), &HeaderLines::default(), None, b"");
    assert_eq!(content.is_same(&event), same);
}
