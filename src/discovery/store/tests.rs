use proptest::prelude::*;

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
fn only_real_changes_bump_the_revision() {
    let mut store = Store::new(40, 8);
    assert_eq!(store.apply(member("a", Phase::Serving)), Some(41));
    assert_eq!(store.apply(member("a", Phase::Serving)), None);
    assert_eq!(store.apply(member("b", Phase::Deleted)), None);
    assert_eq!(store.apply(member("a", Phase::Draining)), Some(42));
    assert_eq!(store.changes_since(42, &Filter::all()), ChangesSince::Current);
    let ChangesSince::Changes(told) = store.changes_since(40, &Filter::all()) else {
        panic!("changes")
    };
    assert_eq!((told.revision, told.members.len()), (42, 1), "each id once, its last entry");
    assert_eq!(told.members[0].phase, Phase::Draining);
}

#[test]
fn compacted_index_gets_the_full_list_and_one_ahead_waits() {
    let mut store = Store::new(0, 2);
    for id in ["a", "b", "c"] {
        store.apply(member(id, Phase::Serving));
    }
    assert_eq!(store.oldest(), 1);
    assert!(
        matches!(store.changes_since(1, &Filter::all()), ChangesSince::Changes(m) if m.members.len() == 2)
    );
    assert!(
        matches!(store.changes_since(0, &Filter::all()), ChangesSince::FullList(m) if m.complete && m.members.len() == 3)
    );
    assert_eq!(
        store.changes_since(9, &Filter::all()),
        ChangesSince::Ahead,
        "never told an older list than it holds"
    );
    store.apply(member("a", Phase::Deleted));
    let ChangesSince::Changes(told) = store.changes_since(3, &Filter::all()) else {
        panic!("changes")
    };
    assert_eq!(told.members[0].phase, Phase::Deleted, "a deletion is told as such");
    assert_eq!(store.full_list(&Filter::all()).members.len(), 2);
}

/// The members that match a filter, by id.
fn matching<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    filter: &Filter,
) -> BTreeMap<String, Member> {
    let members = members.into_iter().filter(|m| filter.matches(&m.service));
    members.map(|m| (m.id.clone(), m.clone())).collect()
}

const SERVICES: [&str; 4] = ["", "a", "b", "c"];

/// Filters on sets of services; the list never has `none`.
fn filters() -> Vec<Filter> {
    let sets: [&[&str]; 8] =
        [&[], &[""], &["a"], &["b"], &["a", "b"], &["", "c"], &["a", "b", "c", ""], &["none"]];
    let services = sets.iter().map(|names| Filter::services(names.iter().copied()));
    std::iter::once(Filter::all()).chain(services).collect()
}

#[derive(Clone, Debug)]
enum Op {
    /// Adds this member to this service, or removes it.
    Apply { id: u8, service: usize, phase: Phase },
    /// This follower catches up.
    Read(usize),
    /// Restores the store from its snapshot.
    Restart,
}

fn op() -> impl Strategy<Value = Op> {
    let phase = prop_oneof![Just(Phase::Serving), Just(Phase::Draining), Just(Phase::Deleted)];
    prop_oneof![
        6 => (0..6u8, 0..SERVICES.len(), phase)
            .prop_map(|(id, service, phase)| Op::Apply { id, service, phase }),
        3 => any::<usize>().prop_map(Op::Read),
        1 => Just(Op::Restart),
    ]
}

/// Brings a follower's filtered list up to date with the store.
fn catch_up(store: &Store, held: &mut Message, filter: &Filter) -> Result<(), TestCaseError> {
    let message = match store.changes_since(held.revision, filter) {
        ChangesSince::Current => return Ok(()),
        ChangesSince::Ahead => return Err(TestCaseError::fail("the list went back")),
        ChangesSince::Changes(message) | ChangesSince::FullList(message) => message,
    };
    prop_assert!(message.revision > held.revision, "a revision went back");
    let mut ids = BTreeSet::new();
    for m in &message.members {
        prop_assert!(ids.insert(&m.id), "{} is told twice", m.id);
        prop_assert!(filter.matches(&m.service), "{} of another service is told", m.id);
    }
    held.update(&message);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1500))]

    #[test]
    fn filtered_watch_matches_filtered_list(
        ops in proptest::collection::vec(op(), 1..60), keep in 1..14usize, start in 0..3u64,
    ) {
        let mut store = Store::new(start, keep);
        let mut followers: Vec<(Filter, Message)> =
            filters().into_iter().map(|f| (f.clone(), store.full_list(&f))).collect();
        // The full list at each revision.
        let mut lists = BTreeMap::from([(start, store.full_list(&Filter::all()))]);
        for op in ops {
            match op {
                Op::Apply { id, service, phase } => {
                    let service = SERVICES[service].to_owned();
                    let entry = Member { service, ..member(&id.to_string(), phase) };
                    store.apply(entry);
                    lists.insert(store.revision(), store.full_list(&Filter::all()));
                }
                Op::Read(i) => {
                    let i = i % followers.len();
                    let (filter, held) = &mut followers[i];
                    catch_up(&store, held, filter)?;
                    let all = &lists[&store.revision()].members;
                    prop_assert_eq!(matching(&held.members, &Filter::all()), matching(all, filter));
                }
                Op::Restart => {
                    let restored = Store::from(store.v2());
                    prop_assert_eq!(&restored, &store);
                    store = restored;
                }
            }
        }
        // The index equals a rebuilt one: nothing remains of dropped changes.
        prop_assert_eq!(&Store::from(store.v2()).services, &store.services);
        let now = &lists[&store.revision()];
        for filter in filters() {
            let last = store.last_change(store.revision(), &filter);
            prop_assert_eq!(matching(&store.full_list(&filter).members, &Filter::all()), matching(&now.members, &filter));
            // Catching up works from every earlier revision.
            for (index, list) in &lists {
                let mut held = list.clone();
                held.members.retain(|m| filter.matches(&m.service));
                catch_up(&store, &mut held, &filter)?;
                prop_assert_eq!(matching(&held.members, &Filter::all()), matching(&now.members, &filter));
                prop_assert_eq!(held.revision, store.revision());
                // Every revision before the history may have missed a change.
                prop_assert!(*index >= store.oldest() || *index < last);
                if *index >= store.oldest() {
                    let no_change = match store.changes_since(*index, &filter) {
                        ChangesSince::Changes(message) => message.members.is_empty(),
                        _ => true,
                    };
                    prop_assert_eq!(no_change, *index >= last, "from {}, changed at {}", index, last);
                }
            }
        }
    }
}

#[test]
fn member_that_changes_service_is_deleted_for_watches_of_the_old_one() {
    let of = |service: &str| Member { service: service.into(), ..member("x", Phase::Serving) };
    let mut store = Store::new(0, 8);
    store.apply(of("a"));
    store.apply(of("b"));
    let told =
        |names: &[&str]| match store.changes_since(1, &Filter::services(names.iter().copied())) {
            ChangesSince::Changes(message) => {
                message.members.into_iter().map(|m| (m.phase, m.service)).collect::<Vec<_>>()
            }
            other => panic!("{other:?}"),
        };
    assert_eq!(told(&["a"]), [(Phase::Deleted, "a".to_owned())]);
    assert_eq!(told(&["b"]), [(Phase::Serving, "b".to_owned())]);
    assert_eq!(told(&["a", "b"]), [(Phase::Serving, "b".to_owned())]);
    assert_eq!(told(&["c"]), [], "and nothing to anybody else");
}

/// Entries read for the full list of one service, and for three changes of it among those of all others.
fn entries_read_for_one_service(services: usize) -> (u64, u64) {
    let mut store = Store::new(0, 100_000);
    let entry = |service: usize, i: usize, phase| Member {
        service: format!("s-{service}"),
        ..member(&format!("{service}-{i}"), phase)
    };
    for service in 0..services {
        for i in 0..29 {
            store.apply(entry(service, i, Phase::Serving));
        }
    }
    let (one, index) = (Filter::services(["s-1"]), store.revision());
    for i in 0..3 {
        for service in 0..services {
            store.apply(entry(service, i, Phase::Draining));
        }
    }
    let before = store.entries_read();
    assert_eq!(store.full_list(&one).members.len(), 29);
    let full = store.entries_read() - before;
    let ChangesSince::Changes(told) = store.changes_since(index, &one) else { panic!("changes") };
    assert_eq!(told.members.len(), 3);
    (full, store.entries_read() - before - full)
}

#[test]
fn cost_of_one_service_does_not_depend_on_the_others() {
    assert_eq!(entries_read_for_one_service(10), (29, 3));
    assert_eq!(entries_read_for_one_service(210), (29, 3));
}
