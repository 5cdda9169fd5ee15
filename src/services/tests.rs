use proptest::prelude::*;

use super::*;
use crate::discovery::member::{Member as Entry, Phase};
use crate::interface::{Answer, Outcome, Request, RequestId, ServerId};
use crate::routing::Route;
use crate::settings::{Facts, Tenant};

const MS: i64 = 1000;

fn facts(mode: &str) -> Facts {
    let text = serde_json::json!({
        "Balancers": 1, "Tick": 1.0, "RegistryMode": mode, "Zones": ["a"], "MachineTypes": ["m"],
        "Services": [{"Name": "read", "Aim": 200.0, "Deadline": 600.0, "Effect": "retryable"}],
        "PolicyLimits": {"MaxAttempts": 3},
        "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
            "DrainClose": 50.0, "AskEvery": 2000.0},
    });
    serde_json::from_value(text).expect("sound")
}

fn catalog(names: &[&str]) -> Rc<Catalog> {
    let entry = |name: &&str| ServiceEntry { name: (*name).to_owned(), ..ServiceEntry::default() };
    let route = |name: &&str| Route {
        prefix: format!("/{name}"),
        service: (*name).to_owned(),
        ..Route::default()
    };
    let entries: Vec<_> = names.iter().map(entry).collect();
    let routes: Vec<_> = names.iter().map(route).collect();
    Rc::new(Catalog::new(&facts("subscribe"), &entries, &routes).expect("sound"))
}

fn entry(id: &str, service: &str, phase: Phase) -> Entry {
    Entry {
        id: id.to_owned(),
        host_port: "127.0.0.1:9".to_owned(),
        locality: "a".to_owned(),
        flavor: "m".to_owned(),
        cell: 0,
        phase,
        size: 1.0,
        up_since_ms: 0.0,
        service: service.to_owned(),
    }
}

/// Drives [`Services`]: fires its timers in simulated time and records its actions.
struct Caller {
    services: Services,
    now: Time,
    timers: Vec<(ServiceId, u64, Time)>,
    fired: usize,
    actions: Vec<(ServiceId, Action)>,
    revision: u64,
}

impl Caller {
    fn new(names: &[&str]) -> Self {
        let now = Time(1_000_000 * MS);
        let services = Services::new(catalog(names), 7, now).expect("sound");
        let (timers, actions) = (Vec::new(), Vec::new());
        Self { services, now, timers, fired: 0, actions, revision: 0 }
    }

    fn handle(&mut self, service: ServiceId, event: Event<'_>) {
        let mut out = Vec::new();
        self.services.handle(self.now, service, event, &mut out);
        for action in out {
            if let Action::Arm { token, at } = action {
                self.timers.push((service, token, at));
            }
            self.actions.push((service, action));
        }
    }

    fn list(&mut self, kind: ListKind, members: Vec<Entry>) -> DirectoryUpdate {
        self.revision += 1;
        let complete = kind != ListKind::Update;
        let list = Message { revision: self.revision, complete, members };
        let update = self.services.apply_list(&list, kind);
        for (service, members) in &update.members {
            self.handle(*service, Event::Members { kind, list: members });
        }
        update
    }

    fn advance(&mut self, span: Span) {
        let end = self.now.plus(span);
        while let Some(i) = (0..self.timers.len()).min_by_key(|i| self.timers[*i].2) {
            if self.timers[i].2 > end {
                break;
            }
            let (service, token, at) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            self.fired += 1;
            self.handle(service, Event::Timer(token));
        }
        self.now = end;
    }

    fn request(&mut self, service: ServiceId, id: u64) -> Option<ServerId> {
        self.services.request_opened(service);
        let request = Request::new(RequestId(id), 0, self.now.plus(Span(600 * MS)));
        let from = self.actions.len();
        self.handle(service, Event::Request(request));
        self.actions[from..].iter().find_map(|(_, action)| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        })
    }

    fn complete(&mut self, service: ServiceId, id: u64, server: ServerId) {
        let answer = Answer::new(RequestId(id), 0, server, Outcome::Ok, Span(10 * MS), true);
        self.handle(service, Event::Answered(answer));
        self.services.request_closed(service);
    }

    fn count(&self, which: impl Fn(&Action) -> bool) -> usize {
        self.actions.iter().filter(|(_, action)| which(action)).count()
    }
}

fn fleet(names: &[&str], each: usize) -> Vec<Entry> {
    let of = |name: &&str| -> Vec<Entry> {
        (0..each).map(|i| entry(&format!("{name}-{i}"), name, Phase::Serving)).collect()
    };
    names.iter().flat_map(of).collect()
}

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("svc-{i}")).collect()
}

/// The number of timers that fire while one service is busy for a second beside `idle` others, and in an idle second
/// after that.
fn timers_fired_beside(idle: usize) -> (usize, usize) {
    let names = names(idle + 1);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut caller = Caller::new(&names);
    caller.list(ListKind::Full, fleet(&names, 3));
    caller.advance(Span(1000 * MS));
    caller.fired = 0;
    let busy = ServiceId(0);
    for id in 0..100 {
        let server = caller.request(busy, id).expect("it is sent");
        caller.advance(Span(10 * MS));
        caller.complete(busy, id, server);
    }
    let fired = std::mem::take(&mut caller.fired);
    caller.advance(Span(1000 * MS));
    (fired, caller.fired)
}

#[test]
fn idle_services_fire_no_timers() {
    let (busy, quiet) = timers_fired_beside(0);
    assert!(busy >= 50, "a busy service ticks: {busy} timers");
    assert!(quiet <= 1, "it is suspended once idle: {quiet} timers");
    assert_eq!(timers_fired_beside(209), (busy, quiet));
}

#[test]
fn a_list_update_reaches_only_the_services_it_names() {
    for services in [2, 210] {
        let names = names(services);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut caller = Caller::new(&names);
        let update = caller.list(ListKind::Full, fleet(&names, 3));
        assert_eq!((update.members.len(), update.changes.len()), (services, 3 * services));
        // The first service subscribes for all, so it is notified of every list.
        let update =
            caller.list(ListKind::Update, vec![entry("svc-1-0", "svc-1", Phase::Draining)]);
        let affected: Vec<_> =
            update.members.iter().map(|(s, members)| (s.0, members.len())).collect();
        assert_eq!((affected, update.changes.len()), (vec![(0, 0), (1, 1)], 1));
    }
}

#[test]
fn one_service_subscribes_for_all() {
    let mut caller = Caller::new(&["a", "b", "c"]);
    caller.list(ListKind::Restored, Vec::new());
    caller.advance(Span(2000 * MS));
    let asked = caller.count(|a| matches!(a, Action::Subscribe));
    assert!(asked >= 1, "no subscription before the first list");
    let by_others = caller.actions.iter().filter(|(s, a)| s.0 > 0 && *a == Action::Subscribe);
    assert_eq!(by_others.count(), 0);
    caller.list(ListKind::Full, fleet(&["a", "b"], 1));
    caller.advance(Span(1000 * MS));
    let asked = caller.count(|a| matches!(a, Action::Subscribe));
    caller.fired = 0;
    caller.advance(Span(60_000 * MS));
    assert_eq!(caller.count(|a| matches!(a, Action::Subscribe)), asked, "subscribed after a list");
    assert_eq!(caller.fired, 0, "an idle service was not suspended");
    // When the list becomes unavailable, a suspended service subscribes again.
    for service in caller.services.ids() {
        caller.handle(service, Event::Members { kind: ListKind::Unavailable, list: &[] });
    }
    caller.advance(Span(4000 * MS));
    assert!(caller.count(|a| matches!(a, Action::Subscribe)) > asked);
}

#[test]
fn an_upstream_that_changes_service_gets_a_new_id() {
    let mut caller = Caller::new(&["a", "b"]);
    let (a, b) = (ServiceId(0), ServiceId(1));
    caller.list(ListKind::Full, vec![entry("s", "a", Phase::Serving)]);
    let first = caller.request(a, 1).expect("sent");
    let update = caller.list(ListKind::Update, vec![entry("s", "b", Phase::Serving)]);
    assert_eq!(update.changes.len(), 2);
    assert_eq!((update.changes[0].server, update.changes[0].status), (first, Status::Gone));
    assert_eq!(caller.request(a, 2), None, "gone from its previous service");
    let second = caller.request(b, 3).expect("sent");
    assert_ne!(first, second);
    // It moves to a service that is not served here, then back, and is deleted by an entry that names no service.
    caller.list(ListKind::Update, vec![entry("s", "elsewhere", Phase::Serving)]);
    assert!(!caller.services.any_live());
    caller.list(ListKind::Update, vec![entry("s", "b", Phase::Serving)]);
    assert!(caller.services.any_live());
    caller.list(ListKind::Update, vec![entry("s", "", Phase::Deleted)]);
    assert!(!caller.services.any_live());
    assert_eq!(caller.request(b, 4), None);
}

#[test]
fn a_full_list_removes_unlisted_upstreams_of_every_service() {
    let mut caller = Caller::new(&["a", "b"]);
    caller.list(ListKind::Full, fleet(&["a", "b"], 2));
    let update = caller.list(ListKind::Full, fleet(&["a"], 1));
    let gone = update.changes.iter().filter(|c| c.status == Status::Gone).count();
    assert_eq!(gone, 3);
    assert_eq!(caller.request(ServiceId(1), 1), None);
    assert!(caller.request(ServiceId(0), 2).is_some());
}

#[test]
fn idle_connections_of_draining_upstreams_are_closed_before_suspension() {
    let mut caller = Caller::new(&["a", "b"]);
    caller.list(ListKind::Full, fleet(&["a", "b"], 1));
    let server = caller.request(ServiceId(1), 1).expect("sent");
    caller.advance(Span(200 * MS));
    caller.list(ListKind::Update, vec![entry("b-0", "b", Phase::Draining)]);
    caller.advance(Span(200 * MS));
    let closes = |c: &Caller| c.count(|a| *a == Action::CloseIdle { server });
    let before = closes(&caller);
    caller.complete(ServiceId(1), 1, server);
    caller.advance(Span(100 * MS));
    assert!(
        closes(&caller) > before + 1,
        "closed on the outcome and on every tick within DrainClose"
    );
    caller.fired = 0;
    caller.advance(Span(10_000 * MS));
    assert!(caller.fired <= 1, "suspended after that: {} timers", caller.fired);
}

#[test]
fn reload_keeps_services_that_both_catalogs_name() {
    let mut caller = Caller::new(&["a", "b"]);
    caller.list(ListKind::Full, fleet(&["a", "b"], 1));
    let server = caller.request(ServiceId(1), 1).expect("sent");
    let reloaded = caller.services.reload(catalog(&["c", "a"]), caller.now).expect("it can");
    assert_eq!((reloaded.removed.clone(), reloaded.added), (vec![ServiceId(1)], 1));
    assert_eq!(reloaded.changes.len(), 1);
    assert!(!caller.services.serves(ServiceId(1)) && caller.services.serves(ServiceId(0)));
    let found = |path: &str| reloaded.routing.find("", path).map(|(id, s)| (id, s.name.clone()));
    assert_eq!(found("/a"), Some((ServiceId(0), "a".into())));
    assert_eq!(found("/c"), Some((ServiceId(2), "c".into())));
    assert_eq!(found("/b"), None);
    // The open request of the removed service still completes.
    caller.handle(ServiceId(1), Event::Members { kind: ListKind::Full, list: &[] });
    caller.complete(ServiceId(1), 1, server);
    assert!(
        caller.services.slots[1].balancer.is_none(),
        "its balancer is dropped with the last request"
    );
    caller.list(ListKind::Full, fleet(&["a", "c"], 1));
    assert!(caller.request(ServiceId(2), 2).is_some());
    assert!(caller.request(ServiceId(0), 3).is_some());
    // A service that is added again under the same name gets a new id.
    let again = caller.services.reload(catalog(&["a", "b"]), caller.now).expect("it can");
    assert_eq!(again.routing.find("", "/b").map(|(id, _)| id), Some(ServiceId(3)));
    let single = Rc::new(Catalog::single(&facts("subscribe")).expect("sound"));
    let refused = caller.services.reload(single, caller.now);
    assert_eq!(refused.expect_err("it can't"), ReloadError::Kind);
    let entries = [ServiceEntry {
        name: "b".into(),
        settings: Overrides { over_share_worth: Some(0.5), ..Overrides::default() },
    }];
    let other = Catalog::new(&facts("subscribe"), &entries, &[]).expect("sound");
    let refused = caller.services.reload(Rc::new(other), caller.now);
    assert_eq!(refused.expect_err("it can't"), ReloadError::Settings(0));
    assert!(caller.services.serves(ServiceId(0)), "the previous catalog stays in effect");
}

#[test]
fn a_single_service_takes_every_upstream_and_is_never_suspended() {
    let catalog = Rc::new(Catalog::single(&facts("automatic")).expect("sound"));
    let mut caller = Caller::new(&["unused"]);
    caller.services = Services::new(catalog, 7, caller.now).expect("sound");
    caller.list(ListKind::Full, vec![entry("s", "any", Phase::Serving)]);
    caller.advance(Span(1000 * MS));
    assert!(caller.fired >= 100, "its timer is never suspended: {}", caller.fired);
    assert!(caller.request(ServiceId(0), 1).is_some());
    assert!(caller.services.routing().find("any.example", "/any").is_some());
}

#[test]
fn a_stored_list_is_resumed_only_if_it_covers_every_service() {
    let list = |members| Message { revision: 7, complete: true, members };
    let filtered = |mut list: Message| {
        let filtered = catalog(&["a", "b"]).filter_list(&mut list);
        (filtered.changed, filtered.covers_all_services, list.members.len(), list.complete)
    };
    assert_eq!(filtered(list(fleet(&["a", "b"], 2))), (false, true, 4, true));
    assert_eq!(filtered(list(fleet(&["a"], 2))), (false, false, 2, true));
    assert_eq!(filtered(list(fleet(&["a", "b", "c"], 1))), (true, true, 2, true));
    assert_eq!(filtered(list(Vec::new())), (false, false, 0, true));
    let single = Catalog::single(&facts("subscribe")).expect("sound");
    let expect = FilteredList { changed: false, covers_all_services: true };
    assert_eq!(single.filter_list(&mut list(fleet(&["c"], 1))), expect);
}

#[test]
fn a_received_list_is_not_subscribed_for_again() {
    let mut caller = Caller::new(&["a", "b"]);
    caller.list(ListKind::Restored, fleet(&["a", "b"], 1));
    caller.advance(Span(100 * MS));
    caller.services.reload(catalog(&["b"]), caller.now).expect("it can");
    // Service b is suspended, has received only the restored list, and subscribes for all from now on. Its suspended
    // tick, delivered with the list, must not subscribe again.
    caller.now = caller.now.plus(Span(10_000 * MS));
    caller.list(ListKind::Full, fleet(&["b"], 1));
    let by_b = caller.actions.iter().filter(|(s, a)| s.0 == 1 && *a == Action::Subscribe);
    assert_eq!(by_b.count(), 0);
}

proptest! {
    /// The lookup agrees with a linear search: of two tenants with the same name the first is found, an empty name finds
    /// the tenant with an empty name, and an unknown name none. Without tenants every name has index 0.
    #[test]
    fn tenant_lookup_finds_the_first_of_a_name(
        names in prop::collection::vec("[ab]{0,2}", 0..12),
        asked in prop::collection::vec("[abc]{0,2}", 1..8),
    ) {
        let tenant = |name: &String| Tenant { name: name.clone(), quota_rps: 1.0, share: 0.0 };
        let tenants: Vec<Tenant> = names.iter().map(tenant).collect();
        let facts = facts("subscribe");
        let settings = Overrides { tenants: tenants.clone(), ..Overrides::default() };
        let entry = ServiceEntry { name: "a".into(), settings };
        let multiple = Catalog::new(&facts, &[entry], &[]).expect("sound");
        let single = Catalog::single(&Facts { tenants, ..facts }).expect("sound");
        for asked in asked.iter().chain(&names) {
            let expected = match names.is_empty() {
                true => Some(0),
                false => names.iter().position(|n| n == asked),
            };
            for catalog in [&multiple, &single] {
                prop_assert_eq!(catalog.services[0].tenant(asked), expected, "{:?} of {:?}", asked, &names);
            }
        }
    }
}
