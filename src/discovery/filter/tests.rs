use proptest::prelude::*;

use super::*;
use crate::discovery::stored_format::tests::new;

/// Parses a query as the list service does.
fn read(query: &str) -> Filter {
    let mut read = Filter::all();
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (key, value) = pair.split_once('=').expect("a pair");
        assert_eq!(key, "service");
        read.add(value).expect("UTF-8");
    }
    read
}

proptest! {
    #[test]
    fn query_round_trips_any_names(
        names in proptest::collection::vec("[a-z%&=+# ./é\u{1F600}-]{0,6}", 1..5),
    ) {
        let filter = Filter::services(names);
        prop_assert_eq!(read(&filter.query()), filter);
    }
}

#[test]
fn query_lists_services_and_is_empty_for_all() {
    assert_eq!(Filter::all().query(), "");
    assert_eq!(Filter::services(["b", "a/1", "b"]).query(), "&service=a%2F1&service=b");
    assert!(Filter::all().add("%ff").is_err());
}

#[test]
fn unfiltered_message_is_filtered() {
    let unreadable = crate::discovery::member::Member { phase: Phase::Unknown, ..new("c", "") };
    let members = vec![new("a", "s"), new("b", "t"), unreadable];
    let told = |filter: &Filter, complete| {
        let mut message = Message { revision: 7, complete, members: members.clone() };
        filter.apply_to(&mut message);
        let entry = |m: crate::discovery::member::Member| (m.id, m.phase);
        message.members.into_iter().map(entry).collect::<Vec<_>>()
    };
    let of = |id: &str, phase| (id.to_owned(), phase);
    let (draining, unknown) = (Phase::Draining, Phase::Unknown);
    let all = [of("a", draining), of("b", draining), of("c", unknown)];
    assert_eq!(told(&Filter::all(), true), all);
    assert_eq!(told(&Filter::services(["s"]), true), [of("a", draining), of("c", unknown)]);
    let gone = [of("a", draining), of("b", Phase::Deleted), of("c", unknown)];
    assert_eq!(told(&Filter::services(["s"]), false), gone);
    assert_eq!(told(&Filter::services([""; 0]), true), [of("c", unknown)]);
}
