//! The engine owns the policy (the decision module), the request table and the timers. It passes every event to
//! the policy in order of arrival and executes the returned actions in order. It makes no decisions itself.

mod attempts;
mod clock;
mod handle;
mod list;
mod uploads;
mod upstream_table;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle::discovery::client::{self, ClientCommand, ListEvent};
use hollowpaddle::discovery::filter::Filter;
use hollowpaddle::discovery::list_cache::ListCache;
use hollowpaddle::discovery::member::Message as List;
use hollowpaddle::discovery::watch_planner::{Mode, WatchPlanner};
use hollowpaddle::figures::Figures;
use hollowpaddle::interface as d;
use hollowpaddle::interface::{Action, Event, ListKind, Outcome, RequestId, ServerId, Span, Time};
use hollowpaddle::invariants::permit::Denial;
use hollowpaddle::services::{
    Catalog, Change, DirectoryUpdate, ReloadError, Routing, Service, ServiceId, Services,
};
use hollowpaddle::tasks::{AbortOnDrop, yield_until};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::config::Config;
use crate::deadlines::{backstop, headroom};
use crate::guard::AttemptGuard;
use crate::lateness::Lateness;
use crate::upstreams::{AttemptResult, Forward, Pool};
use clock::Clock;
use handle::EngineMessage;
pub use handle::{Arrival, Handle, Reply};
use upstream_table::UpstreamTable;

/// After a stall longer than this fraction of the drain grace, pending list updates are processed before requests.
const STALL_GRACE_DIVISOR: u32 = 4;

/// With several services, all of them may be idle and have no timer set. This periodic timer makes process stalls
/// detectable in that case too.
const STALL_TIMER_INTERVAL: Duration = Duration::from_millis(100);

/// The filter for the list service: members of the configured services, or all members.
fn filter(catalog: &Catalog) -> Filter {
    catalog.names().map_or_else(Filter::all, Filter::services)
}

/// The name of each service with the names of its classes, for metrics.
pub fn service_classes(
    catalog: &Catalog,
) -> impl Iterator<Item = (&str, impl Iterator<Item = &str>)> {
    let names = |s| {
        let Service { name, facts, .. }: &Service = s;
        (name.as_str(), facts.classes.iter().map(|c| c.name.as_str()))
    };
    catalog.services.iter().map(names)
}

/// A request that is unanswered or has attempts in flight.
struct PendingRequest {
    service: ServiceId,
    forward: Rc<Forward>,
    /// `None` once the final answer has been sent.
    reply: Option<oneshot::Sender<Reply>>,
    /// Shared with the attempts, which check it right before their first byte is written.
    unanswered: Rc<Cell<bool>>,
    /// Set while the request body is still incomplete: the time allowed after its last byte.
    time_after_body: Option<Duration>,
    attempts: Vec<Attempt>,
    last_outcome: Option<Outcome>,
}

struct Attempt {
    server: ServerId,
    sent_at: Instant,
    /// `Some` while the attempt is in flight; dropping it closes the connection.
    task: Option<AbortOnDrop>,
}

impl PendingRequest {
    fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.task.is_some()).count()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Policy(ServiceId, u64),
    /// Has no effect of its own; a late firing reveals a process stall.
    StallCheck,
    Deadline(RequestId),
}

/// The end of an attempt that the engine itself cancelled or did not start. Passed to the policy only after the
/// current actions have been executed.
type DeferredEnd = (RequestId, usize, AttemptResult);

pub struct Engine {
    services: Services,
    clock: Clock,
    messages: mpsc::UnboundedReceiver<EngineMessage>,
    /// From the list client; processed before all messages.
    list_updates: mpsc::UnboundedReceiver<ListEvent>,
    message_sender: mpsc::UnboundedSender<EngineMessage>,
    requests: FxHashMap<RequestId, PendingRequest>,
    timers: BinaryHeap<Reverse<(Instant, TimerKind)>>,
    actions: Vec<Action>,
    deferred_ends: VecDeque<DeferredEnd>,
    pool: Rc<Pool>,
    upstreams: UpstreamTable,
    ready: Rc<Cell<bool>>,
    listed_upstreams: Rc<Cell<usize>>,
    routing: Rc<RefCell<Rc<Routing>>>,
    figures: Rc<Figures>,
    keeper: Option<ListCache>,
    /// Set at shutdown: the latest time for any answer.
    shutdown_deadline: Option<Instant>,
    /// To the list client.
    orders: mpsc::UnboundedSender<ClientCommand>,
    lateness: Rc<Lateness>,
    /// If a timer fires later than this, the process stalled for so long that its list may be outdated.
    stall: Duration,
    _client: AbortOnDrop,
    second_copies: bool,
    max_attempts: usize,
}

impl Engine {
    /// `known` is the configured list, and `keeper` the on-disk list cache, if configured. Until discovery sends an
    /// update, the engine uses whichever has the higher revision.
    ///
    /// # Errors
    /// The policy rejected the settings.
    pub fn new(
        config: &Config,
        known: List,
        pool: Rc<Pool>,
        figures: Rc<Figures>,
        keeper: Option<ListCache>,
    ) -> Result<(Self, Handle), d::SettingsError> {
        let clock = Clock::new();
        let settings = config.facts.settings();
        let services = Services::new(config.catalog.clone(), config.seed, clock.now())?;
        let (message_sender, messages) = mpsc::unbounded_channel();
        let ready = Rc::new(Cell::new(false));
        let listed_upstreams = Rc::new(Cell::new(0));
        let routing = Rc::new(RefCell::new(services.routing()));
        let lateness = Rc::new(Lateness::default());
        let handle = Handle {
            messages: message_sender.clone(),
            next: Rc::default(),
            ready: ready.clone(),
            listed_upstreams: listed_upstreams.clone(),
            routing: routing.clone(),
            lateness: lateness.clone(),
        };
        let second_copies = settings.limits.second_copies;
        let max_attempts = settings.limits.max_attempts;
        let cached = keeper.as_ref().map(ListCache::list).filter(|l| l.revision > known.revision);
        let cached = cached.cloned();
        let is_cached = cached.is_some();
        let mut known = cached.unwrap_or(known);
        let narrowed = config.catalog.filter_list(&mut known);
        // Later writes to the cache are changes relative to the list in use, so the cache has to start from it.
        if let (true, Some(keeper)) = (!is_cached || narrowed.changed, &keeper) {
            keeper.keep(known.clone());
        }
        let grace = Duration::from_micros(settings.rules.drain_grace.0.max(0) as u64);
        let mode = if settings.must_ask { Mode::OnDemand } else { Mode::Pushed { grace } };
        let follow =
            WatchPlanner::new(config.discovery.clone(), mode, known.revision, Instant::now());
        let follow =
            if narrowed.covers_all_services { follow } else { follow.requesting_full_list() };
        let (orders, order_receiver) = mpsc::unbounded_channel();
        let (send_update, list_updates) = mpsc::unbounded_channel();
        let send_update = move |update| drop(send_update.send(update));
        let filter = filter(&services.routing().catalog);
        let client = client::run(follow, filter, client::connect, order_receiver, send_update);
        let mut stall = grace / STALL_GRACE_DIVISOR;
        let mut timers = BinaryHeap::new();
        if !services.routing().catalog.is_single() {
            stall = stall.saturating_sub(STALL_TIMER_INTERVAL);
            timers.push(Reverse((Instant::now() + STALL_TIMER_INTERVAL, TimerKind::StallCheck)));
        }
        let mut engine = Self {
            services,
            clock,
            messages,
            list_updates,
            message_sender,
            requests: FxHashMap::default(),
            timers,
            actions: Vec::new(),
            deferred_ends: VecDeque::new(),
            pool,
            upstreams: UpstreamTable::default(),
            ready,
            listed_upstreams,
            routing,
            figures,
            keeper,
            shutdown_deadline: None,
            orders,
            lateness,
            stall,
            _client: AbortOnDrop(tokio::task::spawn_local(client)),
            second_copies,
            max_attempts,
        };
        engine.apply_list(&known, ListKind::Restored);
        Ok((engine, handle))
    }

    pub async fn run(mut self) {
        loop {
            let due = self.timers.peek().map(|Reverse((at, _))| *at);
            self.lateness.set_next_timer(due);
            let sleep = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let message = tokio::select! {
                biased;
                Some(update) = self.list_updates.recv() => {
                    self.on_list_update(update);
                    continue;
                }
                message = self.messages.recv() => match message {
                    Some(message) => Some(message),
                    None => return,
                },
                () = sleep => None,
            };
            self.lateness.record_wakeup(Instant::now());
            if let Some(late) = due.map(|due| due.elapsed()).filter(|late| *late > self.stall) {
                tracing::warn!(?late, "process stalled; processing list updates before requests");
                // Updates sent during the stall are in force, but may be read after requests that came with them.
                yield_until(|| false).await;
                while let Ok(update) = self.list_updates.try_recv() {
                    self.on_list_update(update);
                }
            }
            if let Some(message) = message {
                self.on_message(message);
            }
            self.fire_timers();
        }
    }

    fn fire_timers(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, kind))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            match kind {
                TimerKind::Policy(service, token) => {
                    self.notify_policy(service, Event::Timer(token))
                }
                TimerKind::StallCheck => {
                    self.timers.push(Reverse((now + STALL_TIMER_INTERVAL, TimerKind::StallCheck)))
                }
                TimerKind::Deadline(id) => self.on_deadline(id),
            }
        }
    }

    fn on_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::Arrived { id, arrival, forward, reply } => {
                self.on_request(id, arrival, forward, reply);
            }
            EngineMessage::Left(id) => {
                self.on_client_left(id);
                self.process_deferred_ends();
                self.remove_if_done(id);
            }
            EngineMessage::BodyComplete(id) => self.on_body_complete(id),
            EngineMessage::AttemptEnded { id, attempt, result } => {
                self.on_attempt_ended(id, attempt, result);
                self.process_deferred_ends();
            }
            // Sent without delay: the old address soon closes its watch, and updates missed in between count as
            // delivered.
            EngineMessage::DiscoveryMoved(addresses) => {
                self.send_order(ClientCommand::SetAddresses(addresses))
            }
            EngineMessage::Reload(catalog) => self.reload(catalog),
            EngineMessage::Shutdown(by) => {
                self.shutdown_deadline = Some(by);
                self.requests.values().for_each(|r| r.forward.deadlines.set_shutdown(by));
                let pending =
                    self.requests.keys().map(|id| Reverse((by, TimerKind::Deadline(*id))));
                self.timers.extend(pending);
            }
            EngineMessage::UpstreamCounts(reply) => {
                let _ = reply.send(self.services.pool(self.clock.now()));
            }
        }
    }

    fn send_order(&self, order: ClientCommand) {
        // Cannot fail: the list client lives as long as the engine.
        let _ = self.orders.send(order);
    }

    fn on_request(
        &mut self,
        id: RequestId,
        arrival: Arrival,
        forward: Box<Forward>,
        reply: oneshot::Sender<Reply>,
    ) {
        let client_deadline = self.client_deadline(arrival.until);
        forward.deadlines.set_client(client_deadline, Instant::now());
        if let Some(by) = self.shutdown_deadline {
            forward.deadlines.set_shutdown(by);
        }
        let (policy_deadline, answer_by) =
            (forward.deadlines.policy(), forward.deadlines.backstop());
        let complete = forward.body.rest.as_ref().is_none_or(|r| r.is_complete());
        let time_after_body = (!complete).then_some(arrival.time);
        let service = arrival.service;
        let pending = PendingRequest {
            service,
            forward: Rc::from(forward),
            reply: Some(reply),
            unanswered: Rc::new(Cell::new(true)),
            time_after_body,
            attempts: Vec::new(),
            last_outcome: None,
        };
        self.requests.insert(id, pending);
        self.services.request_opened(service);
        if !self.services.serves(service) {
            // The service was removed after the request had been routed.
            self.give_up(id);
            return self.remove_if_done(id);
        }
        // While the body is incomplete, the deadline is evaluated again each time it seems to have passed.
        self.timers.push(Reverse((answer_by, TimerKind::Deadline(id))));
        let request = d::Request {
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            cost_guess: arrival.cost_guess,
            resent: arrival.resent,
            coming: time_after_body.is_some(),
            ..d::Request::new(id, arrival.class, self.clock.at(policy_deadline))
        };
        self.notify_policy(service, Event::Request(request));
    }

    /// The client has closed its connection: no further attempts are started.
    fn on_client_left(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if pending.reply.take().is_some() {
            pending.unanswered.set(false);
            tracing::debug!(
                request = pending.forward.id(),
                "client closed the connection before its answer"
            );
            let service = pending.service;
            self.run_policy(service, Event::Left(id));
            self.end_unfinished_attempts(id, Outcome::Cancelled);
        }
    }

    /// The client's deadline, moved forward to the shutdown deadline if that is earlier.
    fn client_deadline(&self, until: Instant) -> Instant {
        self.shutdown_deadline.map_or(until, |by| by.min(until))
    }

    /// Answers a request that the policy has left unanswered until just before the client's deadline, or the
    /// platform's shutdown deadline.
    fn on_deadline(&mut self, id: RequestId) {
        if self.check_upload(id) {
            return;
        }
        if self.answer_due(id).is_some_and(|due| Instant::now() < due) {
            // Set before the body was complete; another timer is set for the deadline.
            return;
        }
        if self.give_up(id) {
            let request = self.requests.get(&id).and_then(|r| r.forward.id());
            tracing::warn!(
                request,
                "policy did not answer in time; answered by the engine at the deadline"
            );
            self.end_unfinished_attempts(id, Outcome::Timeout);
            self.process_deferred_ends();
        }
        self.remove_if_done(id);
    }

    /// Answers a request in place of the policy; returns false if it is already answered.
    fn give_up(&mut self, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(&id) else { return false };
        let (service, untried) = (pending.service, pending.attempts.is_empty());
        let reply = if untried {
            Reply::Refused { retry_after: Span(0) }
        } else {
            Reply::Failed { late: true }
        };
        let given = self.answer(id, reply);
        if given {
            self.notify_policy(service, Event::Left(id));
        }
        given
    }

    /// Sends the final answer; returns false if there already was one.
    fn answer(&mut self, id: RequestId, reply: Reply) -> bool {
        let Some(pending) = self.requests.get_mut(&id) else { return false };
        let Some(sender) = pending.reply.take() else { return false };
        pending.unanswered.set(false);
        let attempts = pending.attempts.len();
        tracing::debug!(request = pending.forward.id(), reply = reply.name(), attempts, "answered");
        let _ = sender.send(reply);
        true
    }

    /// Removes a request that is answered and has no attempts in flight.
    fn remove_if_done(&mut self, id: RequestId) {
        let over = |r: &PendingRequest| r.reply.is_none() && r.in_flight() == 0;
        if self.requests.get(&id).is_some_and(over)
            && let Some(pending) = self.requests.remove(&id)
        {
            self.services.request_closed(pending.service);
        }
    }

    /// Passes an event to the policy and executes its actions, then does the same for the attempts that these
    /// actions ended.
    fn notify_policy(&mut self, service: ServiceId, event: Event) {
        self.run_policy(service, event);
        self.process_deferred_ends();
    }

    fn process_deferred_ends(&mut self) {
        while let Some((id, attempt, result)) = self.deferred_ends.pop_front() {
            self.on_attempt_ended(id, attempt, result);
        }
    }

    fn run_policy(&mut self, service: ServiceId, event: Event) {
        self.services.handle(self.clock.now(), service, event, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute(service, action);
        }
        self.actions = actions;
    }
}

#[cfg(test)]
mod tests;
