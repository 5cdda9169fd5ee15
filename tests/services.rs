//! Tests several services of one balancer with random schedules of list updates, requests, outcomes and reloads,
//! against an independent model of which upstream belongs to which service.
//!
//! Invariants checked in every schedule:
//! - A request is sent only to an upstream that the latest list update reports as live in the request's service.
//! - Each request ends exactly once, and none remains open.
//! - An update is passed only to the services that it concerns.
//! - Only one service subscribes to the list, and it subscribes again after the list is lost.
//! - A handle never belongs to two services.
//! - A refused reload changes nothing.
//! - Idle connections to an upstream that left are closed repeatedly for the configured time.
//! - A service behaves the same with or without other services.
//! - No timer remains armed after all work has ended.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use hollowpaddle::discovery::member::{Member as Entry, Message, Phase};
use hollowpaddle::interface::{
    Action, Answer, Event, ListKind, Outcome, Request, RequestId, ServerId, Span, Status, Time,
};
use hollowpaddle::routing::Route;
use hollowpaddle::services::{Catalog, Overrides, ReloadError, ServiceEntry, ServiceId, Services};
use hollowpaddle::settings::Facts;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SCHEDULES: u64 = 10_000;
const STEPS: usize = 40;
const MS: i64 = 1000;
const TICK: Span = Span(5 * MS);
/// How long idle connections to an upstream that left are closed repeatedly.
const CLOSE_WITHIN: Span = Span(50 * MS);
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// One step of a schedule, drawn in advance so that the same schedule can be run with other services.
#[derive(Clone, Debug)]
enum Step {
    List(ListKind, Vec<Entry>),
    ListUnavailable,
    Request(&'static str),
    /// The oldest attempt in flight of this service ends.
    AttemptEnded(&'static str, Outcome),
    /// The client of the oldest open request of this service disconnects.
    ClientLeft(&'static str),
    /// Time passes, in milliseconds.
    Advance(i64),
    /// Reloads the catalog with the services in this bit mask, with changed settings if the flag is set.
    Reload(u32, bool),
}

fn facts() -> Facts {
    let text = serde_json::json!({
        "Balancers": 1, "Tick": TICK.0 as f64 / 1e3, "RegistryMode": "subscribe", "Zones": ["a"], "MachineTypes": ["m"],
        "Services": [{"Name": "read", "Aim": 100.0, "Deadline": 300.0, "Effect": "retryable"}],
        "PolicyLimits": {"MaxAttempts": 3},
        "Safety": {"Cold": 500.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
            "DrainClose": CLOSE_WITHIN.0 as f64 / 1e3, "AskEvery": 500.0},
    });
    serde_json::from_value(text).expect("sound")
}

fn catalog(mask: u32, changed_settings: bool) -> Rc<Catalog> {
    let names = NAMES.iter().enumerate().filter(|(i, _)| mask & (1 << i) != 0).map(|(_, n)| *n);
    let worth = changed_settings.then_some(0.5);
    let settings = || Overrides { over_share_worth: worth, ..Overrides::default() };
    let entries: Vec<_> = names
        .clone()
        .map(|name| ServiceEntry { name: name.to_owned(), settings: settings() })
        .collect();
    let route = |n| Route { prefix: format!("/{n}"), service: String::from(n), ..Route::default() };
    let routes: Vec<_> = names.map(route).collect();
    Rc::new(Catalog::new(&facts(), &entries, &routes).expect("sound"))
}

fn entry(id: u32, service: &str, phase: Phase, address: &str) -> Entry {
    Entry {
        id: format!("u-{id}"),
        host_port: address.to_owned(),
        locality: "a".to_owned(),
        flavor: "m".to_owned(),
        cell: id,
        phase,
        size: 1.0,
        up_since_ms: 0.0,
        service: service.to_owned(),
    }
}

/// `last` is the service named by the previous entry of this id.
fn random_entry(random: &mut StdRng, id: u32, full: bool, last: &mut &'static str) -> Entry {
    let stays = random.gen_bool(0.5);
    let service = match random.gen_range(0..12) {
        _ if stays => *last,
        0 => "elsewhere",
        1 => "",
        n => NAMES[n % NAMES.len()],
    };
    let phase = match random.gen_range(0..10) {
        0..=5 => Phase::Serving,
        6 | 7 => Phase::Draining,
        _ if full => Phase::Serving,
        _ => Phase::Deleted,
    };
    // The entry of a deleted member may or may not name its service.
    let service = match phase {
        Phase::Deleted if stays => "",
        Phase::Deleted => *last,
        _ => service,
    };
    *last = service;
    let address = if random.gen_bool(0.05) { "nowhere" } else { "127.0.0.1:9" };
    entry(id, service, phase, address)
}

/// Draws the steps of a schedule; `steady` schedules never remove the first service.
fn draw_steps(random: &mut StdRng, steady: bool) -> Vec<Step> {
    let mut last = ["elsewhere"; 8];
    let mut entry =
        |random: &mut StdRng, id: u32, full| random_entry(random, id, full, &mut last[id as usize]);
    let first = (0..8).map(|i| entry(random, i, true)).collect();
    let mut step = |random: &mut StdRng| {
        let name = NAMES[random.gen_range(0..NAMES.len())];
        match random.gen_range(0..100) {
            0..=5 => {
                let kind = if random.gen_bool(0.2) { ListKind::Restored } else { ListKind::Full };
                let ids: Vec<u32> = (0..8).filter(|_| random.gen_bool(0.8)).collect();
                Step::List(kind, ids.iter().map(|i| entry(random, *i, true)).collect())
            }
            6..=17 => {
                let n = random.gen_range(1..4);
                // A list contains each member at most once.
                let ids: BTreeSet<u32> = (0..n).map(|_| random.gen_range(0..8)).collect();
                let entries = ids.iter().map(|i| entry(random, *i, false)).collect();
                Step::List(ListKind::Update, entries)
            }
            18..=19 => Step::ListUnavailable,
            20..=49 => Step::Request(name),
            50..=69 => {
                let all = [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::ConnectFailed];
                let ok = random.gen_bool(0.6);
                Step::AttemptEnded(name, if ok { Outcome::Ok } else { all[random.gen_range(1..4)] })
            }
            70..=72 => Step::ClientLeft(name),
            73..=94 => Step::Advance([1, 5, 20, 80, 400][random.gen_range(0..5)]),
            _ => {
                let mask = random.gen_range(1..1 << NAMES.len()) | u32::from(steady);
                Step::Reload(mask, random.gen_bool(0.2))
            }
        }
    };
    let mut steps = vec![Step::List(ListKind::Full, first)];
    steps.extend((0..STEPS).map(|_| step(random)));
    steps
}

struct RequestState {
    service: ServiceId,
    name: &'static str,
    finished: bool,
    /// Each attempt's upstream, start, and whether it is in flight.
    attempts: Vec<(ServerId, Time, bool)>,
    closed: bool,
}

enum ScheduledEvent {
    Timer(ServiceId, u64),
    Timeout(u64, usize),
}

/// Executes the actions that the services return, and checks them against the model.
struct Simulation {
    services: Services,
    now: Time,
    events: BTreeMap<(Time, u64), ScheduledEvent>,
    sequence: u64,
    timers_fired: usize,
    requests: BTreeMap<u64, RequestState>,
    revision: u64,
    /// The model: service and status of each member, by its id in the list.
    expected: BTreeMap<String, (ServiceId, Status)>,
    /// Member id and service of each handle.
    servers: HashMap<ServerId, (String, Option<ServiceId>)>,
    /// The newest handle of each member id.
    latest_handle: HashMap<String, ServerId>,
    /// For each upstream that left: the later of its removal and the end of its last attempt, and when its idle
    /// connections were last closed.
    leaving: HashMap<ServerId, (Time, Time)>,
    status: HashMap<ServerId, Status>,
    subscribed: usize,
    /// Whether the service of each name last ran with changed settings.
    changed_settings: [bool; NAMES.len()],
    /// Actions of the service with the first name.
    log: Vec<(Time, String)>,
    attempts_sent: usize,
}

impl Simulation {
    fn new(mask: u32) -> Self {
        let now = Time(1_000_000 * MS);
        Self {
            services: Services::new(catalog(mask, false), 7, now).expect("sound"),
            now,
            events: BTreeMap::new(),
            sequence: 0,
            timers_fired: 0,
            requests: BTreeMap::new(),
            revision: 0,
            expected: BTreeMap::new(),
            servers: HashMap::new(),
            latest_handle: HashMap::new(),
            leaving: HashMap::new(),
            status: HashMap::new(),
            subscribed: 0,
            changed_settings: [false; NAMES.len()],
            log: Vec::new(),
            attempts_sent: 0,
        }
    }

    fn find(&self, name: &str) -> Option<ServiceId> {
        self.services.routing().find("", &format!("/{name}")).map(|(id, _)| id)
    }

    fn schedule_event(&mut self, at: Time, event: ScheduledEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle_event(&mut self, service: ServiceId, event: Event<'_>) {
        let mut actions = Vec::new();
        self.services.handle(self.now, service, event, &mut actions);
        let mut cancelled = Vec::new();
        for action in actions {
            if self.find("a") == Some(service) && !matches!(action, Action::Arm { .. }) {
                let description = match action {
                    Action::Send { request, server, timeout, .. } => {
                        format!("{request:?} to {} within {timeout:?}", self.servers[&server].0)
                    }
                    Action::CloseIdle { server } => format!("close {}", self.servers[&server].0),
                    other => format!("{other:?}"),
                };
                self.log.push((self.now, description));
            }
            match action {
                Action::Send { request, server, timeout, .. } => {
                    self.record_send(service, request.0, server, timeout);
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    assert_eq!(
                        self.requests[&request.0].service, service,
                        "refused or failed another service's request"
                    );
                    self.end_request(request.0);
                }
                Action::Cancel { request, attempt } => cancelled.push((request.0, attempt)),
                Action::Arm { token, at } => {
                    assert!(at > self.now, "timer armed for the past");
                    self.schedule_event(at, ScheduledEvent::Timer(service, token));
                }
                Action::CloseIdle { server } => {
                    let owner = self.servers[&server].1;
                    assert_eq!(owner, Some(service), "closed another service's connections");
                    if let Some((_, closed)) = self.leaving.get_mut(&server) {
                        *closed = self.now;
                    }
                }
                Action::Subscribe => {
                    let subscriber = self.services.ids().first().copied();
                    assert_eq!(
                        subscriber,
                        Some(service),
                        "subscribed by a service other than the first"
                    );
                    self.subscribed += 1;
                }
                Action::Probe { .. } => panic!("probes are disabled"),
            }
        }
        for (request, attempt) in cancelled {
            self.end_attempt(request, attempt, Outcome::Cancelled);
        }
    }

    fn record_send(&mut self, service: ServiceId, request: u64, server: ServerId, timeout: Span) {
        self.attempts_sent += 1;
        let (id, owner) = &self.servers[&server];
        assert_eq!(*owner, Some(service), "sent to an upstream of another service");
        assert_eq!(
            self.expected.get(id),
            Some(&(service, Status::Live)),
            "sent to {id}, which is not live in this service"
        );
        assert_eq!(self.latest_handle[id], server, "sent to an outdated handle of {id}");
        assert!(self.services.serves(service), "sent for a removed service");
        let now = self.now;
        let state = self.requests.get_mut(&request).expect("a known request");
        assert!(
            state.service == service && !state.finished,
            "sent for another service's request or after its end"
        );
        state.attempts.push((server, now, true));
        let attempt = state.attempts.len() - 1;
        self.schedule_event(now.plus(timeout), ScheduledEvent::Timeout(request, attempt));
    }

    fn end_request(&mut self, request: u64) {
        let state = self.requests.get_mut(&request).expect("a known request");
        assert!(!state.finished, "request {request} ended twice");
        state.finished = true;
        self.close_if_done(request);
    }

    fn close_if_done(&mut self, request: u64) {
        let state = self.requests.get_mut(&request).expect("a known request");
        if state.finished
            && !state.closed
            && state.attempts.iter().all(|(.., in_flight)| !in_flight)
        {
            state.closed = true;
            self.services.request_closed(state.service);
        }
    }

    fn end_attempt(&mut self, request: u64, attempt: usize, outcome: Outcome) {
        let state = self.requests.get_mut(&request).expect("a known request");
        let (server, sent, in_flight) = &mut state.attempts[attempt];
        if !std::mem::replace(in_flight, false) {
            return;
        }
        let (server, latency, service) = (*server, self.now.since(*sent), state.service);
        state.finished |= outcome == Outcome::Ok;
        let finished = state.finished;
        if self.services.serves(service) && self.status[&server] != Status::Live {
            self.leaving.insert(server, (self.now, self.now));
        }
        let answer = Answer::new(RequestId(request), attempt, server, outcome, latency, finished);
        self.handle_event(service, Event::Answered(answer));
        self.close_if_done(request);
    }

    fn client_left(&mut self, request: u64) {
        let service = self.requests[&request].service;
        self.requests.get_mut(&request).expect("a known request").finished = true;
        self.handle_event(service, Event::Left(RequestId(request)));
        self.close_if_done(request);
    }

    /// Applies a list to the model, and returns the services that it concerns.
    fn update_model(&mut self, kind: ListKind, entries: &[Entry]) -> Vec<ServiceId> {
        let mut concerned = Vec::new();
        if kind != ListKind::Update {
            let named = |id: &String| entries.iter().any(|e| e.id == *id);
            let left_out = self.expected.iter_mut().filter(|(id, _)| !named(id));
            left_out.for_each(|(_, (_, status))| *status = Status::Gone);
        }
        for e in entries {
            let previous = self.expected.get(&e.id).copied();
            let owner = match previous {
                Some((owner, _)) if e.phase == Phase::Deleted => Some(owner),
                _ => self.find(&e.service).filter(|_| !e.service.is_empty()),
            };
            if let Some((before, _)) = previous.filter(|(before, _)| Some(*before) != owner) {
                concerned.push(before);
                self.expected.remove(&e.id);
            }
            let Some(owner) = owner else { continue };
            if e.host_port == "nowhere" && !self.expected.contains_key(&e.id) {
                continue;
            }
            concerned.push(owner);
            let status = match e.phase {
                Phase::Serving => Status::Live,
                Phase::Deleted => Status::Gone,
                _ => Status::Draining,
            };
            self.expected.insert(e.id.clone(), (owner, status));
        }
        concerned
    }

    fn apply_list(&mut self, kind: ListKind, members: Vec<Entry>) {
        self.revision += 1;
        let concerned = self.update_model(kind, &members);
        let list = Message { revision: self.revision, complete: kind != ListKind::Update, members };
        let applied = self.services.apply_list(&list, kind);
        for change in &applied.changes {
            let server = self.servers.entry(change.server);
            let (id, _) = server.or_insert_with(|| (change.id.clone(), None));
            assert_eq!(*id, change.id, "one handle for two upstreams");
            let was = self.status.insert(change.server, change.status);
            if change.status == Status::Live {
                self.leaving.remove(&change.server);
            } else if was == Some(Status::Live) && kind != ListKind::Restored {
                self.leaving.insert(change.server, (self.now, self.now));
            }
            if change.status != Status::Gone || !self.latest_handle.contains_key(&change.id) {
                self.latest_handle.insert(change.id.clone(), change.server);
            }
        }
        for (service, part) in &applied.members {
            let subscriber = self.services.ids().first() == Some(service);
            let is_full = kind != ListKind::Update;
            assert!(
                is_full || subscriber || concerned.contains(service),
                "notified of another service's upstreams"
            );
            for member in part {
                let (_, owner) = self.servers.get_mut(&member.id).expect("a change introduced it");
                assert_eq!(*owner.get_or_insert(*service), *service, "one handle in two services");
            }
        }
        if kind != ListKind::Update {
            let parts: Vec<_> = applied.members.iter().map(|(service, _)| *service).collect();
            assert_eq!(parts, self.services.ids(), "a full list is passed to every service");
        }
        // The last status of each upstream passed to a service must match the model.
        for (service, part) in &applied.members {
            let last: HashMap<&str, Status> =
                part.iter().map(|m| (self.servers[&m.id].0.as_str(), m.status)).collect();
            for (id, status) in last {
                let expected = self.expected.get(id).filter(|(owner, _)| owner == service);
                assert_eq!(
                    status,
                    expected.map_or(Status::Gone, |(_, s)| *s),
                    "{id} of {service:?}"
                );
            }
            let live = |m: &(&String, &(ServiceId, Status))| *m.1 == (*service, Status::Live);
            for (id, _) in self.expected.iter().filter(live).filter(|_| kind != ListKind::Update) {
                assert!(part.iter().any(|m| self.servers[&m.id].0 == *id), "{id} is missing");
            }
        }
        self.check_live();
        for (service, part) in &applied.members {
            self.handle_event(*service, Event::Members { kind, list: part });
        }
    }

    fn check_live(&self) {
        let live = self.expected.values().any(|(_, status)| *status == Status::Live);
        assert_eq!(self.services.any_live(), live, "any_live disagrees with the model");
    }

    fn list_unavailable(&mut self) {
        for service in self.services.ids() {
            self.handle_event(service, Event::Members { kind: ListKind::Unavailable, list: &[] });
        }
    }

    fn reload(&mut self, mask: u32, changed_settings: bool) {
        let before = self.services.ids();
        let handles = NAMES.map(|n| self.find(n));
        let wanted = |i: usize| mask & (1 << i) != 0;
        let differs = |i: usize| {
            wanted(i) && handles[i].is_some() && self.changed_settings[i] != changed_settings
        };
        let refused = (0..NAMES.len()).any(differs);
        match self.services.reload(catalog(mask, changed_settings), self.now) {
            Err(e) => {
                assert!(refused && matches!(e, ReloadError::Settings(_)), "{e}");
                assert_eq!((self.services.ids(), NAMES.map(|n| self.find(n))), (before, handles));
            }
            Ok(_) if refused => panic!("reload accepted changed settings of a served service"),
            Ok(reloaded) => {
                for (i, name) in NAMES.iter().enumerate() {
                    match (handles[i], self.find(name)) {
                        (Some(was), is) if wanted(i) => assert_eq!(is, Some(was), "{name} stays"),
                        (None, Some(is)) if wanted(i) => {
                            assert!(before.iter().all(|b| *b < is), "reused a service handle");
                        }
                        (was, is) => {
                            assert!(is.is_none() && !wanted(i), "{name} is not served");
                            assert_eq!(
                                was.is_some(),
                                was.is_some_and(|w| reloaded.removed.contains(&w))
                            );
                        }
                    }
                }
                (0..NAMES.len())
                    .filter(|i| wanted(*i))
                    .for_each(|i| self.changed_settings[i] = changed_settings);
                self.expected.retain(|_, (owner, _)| !reloaded.removed.contains(owner));
                self.check_live();
                self.leaving.retain(|server, _| {
                    self.servers[server].1.is_none_or(|owner| !reloaded.removed.contains(&owner))
                });
                for service in reloaded.removed {
                    assert!(!self.services.serves(service));
                    self.handle_event(service, Event::Members { kind: ListKind::Full, list: &[] });
                    let waits = |h: &RequestState| {
                        h.service == service
                            && !h.finished
                            && h.attempts.iter().all(|(.., in_flight)| !in_flight)
                    };
                    let waiting: Vec<u64> =
                        self.requests.iter().filter(|(_, h)| waits(h)).map(|(id, _)| *id).collect();
                    waiting.into_iter().for_each(|id| self.client_left(id));
                }
            }
        }
    }

    /// Checks that idle connections to upstreams that left were closed until the end of the configured time, within two
    /// ticks.
    fn check_closed(&mut self, now: Time) {
        let (servers, tick) = (&self.servers, Span(2 * TICK.0));
        self.leaving.retain(|server, (used, closed)| {
            let expired = now > used.plus(CLOSE_WITHIN).plus(tick);
            let last = closed.plus(tick) >= used.plus(CLOSE_WITHIN);
            assert!(!expired || last, "{} left, last closed at {closed:?}", servers[server].0);
            !expired
        });
    }

    fn advance(&mut self, ms: i64) {
        let end = self.now.plus(Span(ms * MS));
        while let Some(first) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = first.remove_entry();
            self.now = self.now.max(at);
            self.check_closed(self.now);
            match event {
                ScheduledEvent::Timer(service, token) => {
                    self.timers_fired += 1;
                    self.handle_event(service, Event::Timer(token));
                }
                ScheduledEvent::Timeout(request, attempt) => {
                    self.end_attempt(request, attempt, Outcome::Timeout)
                }
            }
        }
        self.now = end;
        self.check_closed(end);
    }

    fn run_step(&mut self, number: usize, step: &Step) {
        match step {
            Step::List(kind, entries) => self.apply_list(*kind, entries.clone()),
            Step::ListUnavailable => self.list_unavailable(),
            Step::Request(name) => {
                let Some(service) = self.find(name) else { return };
                let id = number as u64;
                let (attempts, finished, closed) = (Vec::new(), false, false);
                self.requests
                    .insert(id, RequestState { service, name, finished, attempts, closed });
                self.services.request_opened(service);
                let request = Request::new(RequestId(id), 0, self.now.plus(Span(300 * MS)));
                self.handle_event(service, Event::Request(request));
            }
            Step::AttemptEnded(name, outcome) => {
                let in_flight =
                    |h: &RequestState| h.attempts.iter().position(|(.., in_flight)| *in_flight);
                let mut of = self.requests.iter().filter(|(_, h)| h.name == *name);
                if let Some((id, attempt)) = of.find_map(|(id, h)| Some((*id, in_flight(h)?))) {
                    self.end_attempt(id, attempt, *outcome);
                }
            }
            Step::ClientLeft(name) => {
                let oldest = self.requests.iter().find(|(_, h)| h.name == *name && !h.finished);
                if let Some(id) = oldest.map(|(id, _)| *id) {
                    self.client_left(id);
                }
            }
            Step::Advance(ms) => self.advance(*ms),
            Step::Reload(mask, changed_settings) => self.reload(*mask, *changed_settings),
        }
    }

    /// Restores a healthy list and checks that every request ends and no timer stays armed.
    fn settle(&mut self) {
        self.list_unavailable();
        let asked = self.subscribed;
        self.advance(1100);
        assert!(self.subscribed > asked, "no service subscribed again after the list was lost");
        let fleet = NAMES.iter().zip(0..);
        let fleet = fleet.map(|(n, i)| entry(20 + i, n, Phase::Serving, "127.0.0.1:9"));
        self.apply_list(ListKind::Full, fleet.collect());
        self.advance(2000);
        let open = self.requests.iter().find(|(_, h)| !h.finished || !h.closed);
        assert!(open.is_none(), "request {:?} has not ended", open.map(|(id, _)| id));
        self.timers_fired = 0;
        self.advance(10_000);
        assert_eq!(
            (self.timers_fired, self.events.len()),
            (0, 0),
            "a timer is still armed or fired after all work ended"
        );
        self.check_removed();
    }

    /// Checks that a removed service keeps no state once all its requests are closed: its events return no actions.
    fn check_removed(&mut self) {
        let last = self.services.ids().last().map_or(0, |s| s.0);
        for service in (0..=last + 4).map(ServiceId) {
            if self.services.serves(service) {
                continue;
            }
            let (mut actions, until) = (Vec::new(), self.now.plus(Span(200 * MS)));
            let request = Request::new(RequestId(u64::MAX), 0, until);
            self.services.request_opened(service);
            self.services.handle(self.now, service, Event::Request(request), &mut actions);
            self.services.handle(self.now, service, Event::Timer(1), &mut actions);
            self.services.request_closed(service);
            assert!(actions.is_empty(), "{service:?} was removed but returned {actions:?}");
        }
    }
}

/// Runs a schedule with all services; if it is steady, also with the first alone, which must act the same.
fn schedule(seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let steady = seed.is_multiple_of(2);
    let steps = draw_steps(&mut random, steady);
    let run = |mask: u32| {
        let mut simulation = Simulation::new(mask);
        for (number, step) in steps.iter().enumerate() {
            match step {
                Step::Reload(..) if mask == 1 => {}
                step => simulation.run_step(number, step),
            }
        }
        simulation.settle();
        simulation
    };
    let all = run(if steady { 0b1111 } else { random.gen_range(1..16) });
    if steady {
        let alone = run(1);
        let [alone, beside] = [alone.log, all.log].map(|mut log| {
            // Actions at the same time come in the order of the handles, so sort them.
            log.sort();
            log
        });
        let differs = (0..alone.len().max(beside.len())).find(|i| alone.get(*i) != beside.get(*i));
        let difference = differs.map(|i| (alone.get(i), beside.get(i)));
        assert!(
            difference.is_none(),
            "behaves differently with other services present: {difference:?}"
        );
    }
    (all.attempts_sent, all.requests.len())
}

/// Runs all steady or all other schedules; a failure reports the seed.
fn schedules(steady: bool) {
    let (mut attempts_sent, mut requests) = (0, 0);
    for seed in (u64::from(!steady)..SCHEDULES).step_by(2) {
        let result = std::panic::catch_unwind(|| schedule(seed));
        let Ok((sent, opened)) = result else { panic!("seed {seed}") };
        attempts_sent += sent;
        requests += opened;
    }
    println!("{} schedules: {requests} requests, {attempts_sent} attempts", SCHEDULES / 2);
    assert!(
        attempts_sent > requests / 4 && requests > 2 * SCHEDULES as usize,
        "{attempts_sent} of {requests}"
    );
}

#[test]
fn a_service_behaves_the_same_with_or_without_others() {
    schedules(true);
}

#[test]
fn services_stay_isolated_across_reloads() {
    schedules(false);
}
