//! Several services of one balancer under random schedules of lists, requests, outcomes and reloads, beside a model of
//! who is whose that this file keeps itself.
//!
//! Asserted over all schedules: a request goes only to an upstream that the last news calls live in its own service;
//! each request ends once and none stays; an update is told to the services that it concerns alone; the list is asked
//! for by one service, and after a loss it is; a handle is never another service's; a reload that is refused changes
//! nothing; idle connections to what left are closed for as long as the rule says; a service does the same whether
//! others are beside it or not; and when all is done, no timer is armed.

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
/// A tick, and how long idle connections to what leaves are closed again and again.
const TICK: Span = Span(5 * MS);
const CLOSE_WITHIN: Span = Span(50 * MS);
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// What happens; drawn before it is played, so that the same can be played to other services.
#[derive(Clone, Debug)]
enum Step {
    List(ListKind, Vec<Entry>),
    Lost,
    Request(&'static str),
    /// The oldest attempt of this service that is out ends.
    Ended(&'static str, Outcome),
    /// The client of the oldest request of this service goes.
    Left(&'static str),
    Pass(i64),
    /// These services, by bits, are in force, or are tried with other settings.
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

fn catalog(mask: u32, others: bool) -> Rc<Catalog> {
    let names = NAMES.iter().enumerate().filter(|(i, _)| mask & (1 << i) != 0).map(|(_, n)| *n);
    let worth = others.then_some(0.5);
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

/// `last` is the service that the entry of this id named last.
fn random_entry(random: &mut StdRng, id: u32, whole: bool, last: &mut &'static str) -> Entry {
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
        _ if whole => Phase::Serving,
        _ => Phase::Deleted,
    };
    // Of one that is deleted a list may say whose it was, or not.
    let service = match phase {
        Phase::Deleted if stays => "",
        Phase::Deleted => *last,
        _ => service,
    };
    *last = service;
    let address = if random.gen_bool(0.05) { "nowhere" } else { "127.0.0.1:9" };
    entry(id, service, phase, address)
}

/// `steady` schedules leave the first service in force.
fn script(random: &mut StdRng, steady: bool) -> Vec<Step> {
    let mut last = ["elsewhere"; 8];
    let mut entry = |random: &mut StdRng, id: u32, whole| {
        random_entry(random, id, whole, &mut last[id as usize])
    };
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
                // A list names each at most once.
                let ids: BTreeSet<u32> = (0..n).map(|_| random.gen_range(0..8)).collect();
                let entries = ids.iter().map(|i| entry(random, *i, false)).collect();
                Step::List(ListKind::Update, entries)
            }
            18..=19 => Step::Lost,
            20..=49 => Step::Request(name),
            50..=69 => {
                let all = [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::ConnectFailed];
                let ok = random.gen_bool(0.6);
                Step::Ended(name, if ok { Outcome::Ok } else { all[random.gen_range(1..4)] })
            }
            70..=72 => Step::Left(name),
            73..=94 => Step::Pass([1, 5, 20, 80, 400][random.gen_range(0..5)]),
            _ => {
                let mask = random.gen_range(1..1 << NAMES.len()) | u32::from(steady);
                Step::Reload(mask, random.gen_bool(0.2))
            }
        }
    };
    let mut script = vec![Step::List(ListKind::Full, first)];
    script.extend((0..STEPS).map(|_| step(random)));
    script
}

struct Held {
    service: ServiceId,
    name: &'static str,
    over: bool,
    /// Each attempt's upstream, start, and whether it is out.
    attempts: Vec<(ServerId, Time, bool)>,
    closed: bool,
}

enum Due {
    Timer(ServiceId, u64),
    Timeout(u64, usize),
}

/// A caller that carries out what it is told, and the model beside it.
struct Caller {
    services: Services,
    now: Time,
    due: BTreeMap<(Time, u64), Due>,
    sequence: u64,
    fired: usize,
    held: BTreeMap<u64, Held>,
    revision: u64,
    /// By the list's id: whose it is, and what.
    known: BTreeMap<String, (ServiceId, Status)>,
    /// The id and the service of each handle.
    servers: HashMap<ServerId, (String, Option<ServiceId>)>,
    /// The last handle of each id.
    latest: HashMap<String, ServerId>,
    /// Of what has left: when that was told or an attempt there ended last, and when it was closed last.
    leaving: HashMap<ServerId, (Time, Time)>,
    status: HashMap<ServerId, Status>,
    subscribed: usize,
    /// Whether the service of each name was last in force with other settings.
    others: [bool; NAMES.len()],
    /// What the first name's services were asked to do.
    log: Vec<(Time, String)>,
    sends: usize,
}

impl Caller {
    fn new(mask: u32) -> Self {
        let now = Time(1_000_000 * MS);
        Self {
            services: Services::new(catalog(mask, false), 7, now).expect("sound"),
            now,
            due: BTreeMap::new(),
            sequence: 0,
            fired: 0,
            held: BTreeMap::new(),
            revision: 0,
            known: BTreeMap::new(),
            servers: HashMap::new(),
            latest: HashMap::new(),
            leaving: HashMap::new(),
            status: HashMap::new(),
            subscribed: 0,
            others: [false; NAMES.len()],
            log: Vec::new(),
            sends: 0,
        }
    }

    fn find(&self, name: &str) -> Option<ServiceId> {
        self.services.routing().find("", &format!("/{name}")).map(|(id, _)| id)
    }

    fn at(&mut self, at: Time, due: Due) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), due);
    }

    fn tell(&mut self, service: ServiceId, event: Event<'_>) {
        let mut actions = Vec::new();
        self.services.handle(self.now, service, event, &mut actions);
        let mut cancelled = Vec::new();
        for action in actions {
            if self.find("a") == Some(service) && !matches!(action, Action::Arm { .. }) {
                let said = match action {
                    Action::Send { request, server, timeout, .. } => {
                        format!("{request:?} to {} within {timeout:?}", self.servers[&server].0)
                    }
                    Action::CloseIdle { server } => format!("close {}", self.servers[&server].0),
                    other => format!("{other:?}"),
                };
                self.log.push((self.now, said));
            }
            match action {
                Action::Send { request, server, timeout, .. } => {
                    self.sent(service, request.0, server, timeout);
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    assert_eq!(self.held[&request.0].service, service, "another's request");
                    self.end(request.0);
                }
                Action::Cancel { request, attempt } => cancelled.push((request.0, attempt)),
                Action::Arm { token, at } => {
                    assert!(at > self.now, "armed for the past");
                    self.at(at, Due::Timer(service, token));
                }
                Action::CloseIdle { server } => {
                    let of = self.servers[&server].1;
                    assert_eq!(of, Some(service), "closes another's connections");
                    if let Some((_, closed)) = self.leaving.get_mut(&server) {
                        *closed = self.now;
                    }
                }
                Action::Subscribe => {
                    let asks = self.services.ids().first().copied();
                    assert_eq!(asks, Some(service), "asked for by another than the first");
                    self.subscribed += 1;
                }
                Action::Probe { .. } => panic!("no probes"),
            }
        }
        for (request, attempt) in cancelled {
            self.ended(request, attempt, Outcome::Cancelled);
        }
    }

    fn sent(&mut self, service: ServiceId, request: u64, server: ServerId, timeout: Span) {
        self.sends += 1;
        let (id, of) = &self.servers[&server];
        assert_eq!(*of, Some(service), "sent to an upstream of another service");
        assert_eq!(self.known.get(id), Some(&(service, Status::Live)), "sent to {id}");
        assert_eq!(self.latest[id], server, "sent to what {id} was before it moved");
        assert!(self.services.serves(service), "sent for a service that was removed");
        let now = self.now;
        let held = self.held.get_mut(&request).expect("a request that is there");
        assert!(held.service == service && !held.over, "sent for another, or after its end");
        held.attempts.push((server, now, true));
        let attempt = held.attempts.len() - 1;
        self.at(now.plus(timeout), Due::Timeout(request, attempt));
    }

    fn end(&mut self, request: u64) {
        let held = self.held.get_mut(&request).expect("a request that is there");
        assert!(!held.over, "a second end of {request}");
        held.over = true;
        self.forget(request);
    }

    fn forget(&mut self, request: u64) {
        let held = self.held.get_mut(&request).expect("a request that is there");
        if held.over && !held.closed && held.attempts.iter().all(|(.., out)| !out) {
            held.closed = true;
            self.services.request_closed(held.service);
        }
    }

    fn ended(&mut self, request: u64, attempt: usize, outcome: Outcome) {
        let held = self.held.get_mut(&request).expect("a request that is there");
        let (server, sent, out) = &mut held.attempts[attempt];
        if !std::mem::replace(out, false) {
            return;
        }
        let (server, latency, service) = (*server, self.now.since(*sent), held.service);
        held.over |= outcome == Outcome::Ok;
        let over = held.over;
        if self.services.serves(service) && self.status[&server] != Status::Live {
            self.leaving.insert(server, (self.now, self.now));
        }
        let answer = Answer::new(RequestId(request), attempt, server, outcome, latency, over);
        self.tell(service, Event::Answered(answer));
        self.forget(request);
    }

    fn left(&mut self, request: u64) {
        let service = self.held[&request].service;
        self.held.get_mut(&request).expect("it is there").over = true;
        self.tell(service, Event::Left(RequestId(request)));
        self.forget(request);
    }

    /// What the list says, in the model: whose each upstream is, and which services an update concerns.
    fn learn(&mut self, kind: ListKind, entries: &[Entry]) -> Vec<ServiceId> {
        let mut concerned = Vec::new();
        if kind != ListKind::Update {
            let named = |id: &String| entries.iter().any(|e| e.id == *id);
            let left_out = self.known.iter_mut().filter(|(id, _)| !named(id));
            left_out.for_each(|(_, (_, status))| *status = Status::Gone);
        }
        for e in entries {
            let known = self.known.get(&e.id).copied();
            let of = match known {
                Some((of, _)) if e.phase == Phase::Deleted => Some(of),
                _ => self.find(&e.service).filter(|_| !e.service.is_empty()),
            };
            if let Some((before, _)) = known.filter(|(before, _)| Some(*before) != of) {
                concerned.push(before);
                self.known.remove(&e.id);
            }
            let Some(of) = of else { continue };
            if e.host_port == "nowhere" && !self.known.contains_key(&e.id) {
                continue;
            }
            concerned.push(of);
            let status = match e.phase {
                Phase::Serving => Status::Live,
                Phase::Deleted => Status::Gone,
                _ => Status::Draining,
            };
            self.known.insert(e.id.clone(), (of, status));
        }
        concerned
    }

    fn list(&mut self, kind: ListKind, members: Vec<Entry>) {
        self.revision += 1;
        let concerned = self.learn(kind, &members);
        let list = Message { revision: self.revision, complete: kind != ListKind::Update, members };
        let told = self.services.apply_list(&list, kind);
        for change in &told.changes {
            let server = self.servers.entry(change.server);
            let (id, _) = server.or_insert_with(|| (change.id.clone(), None));
            assert_eq!(*id, change.id, "a handle of two upstreams");
            let was = self.status.insert(change.server, change.status);
            if change.status == Status::Live {
                self.leaving.remove(&change.server);
            } else if was == Some(Status::Live) && kind != ListKind::Restored {
                self.leaving.insert(change.server, (self.now, self.now));
            }
            if change.status != Status::Gone || !self.latest.contains_key(&change.id) {
                self.latest.insert(change.id.clone(), change.server);
            }
        }
        for (service, part) in &told.members {
            let asks = self.services.ids().first() == Some(service);
            let of_whole = kind != ListKind::Update;
            assert!(of_whole || asks || concerned.contains(service), "told what is not its own");
            for member in part {
                let (_, of) = self.servers.get_mut(&member.id).expect("a change told of it");
                assert_eq!(*of.get_or_insert(*service), *service, "a handle of two services");
            }
        }
        if kind != ListKind::Update {
            let parts: Vec<_> = told.members.iter().map(|(service, _)| *service).collect();
            assert_eq!(parts, self.services.ids(), "a whole list is every service's");
        }
        // What each service was told last of an upstream is what the model has.
        for (service, part) in &told.members {
            let last: HashMap<&str, Status> =
                part.iter().map(|m| (self.servers[&m.id].0.as_str(), m.status)).collect();
            for (id, status) in last {
                let of_it = self.known.get(id).filter(|(of, _)| of == service);
                assert_eq!(status, of_it.map_or(Status::Gone, |(_, s)| *s), "{id} of {service:?}");
            }
            let live = |m: &(&String, &(ServiceId, Status))| *m.1 == (*service, Status::Live);
            for (id, _) in self.known.iter().filter(live).filter(|_| kind != ListKind::Update) {
                assert!(part.iter().any(|m| self.servers[&m.id].0 == *id), "{id} is left out");
            }
        }
        self.check_live();
        for (service, part) in &told.members {
            self.tell(*service, Event::Members { kind, list: part });
        }
    }

    fn check_live(&self) {
        let live = self.known.values().any(|(_, status)| *status == Status::Live);
        assert_eq!(self.services.any_live(), live, "whether any takes requests");
    }

    fn lost(&mut self) {
        for service in self.services.ids() {
            self.tell(service, Event::Members { kind: ListKind::Unavailable, list: &[] });
        }
    }

    fn reload(&mut self, mask: u32, others: bool) {
        let before = self.services.ids();
        let of = NAMES.map(|n| self.find(n));
        let wanted = |i: usize| mask & (1 << i) != 0;
        let differs = |i: usize| wanted(i) && of[i].is_some() && self.others[i] != others;
        let refused = (0..NAMES.len()).any(differs);
        match self.services.reload(catalog(mask, others), self.now) {
            Err(e) => {
                assert!(refused && matches!(e, ReloadError::Settings(_)), "{e}");
                assert_eq!((self.services.ids(), NAMES.map(|n| self.find(n))), (before, of));
            }
            Ok(_) if refused => panic!("other settings for a service that is served"),
            Ok(reloaded) => {
                for (i, name) in NAMES.iter().enumerate() {
                    match (of[i], self.find(name)) {
                        (Some(was), is) if wanted(i) => assert_eq!(is, Some(was), "{name} stays"),
                        (None, Some(is)) if wanted(i) => {
                            assert!(before.iter().all(|b| *b < is), "another's handle");
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
                (0..NAMES.len()).filter(|i| wanted(*i)).for_each(|i| self.others[i] = others);
                self.known.retain(|_, (of, _)| !reloaded.removed.contains(of));
                self.check_live();
                self.leaving.retain(|server, _| {
                    self.servers[server].1.is_none_or(|of| !reloaded.removed.contains(&of))
                });
                for service in reloaded.removed {
                    assert!(!self.services.serves(service));
                    self.tell(service, Event::Members { kind: ListKind::Full, list: &[] });
                    let waits = |h: &Held| {
                        h.service == service && !h.over && h.attempts.iter().all(|(.., out)| !out)
                    };
                    let waiting: Vec<u64> =
                        self.held.iter().filter(|(_, h)| waits(h)).map(|(id, _)| *id).collect();
                    waiting.into_iter().for_each(|id| self.left(id));
                }
            }
        }
    }

    /// Idle connections to what left were closed up to the end of the rule's time, but for two ticks.
    fn check_closed(&mut self, now: Time) {
        let (servers, tick) = (&self.servers, Span(2 * TICK.0));
        self.leaving.retain(|server, (used, closed)| {
            let over = now > used.plus(CLOSE_WITHIN).plus(tick);
            let last = closed.plus(tick) >= used.plus(CLOSE_WITHIN);
            assert!(!over || last, "{} left, last closed at {closed:?}", servers[server].0);
            !over
        });
    }

    fn pass(&mut self, ms: i64) {
        let end = self.now.plus(Span(ms * MS));
        while let Some(first) = self.due.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), due) = first.remove_entry();
            self.now = self.now.max(at);
            self.check_closed(self.now);
            match due {
                Due::Timer(service, token) => {
                    self.fired += 1;
                    self.tell(service, Event::Timer(token));
                }
                Due::Timeout(request, attempt) => self.ended(request, attempt, Outcome::Timeout),
            }
        }
        self.now = end;
        self.check_closed(end);
    }

    fn play(&mut self, number: usize, step: &Step) {
        match step {
            Step::List(kind, entries) => self.list(*kind, entries.clone()),
            Step::Lost => self.lost(),
            Step::Request(name) => {
                let Some(service) = self.find(name) else { return };
                let id = number as u64;
                let (attempts, over, closed) = (Vec::new(), false, false);
                self.held.insert(id, Held { service, name, over, attempts, closed });
                self.services.request_opened(service);
                let request = Request::new(RequestId(id), 0, self.now.plus(Span(300 * MS)));
                self.tell(service, Event::Request(request));
            }
            Step::Ended(name, outcome) => {
                let out = |h: &Held| h.attempts.iter().position(|(.., out)| *out);
                let mut of = self.held.iter().filter(|(_, h)| h.name == *name);
                if let Some((id, attempt)) = of.find_map(|(id, h)| Some((*id, out(h)?))) {
                    self.ended(id, attempt, *outcome);
                }
            }
            Step::Left(name) => {
                let oldest = self.held.iter().find(|(_, h)| h.name == *name && !h.over);
                if let Some(id) = oldest.map(|(id, _)| *id) {
                    self.left(id);
                }
            }
            Step::Pass(ms) => self.pass(*ms),
            Step::Reload(mask, others) => self.reload(*mask, *others),
        }
    }

    /// All is well again: everything ends, and then all rest.
    fn heal(&mut self) {
        self.lost();
        let asked = self.subscribed;
        self.pass(1100);
        assert!(self.subscribed > asked, "the list was lost and nobody asks for it");
        let fleet = NAMES.iter().zip(0..);
        let fleet = fleet.map(|(n, i)| entry(20 + i, n, Phase::Serving, "127.0.0.1:9"));
        self.list(ListKind::Full, fleet.collect());
        self.pass(2000);
        let open = self.held.iter().find(|(_, h)| !h.over || !h.closed);
        assert!(open.is_none(), "request {:?} has not ended", open.map(|(id, _)| id));
        self.fired = 0;
        self.pass(10_000);
        assert_eq!((self.fired, self.due.len()), (0, 0), "something does not rest");
        self.check_removed();
    }

    /// Of a service that was removed nothing is kept once nothing of it is open: whoever asks there gets no word.
    fn check_removed(&mut self) {
        let last = self.services.ids().last().map_or(0, |s| s.0);
        for service in (0..=last + 4).map(ServiceId) {
            if self.services.serves(service) {
                continue;
            }
            let (mut out, until) = (Vec::new(), self.now.plus(Span(200 * MS)));
            let request = Request::new(RequestId(u64::MAX), 0, until);
            self.services.request_opened(service);
            self.services.handle(self.now, service, Event::Request(request), &mut out);
            self.services.handle(self.now, service, Event::Timer(1), &mut out);
            self.services.request_closed(service);
            assert!(out.is_empty(), "{service:?} was removed and says {out:?}");
        }
    }
}

/// Plays a schedule to all services, and if it is steady to the first alone, with the same to be done there.
fn schedule(seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let steady = seed.is_multiple_of(2);
    let script = script(&mut random, steady);
    let play = |mask: u32| {
        let mut caller = Caller::new(mask);
        for (number, step) in script.iter().enumerate() {
            match step {
                Step::Reload(..) if mask == 1 => {}
                step => caller.play(number, step),
            }
        }
        caller.heal();
        caller
    };
    let all = play(if steady { 0b1111 } else { random.gen_range(1..16) });
    if steady {
        let alone = play(1);
        let [alone, beside] = [alone.log, all.log].map(|mut log| {
            // What is done at one instant is in the order of the handles.
            log.sort();
            log
        });
        let differs = (0..alone.len().max(beside.len())).find(|i| alone.get(*i) != beside.get(*i));
        let what = differs.map(|i| (alone.get(i), beside.get(i)));
        assert!(what.is_none(), "beside others it does something else: {what:?}");
    }
    (all.sends, all.held.len())
}

/// All schedules of a kind; a failure gives the seed.
fn schedules(steady: bool) {
    let (mut sends, mut requests) = (0, 0);
    for seed in (u64::from(!steady)..SCHEDULES).step_by(2) {
        let played = std::panic::catch_unwind(|| schedule(seed));
        let Ok((sent, held)) = played else { panic!("seed {seed}") };
        sends += sent;
        requests += held;
    }
    println!("{} schedules: {requests} requests, {sends} attempts", SCHEDULES / 2);
    assert!(sends > requests / 4 && requests > 2 * SCHEDULES as usize, "{sends} of {requests}");
}

#[test]
fn a_service_does_the_same_beside_others_as_alone() {
    schedules(true);
}

#[test]
fn services_keep_to_themselves_while_any_come_and_go() {
    schedules(false);
}
