use super::*;

fn member(id: &str, phase: Phase) -> Member {
    Member {
        id: id.into(),
        host_port: format!("127.0.0.1:{}", id.len()),
        locality: "a".into(),
        flavor: String::new(),
        cell: 0,
        phase,
        size: 1.0,
        up_since_ms: 0.0,
        service: String::new(),
    }
}

#[test]
fn a_change_bumps_the_revision_once_and_the_same_entry_not_at_all() {
    let mut store = Store::new(40, 8);
    assert_eq!(store.apply(member("a", Phase::Serving)), Some(41));
    assert_eq!(store.apply(member("a", Phase::Serving)), None);
    assert_eq!(store.apply(member("b", Phase::Deleted)), None);
    assert_eq!(store.apply(member("a", Phase::Draining)), Some(42));
    assert_eq!(store.since(42), Since::Current);
    let Since::Changes(told) = store.since(40) else { panic!("changes") };
    assert_eq!((told.revision, told.members.len()), (42, 1), "each id once, its last entry");
    assert_eq!(told.members[0].phase, Phase::Draining);
}

#[test]
fn a_compacted_index_gets_the_whole_list_and_one_ahead_nothing() {
    let mut store = Store::new(0, 2);
    for id in ["a", "b", "c"] {
        store.apply(member(id, Phase::Serving));
    }
    assert_eq!(store.oldest(), 1);
    assert!(matches!(store.since(1), Since::Changes(m) if m.members.len() == 2));
    assert!(matches!(store.since(0), Since::Whole(m) if m.complete && m.members.len() == 3));
    assert_eq!(store.since(9), Since::Ahead, "never told an older list than it holds");
    store.apply(member("a", Phase::Deleted));
    let Since::Changes(told) = store.since(3) else { panic!("changes") };
    assert_eq!(told.members[0].phase, Phase::Deleted, "a deletion is told as such");
    assert_eq!(store.whole().members.len(), 2);
}
