use std::future::Future;

use tokio::task::LocalSet;
use tokio::time::timeout;

use super::*;
use crate::discovery::member::{Member, Phase};
use crate::replica::command::Command;
use crate::replica::host::Setup;
use crate::store::Recovery;

const HEARTBEAT: Duration = Duration::from_secs(2);

fn member(id: &str, service: &str) -> Member {
    let entry = serde_json::json!(
        {"id": id, "host_port": "127.0.0.1:9", "phase": "SERVING", "service": service});
    serde_json::from_value(entry).expect("a member")
}

/// Runs a test with paused time on one thread, with a service that starts with this list.
fn paused<F: Future<Output = ()>>(
    members: Vec<Member>,
    history: usize,
    test: impl FnOnce(Rc<ListService>) -> F,
) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let host = Host::start(Setup {
            id: 1,
            peers: vec![],
            state_dir: None,
            recovery: Recovery::Strict,
            max_log_bytes: None,
            snapshot_bytes: 1 << 20,
            election: Duration::from_millis(500),
            history,
            seed: (40, members),
        });
        let service = ListService::new(host.expect("starts"), HEARTBEAT);
        timeout(Duration::from_secs(600), test(service)).await.expect("it ends");
    });
}

async fn change(service: &ListService, id: &str, of: &str) {
    let command = Command::Register { member: member(id, of), ttl_ms: None, fence: None };
    service.host.decide(command).await.expect("decided");
}

fn watch(service: &Rc<ListService>, index: u64, names: &[&str]) -> Lines {
    let filter = Filter::services(names.iter().copied());
    match service.clone().watch(index, filter).into_body() {
        Either::Right(lines) => lines,
        Either::Left(_) => panic!("no watch"),
    }
}

/// The next line of a watch: revision, whether complete, and ids with their phases; `None` for an empty line.
async fn next_line(watch: &mut Lines) -> Option<(u64, bool, Vec<(String, Phase)>)> {
    let line = watch.0.recv().await.expect("a line");
    let message = (line.as_ref() != b"\n").then(|| Message::read(&line).expect("a list"))?;
    let members = message.members.into_iter().map(|m| (m.id, m.phase)).collect();
    Some((message.revision, message.complete, members))
}

fn of(entries: &[(&str, Phase)]) -> Vec<(String, Phase)> {
    entries.iter().map(|(id, phase)| ((*id).to_owned(), *phase)).collect()
}

#[test]
fn filtered_watch_gets_only_its_services_and_the_revision_follows() {
    let first = vec![member("a-1", "a"), member("b-1", "b")];
    paused(first, 64, |service| async move {
        let serving = Phase::Serving;
        let mut a = watch(&service, 0, &["a"]);
        assert_eq!(next_line(&mut a).await, Some((42, true, of(&[("a-1", serving)]))));
        assert_eq!(next_line(&mut a).await, None, "nothing has changed");
        // Frequent changes of other services don't delay heartbeats, which carry the new revision.
        let start = Instant::now();
        for i in 0..9 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            change(&service, &format!("c-{i}"), "b").await;
        }
        assert_eq!(next_line(&mut a).await, Some((48, false, vec![])), "as it was after 2 s");
        assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
        change(&service, "b-1", "a").await;
        let moved = next_line(&mut a).await;
        assert_eq!(moved, Some((52, false, of(&[("b-1", serving)]))), "all of b's before it too");
        change(&service, "b-1", "b").await;
        assert_eq!(next_line(&mut a).await, Some((53, false, of(&[("b-1", Phase::Deleted)]))));
        assert_eq!(next_line(&mut a).await, None);
        // From this revision there is nothing to send; from an earlier one, the missed change of service a.
        assert_eq!(next_line(&mut watch(&service, 53, &["a"])).await, None);
        let missed = next_line(&mut watch(&service, 51, &["a"])).await;
        assert_eq!(missed, Some((53, false, of(&[("b-1", Phase::Deleted)]))));
        // A watch ahead of the list gets nothing until the list has caught up.
        let mut ahead = watch(&service, 54, &["a"]);
        change(&service, "a-2", "a").await;
        assert_eq!(next_line(&mut ahead).await, None);
        change(&service, "a-3", "a").await;
        assert_eq!(next_line(&mut ahead).await, Some((55, false, of(&[("a-3", serving)]))));
    });
}

#[test]
fn watch_of_an_unknown_service_gets_an_empty_list() {
    paused(vec![], 64, |service| async move {
        let mut none = watch(&service, 0, &["a"]);
        assert_eq!(next_line(&mut none).await, Some((40, true, vec![])));
        change(&service, "a-1", "a").await;
        assert_eq!(next_line(&mut none).await, Some((41, false, of(&[("a-1", Phase::Serving)]))));
    });
}

#[test]
fn compacting_changes_of_others_costs_an_open_watch_nothing() {
    paused(vec![member("a-1", "a")], 4, |service| async move {
        let mut a = watch(&service, 0, &["a"]);
        assert!(next_line(&mut a).await.is_some());
        for i in 0..20 {
            change(&service, &format!("b-{i}"), "b").await;
        }
        let lines_built = service.lines_built();
        change(&service, "a-2", "a").await;
        assert_eq!(next_line(&mut a).await, Some((62, false, of(&[("a-2", Phase::Serving)]))));
        assert_eq!(service.lines_built(), lines_built + 1, "and nothing was made for it before");
        let late = next_line(&mut watch(&service, 45, &["a"])).await;
        let all = of(&[("a-1", Phase::Serving), ("a-2", Phase::Serving)]);
        assert_eq!(late, Some((62, true, all)), "it may have missed some of its own");
    });
}

#[test]
fn watches_of_one_filter_share_lines_and_state_is_freed() {
    let first = (0..10).map(|s| member(&format!("{s}-1"), &format!("s-{s}"))).collect();
    paused(first, 1024, |service| async move {
        let names = |i: usize| if i.is_multiple_of(2) { ["s-0", "s-1"] } else { ["s-1", "s-2"] };
        let mut watches: Vec<Lines> = (0..100).map(|i| watch(&service, 0, &names(i))).collect();
        for watch in &mut watches {
            assert!(
                next_line(watch).await.is_some_and(|(_, complete, all)| complete && all.len() == 2)
            );
        }
        assert_eq!(service.lines_built(), 2, "two filters, whatever the watches");
        assert_eq!((service.filters.borrow().len(), service.watches()), (2, 100));
        change(&service, "9-2", "s-9").await;
        change(&service, "1-2", "s-1").await;
        // New watches at different revisions between which nothing of their filters changed.
        let held = |i: usize| 50 + (i as u64 / 2) % 2;
        watches.extend((0..100).map(|i| watch(&service, held(i), &names(i))));
        let update = (52, false, of(&[("1-2", Phase::Serving)]));
        for watch in &mut watches {
            assert_eq!(next_line(watch).await.as_ref(), Some(&update));
        }
        assert_eq!(service.lines_built(), 4, "one line more for each filter");
        drop(watches);
        while service.watches() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(service.filters.borrow().len(), 0);
    });
}

#[test]
fn query_is_parsed_or_rejected() {
    let all = Filter::all;
    assert_eq!(
        Query::parse("stream=1&index=41"),
        Ok(Query { stream: true, index: 41, filter: all() })
    );
    assert_eq!(Query::parse(""), Ok(Query { stream: false, index: 0, filter: all() }));
    let filter = Filter::services(["a b", "c,d"]);
    let query = "service=a%20b&stream=1&index=41&service=c%2Cd&service=a%20b";
    assert_eq!(Query::parse(query), Ok(Query { stream: true, index: 41, filter }));
    assert!(Query::parse("service=%ff").is_err());
    assert!(Query::parse("stream=1&index=-1").is_err());
    assert!(Query::parse("stream=yes").is_err());
}
