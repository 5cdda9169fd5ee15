//! Owns the decision module, the table of requests and the timers. Feeds the module every event in the
//! order it came, and carries out its actions in the order it gave them. Decides nothing.

mod handle;
mod upstream_table;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hollowpaddle::discovery::client::{self, News, Order};
use hollowpaddle::discovery::filter::Filter;
use hollowpaddle::discovery::follow::{Follow, Mode};
use hollowpaddle::discovery::keeper::Keeper;
use hollowpaddle::discovery::member::Message as List;
use hollowpaddle::figures::Figures;
use hollowpaddle::interface as d;
use hollowpaddle::interface::{Action, Event, ListKind, Outcome, RequestId, ServerId, Span, Time};
use hollowpaddle::invariants::permit::Denial;
use hollowpaddle::services::{
    Catalog, Change, Notified, ReloadError, Routing, Service, ServiceId, Services,
};
use hollowpaddle::tasks::{AbortOnDrop, settle};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::config::Config;
use crate::guard::AttemptGuard;
use crate::lateness::Lateness;
use crate::upstreams::{Ended, Forward, Pool};
use handle::Note;
pub use handle::{Arrival, Handle, Reply};
use upstream_table::UpstreamTable;

/// The module works to this much less than the client's deadline, so that an answer at the deadline still
/// arrives: the way to the client, and a busy moment here. Of a short time it is a quarter.
const HEADROOM: Duration = Duration::from_millis(15);
const HEADROOM_OF: u32 = 4;
/// At this part of that the engine answers itself, should the module still owe one.
const BACKSTOP_OF: u32 = 3;

/// A process that stood still for more than this part of the grace of a drain reads its news first.
const STALL_OF_GRACE: u32 = 4;

/// Where services may rest, a timer fires so often all the same: else nothing would tell that the process stood still.
const AWAKE_EVERY: Duration = Duration::from_millis(100);

/// What is asked of the list service: the members of the services that there are, or all.
fn filter(catalog: &Catalog) -> Filter {
    catalog.names().map_or_else(Filter::all, Filter::services)
}

/// The services with the names of their classes, for figures.
pub fn named(catalog: &Catalog) -> impl Iterator<Item = (&str, impl Iterator<Item = &str>)> {
    let named = |s| {
        let Service { name, facts, .. }: &Service = s;
        (name.as_str(), facts.classes.iter().map(|c| c.name.as_str()))
    };
    catalog.services.iter().map(named)
}

/// How much earlier than this the module has to be done with a request that comes now.
fn headroom(until: Instant, now: Instant) -> Duration {
    HEADROOM.min(until.saturating_duration_since(now) / HEADROOM_OF)
}

/// When the engine answers, should the module still owe one that has this much headroom.
fn backstop(until: Instant, headroom: Duration) -> Instant {
    until - headroom / BACKSTOP_OF
}

/// A request that is owed an answer, or has attempts out.
struct Held {
    service: ServiceId,
    forward: Rc<Forward>,
    /// Taken by the final answer.
    reply: Option<oneshot::Sender<Reply>>,
    /// Read by attempts right before they go on the wire.
    live: Rc<Cell<bool>>,
    until: Instant,
    /// While its body is still coming: the time it has from the last byte on.
    coming: Option<Duration>,
    attempts: Vec<Try>,
    last: Option<Outcome>,
}

struct Try {
    server: ServerId,
    sent: Instant,
    /// Present while it is out; dropping it closes its connection.
    task: Option<AbortOnDrop>,
}

impl Held {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.task.is_some()).count()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(ServiceId, u64),
    /// Nothing but a sign of life.
    Awake,
    Deadline(RequestId),
}

/// An event of the engine's own making, told once the present actions are carried out.
type Later = (RequestId, usize, Ended);

pub struct Engine {
    services: Services,
    clock: Clock,
    notes: mpsc::UnboundedReceiver<Note>,
    /// Of the list; these come before all notes.
    news: mpsc::UnboundedReceiver<News>,
    own_notes: mpsc::UnboundedSender<Note>,
    requests: FxHashMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Instant, Due)>>,
    actions: Vec<Action>,
    later: VecDeque<Later>,
    pool: Rc<Pool>,
    upstreams: UpstreamTable,
    ready: Rc<Cell<bool>>,
    routing: Rc<RefCell<Rc<Routing>>>,
    figures: Rc<Figures>,
    keeper: Option<Keeper>,
    /// Once the process ends: no answer may be later.
    ending: Option<Instant>,
    /// To the client of the list.
    orders: mpsc::UnboundedSender<Order>,
    lateness: Rc<Lateness>,
    /// A timer that fires so late tells that the process stood still for too long to know its list.
    stall: Duration,
    _client: AbortOnDrop,
    second_copies: bool,
    max_attempts: usize,
}

/// The module's clock: monotonic, and set once to Unix time so that the list's times need no further
/// mapping.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    unix_us: i64,
}

impl Clock {
    fn new() -> Self {
        Self { start: Instant::now(), unix_us: Self::wall().0 }
    }
    /// The wall clock as it reads now; it may have been stepped since the start.
    fn wall() -> Time {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Time(unix.as_micros() as i64)
    }
    fn now(&self) -> Time {
        self.at(Instant::now())
    }
    fn at(&self, instant: Instant) -> Time {
        Time(self.unix_us + instant.saturating_duration_since(self.start).as_micros() as i64)
    }
    fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros((time.0 - self.unix_us).max(0) as u64)
    }
}

impl Engine {
    /// `keeper` holds the last list on disk, where there is one; the newer of its list and the configuration's
    /// is served from until discovery tells more.
    pub fn new(
        config: &Config,
        pool: Rc<Pool>,
        figures: Rc<Figures>,
        keeper: Option<Keeper>,
    ) -> Result<(Self, Handle), d::SettingsError> {
        let clock = Clock::new();
        let settings = config.facts.settings();
        let services = Services::new(config.catalog.clone(), config.seed, clock.now())?;
        let (own_notes, notes) = mpsc::unbounded_channel();
        let ready = Rc::new(Cell::new(false));
        let routing = Rc::new(RefCell::new(services.routing()));
        let lateness = Rc::new(Lateness::default());
        let handle = Handle {
            notes: own_notes.clone(),
            next: Rc::default(),
            ready: ready.clone(),
            routing: routing.clone(),
            lateness: lateness.clone(),
        };
        let second_copies = settings.limits.second_copies;
        let max_attempts = settings.limits.max_attempts;
        let kept = keeper.as_ref().map(Keeper::list).filter(|l| l.revision > config.known.revision);
        let mut known = kept.unwrap_or(&config.known).clone();
        let narrowed = config.catalog.narrow(&mut known);
        // What is kept from now on are changes to the list that is held.
        if let (true, Some(keeper)) = (kept.is_none() || narrowed.changed, &keeper) {
            keeper.keep(known.clone());
        }
        let grace = Duration::from_micros(settings.rules.drain_grace.0.max(0) as u64);
        let mode = if settings.must_ask { Mode::Asked } else { Mode::Pushed { grace } };
        let follow = Follow::new(config.discovery.clone(), mode, known.revision, Instant::now());
        let follow = if narrowed.whole { follow } else { follow.asking_whole() };
        let (orders, ordered) = mpsc::unbounded_channel();
        let (tell, news) = mpsc::unbounded_channel();
        let tell = move |news| drop(tell.send(news));
        let filter = filter(&services.routing().catalog);
        let client = client::run(follow, filter, client::connect, ordered, tell);
        let mut stall = grace / STALL_OF_GRACE;
        let mut timers = BinaryHeap::new();
        if !services.routing().catalog.is_single() {
            stall = stall.saturating_sub(AWAKE_EVERY);
            timers.push(Reverse((Instant::now() + AWAKE_EVERY, Due::Awake)));
        }
        let mut engine = Self {
            services,
            clock,
            notes,
            news,
            own_notes,
            requests: FxHashMap::default(),
            timers,
            actions: Vec::new(),
            later: VecDeque::new(),
            pool,
            upstreams: UpstreamTable::default(),
            ready,
            routing,
            figures,
            keeper,
            ending: None,
            orders,
            lateness,
            stall,
            _client: AbortOnDrop(tokio::task::spawn_local(client)),
            second_copies,
            max_attempts,
        };
        engine.listed(&known, ListKind::Restored);
        Ok((engine, handle))
    }

    pub async fn run(mut self) {
        loop {
            let due = self.timers.peek().map(|Reverse((at, _))| *at);
            self.lateness.expect(due);
            let sleep = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let note = tokio::select! {
                biased;
                Some(news) = self.news.recv() => {
                    self.heard(news);
                    continue;
                }
                note = self.notes.recv() => match note {
                    Some(note) => Some(note),
                    None => return,
                },
                () = sleep => None,
            };
            self.lateness.woke(Instant::now());
            if let Some(late) = due.map(|due| due.elapsed()).filter(|late| *late > self.stall) {
                tracing::warn!(?late, "the process stood still");
                // What it was told meanwhile holds, though it may come behind what it is asked.
                settle(|| false).await;
                while let Ok(news) = self.news.try_recv() {
                    self.heard(news);
                }
            }
            if let Some(note) = note {
                self.take(note);
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, due))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            match due {
                Due::Token(service, token) => self.tell(service, Event::Timer(token)),
                Due::Awake => self.timers.push(Reverse((now + AWAKE_EVERY, Due::Awake))),
                Due::Deadline(id) => self.overdue(id),
            }
        }
    }

    fn take(&mut self, note: Note) {
        match note {
            Note::Arrived { id, arrival, forward, reply } => {
                self.arrived(id, arrival, forward, reply);
            }
            Note::Left(id) => {
                self.left(id);
                self.catch_up();
                self.forget(id);
            }
            Note::Whole(id) => self.whole(id),
            Note::Ended { id, attempt, ended } => {
                self.ended(id, attempt, ended);
                self.catch_up();
            }
            // At once: the old address soon ends its watch, and what is missed meanwhile counts as told.
            Note::DiscoveryMoved(addresses) => self.order(Order::Moved(addresses)),
            Note::Reload(catalog) => self.reload(catalog),
            Note::Ending(by) => {
                self.ending = Some(by);
                let held = self.requests.keys().map(|id| Reverse((by, Due::Deadline(*id))));
                self.timers.extend(held);
            }
            Note::Pool(reply) => {
                let _ = reply.send(self.services.pool(self.clock.now()));
            }
        }
    }

    fn heard(&mut self, news: News) {
        match news {
            News::Told(list) => {
                self.listed(&list, if list.complete { ListKind::Whole } else { ListKind::Update });
                if let Some(keeper) = &self.keeper {
                    keeper.keep(list);
                }
            }
            News::Lost => {
                for service in self.services.ids() {
                    self.tell(service, Event::Members { kind: ListKind::Unavailable, list: &[] });
                }
            }
        }
    }

    /// Puts other services and routes in force, or leaves what is.
    fn reload(&mut self, catalog: Option<Rc<Catalog>>) {
        let single = self.services.routing().catalog.is_single();
        let reloaded = match catalog {
            // Its settings are read at the start alone.
            None if single => return,
            None => Err(ReloadError::Kind),
            Some(catalog) => self.services.reload(catalog, self.clock.now()),
        };
        let reloaded = match reloaded {
            Ok(reloaded) => reloaded,
            Err(cause) => {
                tracing::warn!(%cause, "the new services are left aside");
                return;
            }
        };
        let (added, removed) = (reloaded.added, reloaded.removed.len());
        tracing::info!(added, removed, "other services and routes are in force");
        for (name, classes) in named(&reloaded.routing.catalog) {
            self.figures.serve(name, classes);
        }
        if added + removed > 0 {
            self.order(Order::Filter(filter(&reloaded.routing.catalog)));
        }
        self.routing.replace(reloaded.routing);
        self.changed(&reloaded.changes);
        for service in reloaded.removed {
            self.tell(service, Event::Members { kind: ListKind::Whole, list: &[] });
            let waits = |h: &Held| h.service == service && h.reply.is_some() && h.out() == 0;
            let held = self.requests.iter().filter(|(_, h)| waits(h));
            let waiting: Vec<RequestId> = held.map(|(id, _)| *id).collect();
            for id in waiting {
                self.give_up(id);
                self.forget(id);
            }
        }
    }

    fn order(&self, order: Order) {
        // Its client lives as long as the engine.
        let _ = self.orders.send(order);
    }

    fn arrived(
        &mut self,
        id: RequestId,
        arrival: Arrival,
        forward: Box<Forward>,
        reply: oneshot::Sender<Reply>,
    ) {
        let latest = self.latest(arrival.until);
        forward.until.set(latest);
        let now = Instant::now();
        let room = headroom(latest, now);
        let until = latest - room;
        let whole = forward.body.rest.as_ref().is_none_or(|r| r.is_complete());
        let coming = (!whole).then(|| arrival.until.saturating_duration_since(now));
        let service = arrival.service;
        let held = Held {
            service,
            forward: Rc::from(forward),
            reply: Some(reply),
            live: Rc::new(Cell::new(true)),
            until,
            coming,
            attempts: Vec::new(),
            last: None,
        };
        self.requests.insert(id, held);
        self.services.opened(service);
        if !self.services.serves(service) {
            // It was routed a moment before its service was removed.
            self.give_up(id);
            return self.forget(id);
        }
        let deadline = if coming.is_none() { Some(latest) } else { self.ending };
        if let Some(at) = deadline {
            self.timers.push(Reverse((backstop(at, room), Due::Deadline(id))));
        }
        let request = d::Request {
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            cost_guess: arrival.cost_guess,
            resent: arrival.resent,
            coming: coming.is_some(),
            ..d::Request::new(id, arrival.class, self.clock.at(until))
        };
        self.tell(service, Event::Request(request));
    }

    /// Its client has closed its connection: nothing more is begun for it.
    fn left(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if held.reply.take().is_some() {
            held.live.set(false);
            tracing::debug!(request = held.forward.id(), "its client has left");
            let service = held.service;
            self.handle(service, Event::Left(id));
        }
    }

    /// The last byte of its body has come: its time runs from here.
    fn whole(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(time) = held.coming.take() else { return };
        let now = Instant::now();
        let until = self.lateness.arrived(now) + time;
        let latest = self.ending.map_or(until, |by| by.min(until));
        let room = headroom(latest, now);
        held.until = latest - room;
        held.forward.until.set(latest);
        held.attempts.iter_mut().filter(|a| a.task.is_some()).for_each(|a| a.sent = now);
        self.timers.push(Reverse((backstop(latest, room), Due::Deadline(id))));
        let service = held.service;
        self.tell(service, Event::Whole(id));
    }

    /// When a client that waits until then has to be answered.
    fn latest(&self, until: Instant) -> Instant {
        self.ending.map_or(until, |by| by.min(until))
    }

    /// Guards against a request that the module still owes its answer when the client, or the platform, is about
    /// to give up.
    fn overdue(&mut self, id: RequestId) {
        if self.give_up(id) {
            let request = self.requests.get(&id).and_then(|h| h.forward.id());
            tracing::warn!(request, "answered at the deadline");
        }
        self.forget(id);
    }

    /// Answers a request here that the module still owes its answer; false where it has one.
    fn give_up(&mut self, id: RequestId) -> bool {
        let Some(held) = self.requests.get(&id) else { return false };
        let (service, untried) = (held.service, held.attempts.is_empty());
        let reply = if untried {
            Reply::Refused { retry_after: Span(0) }
        } else {
            Reply::Failed { late: true }
        };
        let given = self.answer(id, reply);
        if given {
            self.tell(service, Event::Left(id));
        }
        given
    }

    /// Gives the final answer, unless there was one.
    fn answer(&mut self, id: RequestId, reply: Reply) -> bool {
        let Some(held) = self.requests.get_mut(&id) else { return false };
        let Some(sender) = held.reply.take() else { return false };
        held.live.set(false);
        let attempts = held.attempts.len();
        tracing::debug!(request = held.forward.id(), reply = reply.name(), attempts, "answered");
        let _ = sender.send(reply);
        true
    }

    fn ended(&mut self, id: RequestId, attempt: usize, ended: Ended) {
        if ended.denial == Some(Denial::ClientClosed) {
            // Its connection's task has not come to read the close yet.
            self.left(id);
        }
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(tried) = held.attempts.get_mut(attempt) else { return };
        tried.task = None;
        let (server, latency) = (tried.server, tried.sent.elapsed());
        let (outcome, denial) = (ended.outcome, ended.denial);
        let request = held.forward.id();
        tracing::debug!(request, attempt, ?server, ?outcome, ?denial, ?latency, "an attempt ended");
        held.last = Some(ended.outcome);
        if let Some(figures) = self.upstreams.figures(server) {
            figures.ended(ended.outcome, latency);
        }
        // The first whole answer is the client's; one that comes after the end is dropped.
        if let Some(response) = ended.response {
            self.answer(id, Reply::Served(response));
        }
        let held = self.requests.get(&id);
        let service = held.map(|h| h.service);
        let over = held.is_none_or(|h| h.reply.is_none());
        let spent = held.is_some_and(|h| h.forward.body.is_consumed());
        let answer = d::Answer {
            report: ended.report,
            spent,
            ..d::Answer::new(
                id,
                attempt,
                server,
                ended.outcome,
                Span(latency.as_micros() as i64),
                over,
            )
        };
        if let Some(service) = service {
            self.handle(service, Event::Answered(answer));
        }
        self.forget(id);
    }

    /// Drops a request that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        let over = |h: &Held| h.reply.is_none() && h.out() == 0;
        if self.requests.get(&id).is_some_and(over)
            && let Some(held) = self.requests.remove(&id)
        {
            self.services.closed(held.service);
        }
    }

    fn listed(&mut self, list: &List, kind: ListKind) {
        self.services.clock_read(Clock::wall(), self.clock.now());
        let Notified { changes, members } = self.services.told(list, kind);
        self.changed(&changes);
        for (service, members) in members {
            self.tell(service, Event::Members { kind, list: &members });
        }
    }

    fn changed(&mut self, changes: &[Change]) {
        for change in changes {
            self.upstreams.change(change, &self.pool, &self.figures);
        }
        self.ready.set(self.services.any_live());
    }

    /// Tells the module, and carries out what it says until nothing is left to tell.
    fn tell(&mut self, service: ServiceId, event: Event) {
        self.handle(service, event);
        self.catch_up();
    }

    fn catch_up(&mut self) {
        while let Some((id, attempt, ended)) = self.later.pop_front() {
            self.ended(id, attempt, ended);
        }
    }

    fn handle(&mut self, service: ServiceId, event: Event) {
        self.services.handle(self.clock.now(), service, event, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(service, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, service: ServiceId, action: Action) {
        match action {
            Action::Send { request, server, timeout, before } => {
                self.send(request, server, timeout, before);
            }
            Action::Refuse { request, retry_after } => {
                self.answer(request, Reply::Refused { retry_after });
                self.forget(request);
            }
            Action::Fail { request } => {
                let last = self.requests.get(&request).and_then(|h| h.last);
                self.answer(request, Reply::Failed { late: last == Some(Outcome::Timeout) });
                self.forget(request);
            }
            Action::Cancel { request, attempt } => {
                let held = self.requests.get_mut(&request);
                let tried = held.and_then(|h| h.attempts.get_mut(attempt));
                if tried.is_some_and(|t| t.task.take().is_some()) {
                    self.later.push_back((request, attempt, Ended::bare(Outcome::Cancelled)));
                }
            }
            Action::Arm { token, at } => {
                self.timers.push(Reverse((self.clock.instant(at), Due::Token(service, token))));
            }
            Action::CloseIdle { server } => self.pool.close_idle(server),
            Action::Subscribe => self.order(Order::Ask),
            // UpstreamTable here take no probes, and the module sends none where that is so.
            Action::Probe { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, allow: Span, before: Time) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), held.attempts.len());
        let allowed =
            if allow.0 > 0 { now + Duration::from_micros(allow.0 as u64) } else { held.until };
        let until = allowed.min(held.until);
        let twice = held.out() > 0 && !self.second_copies;
        let target = self.upstreams.target(server);
        let mut tried = Try { server, sent: now, task: None };
        let over = held.reply.is_none() || attempt >= self.max_attempts || now >= until;
        let over = over || held.forward.body.is_consumed();
        let (Some(target), false) = (target, over || twice) else {
            held.attempts.push(tried);
            self.later.push_back((id, attempt, Ended::bare(Outcome::NotSent)));
            return;
        };
        let (pool, notes) = (self.pool.clone(), self.own_notes.clone());
        let (forward, live) = (held.forward.clone(), held.live.clone());
        let (before, violations) = (self.clock.instant(before), self.figures.violations.clone());
        let guard = AttemptGuard::new(forward, live, target, before, violations);
        tracing::debug!(request = held.forward.id(), attempt, ?server, "an attempt begins");
        if let Err(denial) = guard.check() {
            held.attempts.push(tried);
            self.later.push_back((id, attempt, Ended::denied(denial)));
            return;
        }
        tried.task = Some(AbortOnDrop(tokio::task::spawn_local(async move {
            let ended = pool.attempt(server, &guard, until).await;
            let _ = notes.send(Note::Ended { id, attempt, ended });
        })));
        held.attempts.push(tried);
    }
}

#[cfg(test)]
mod tests;
