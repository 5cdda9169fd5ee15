//! The interface between the balancer and its caller: time, ids, settings, events and actions, in this order.
//! Plain data; decisions are made in [`crate::policy`].

/// A point on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A duration in microseconds; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Time {
    /// The duration from `earlier` to `self`; negative if `earlier` is later. Saturates.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
    /// `self` plus a duration. Saturates.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Span {
    /// The duration in microseconds as a floating-point number.
    pub fn f(self) -> f64 {
        self.0 as f64
    }
    /// A duration of `us` microseconds, truncated to whole ones.
    pub fn of(us: f64) -> Span {
        Span(us as i64)
    }
}

/// The caller's handle for a request; not reused while the request or one of its attempts is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The caller's handle for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// Effect of executing a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be executed any number of times.
    Safe,
    /// The upstreams of one group drop duplicates within a time window.
    Keyed,
    /// Must never be executed twice.
    Unsafe,
}

/// Which upstreams share the deduplication of keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All upstreams.
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Span,
    /// The longest time that a client waits.
    pub deadline: Span,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth earned by an answer after the aim.
    pub late_worth: f64,
    /// Effect of executing a request of this class more than once.
    pub effect: Effect,
    /// Which upstreams share the deduplication of its keyed requests.
    pub group: Group,
    /// Length of the deduplication window, from the send of the first attempt that may have run.
    pub window: Span,
    /// The aim grows by this multiple of a request's own work, up to the deadline.
    pub aim_stretch: f64,
    /// Answers are streams: [`Event::Started`] reports that one has begun.
    pub streaming: bool,
    /// Requests of such classes are serialised by key, in order of arrival.
    pub in_order: bool,
    /// The zones that its requests may be sent to; `None` for all.
    pub zones: Option<Vec<u32>>,
    /// The machine kinds that its requests may be sent to; `None` for all.
    pub kinds: Option<Vec<u32>>,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its share, over all balancers.
    pub quota_rps: f64,
    /// Its share of the service.
    pub share: f64,
}

/// Limits set by the site.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Two attempts of a request may be in flight at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Upstreams may be probed.
    pub probes: bool,
    /// Whether the simulator's clients are given a retry delay; refusals over HTTP always state one.
    pub retry_after: bool,
    /// Longest retry delay that a client follows.
    pub max_retry_after: Span,
    /// Time after which a connection that is not established counts as failed.
    pub connect_timeout: Span,
    /// Time after which idle connections are closed.
    pub keepalive: Span,
    /// Maximum number of concurrent attempts on one connection.
    pub streams_per_conn: u32,
}

/// Parameters of the rules on drains, cold upstreams and the list.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Least share of its capacity that an upstream has when it starts.
    pub cold_from: f64,
    /// Time after its start by which an upstream has its full capacity.
    pub cold: Span,
    /// An upstream fails when it is sent more than this many times its present capacity,
    pub fall_multiple: f64,
    /// for at least this long.
    pub tip_after: Span,
    /// How long after notification of a drain requests may still be sent to the upstream.
    pub drain_grace: Span,
    /// Tolerance after the client's deadline within which a final answer still counts.
    pub answer_slack: Span,
    /// Where the list is sent only on request: the longest time without a list call until the proxy is deemed notified
    /// of an update.
    pub ask_every: Span,
    /// Time within which idle connections to a draining upstream must be closed; zero for no such rule.
    pub drain_close: Span,
    /// How long a key is blocked after an attempt of an ordered class that may still be running.
    pub turn_gap: Span,
}

/// Costs per first attempt, as shares of the total worth.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work that produced no served answer, relative to the work offered.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A probe.
    pub probe: f64,
    /// Worth of requests that end unserved after their aim has passed.
    pub late_fail: f64,
}

/// Weights of the measures by which the site scores the service.
#[derive(Clone, Debug, Default)]
pub struct ScoringMix {
    /// The complete run.
    pub whole: f64,
    /// The worst time window of the run.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
}

/// Source of the upstreams' load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// No load reports.
    #[default]
    None,
    /// Answers and probes.
    Answers,
    /// Probes only.
    Probes,
}

/// Configuration of a balancer, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of balancers in the fleet, including this one.
    pub balancers: u32,
    /// This balancer's number among them, from 0.
    pub position: u32,
    /// Number of zones of the site.
    pub zones: u32,
    /// Zone of this balancer.
    pub zone: u32,
    /// Least interval between deliveries of events.
    pub tick: Span,
    /// The list of upstreams is sent only on request ([`Action::Subscribe`]).
    pub must_ask: bool,
    /// Limits set by the site.
    pub limits: Limits,
    /// Parameters of the rules.
    pub rules: Rules,
    /// Costs of the service.
    pub prices: Prices,
    /// How the service is scored.
    pub mix: ScoringMix,
    /// Worth of a request beyond its tenant's share, relative to that of its class.
    pub over_share_worth: f64,
    /// Worth is counted per unit of work instead of per request.
    pub by_work: bool,
    /// Clients mark requests that they send again.
    pub marks_retry: bool,
    /// Source of load reports.
    pub reports: Reports,
}

impl Class {
    /// An idempotent class of worth 1 with this aim and deadline.
    pub fn safe(aim: Span, deadline: Span) -> Self {
        Self {
            aim,
            deadline,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            group: Group::All,
            window: Span(0),
            aim_stretch: 0.0,
            streaming: false,
            in_order: false,
            zones: None,
            kinds: None,
        }
    }
}

impl Settings {
    /// Settings to start from: one proxy with these classes, one zone, three attempts per request, no further rules and
    /// no prices.
    pub fn basic(classes: Vec<Class>) -> Self {
        Self {
            classes,
            tenants: Vec::new(),
            balancers: 1,
            position: 0,
            zones: 1,
            zone: 0,
            tick: Span(1000),
            must_ask: false,
            limits: Limits {
                max_attempts: 3,
                second_copies: false,
                cancel: false,
                probes: false,
                retry_after: false,
                max_retry_after: Span(0),
                connect_timeout: Span(0),
                keepalive: Span(0),
                streams_per_conn: 1,
            },
            rules: Rules {
                cold_from: 1.0,
                cold: Span(0),
                fall_multiple: 1.0,
                tip_after: Span(0),
                drain_grace: Span(0),
                answer_slack: Span(0),
                ask_every: Span(0),
                drain_close: Span(0),
                turn_gap: Span(0),
            },
            prices: Prices::default(),
            mix: ScoringMix { whole: 1.0, ..ScoringMix::default() },
            over_share_worth: 1.0,
            by_work: false,
            marks_retry: false,
            reports: Reports::None,
        }
    }
}

impl Settings {
    /// Validates the settings and adjusts values that are out of range to safe ones.
    ///
    /// # Errors
    /// No class, or a class with an aim or deadline that is not above zero.
    pub fn checked(mut self) -> Result<Self, SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(i) = self.classes.iter().position(|c| c.aim.0 <= 0 || c.deadline.0 <= 0) {
            return Err(SettingsError::BadAim(i));
        }
        // A tick of zero would stall the clock, and a cold share of zero would never send to a cold upstream.
        self.tick.0 = self.tick.0.max(100);
        self.balancers = self.balancers.max(1);
        self.limits.max_attempts = self.limits.max_attempts.max(1);
        self.limits.max_retry_after.0 = self.limits.max_retry_after.0.max(0);
        self.rules.cold_from = self.rules.cold_from.clamp(0.01, 1.0);
        self.rules.ask_every.0 = self.rules.ask_every.0.max(self.tick.0.saturating_mul(10));
        Ok(self)
    }
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class, so no request can be classified.
    #[error("settings name no request class")]
    NoClasses,
    /// The class at this index has an aim or deadline that no answer can meet.
    #[error("class {0} has an aim or deadline that is not above zero")]
    BadAim(usize),
}

/// State of an upstream in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Accepts requests.
    Live,
    /// Finishes its requests in progress; gets no new ones.
    Draining,
    /// No longer on the list.
    Gone,
}

/// One entry of the list of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// The caller's handle.
    pub id: ServerId,
    /// A hash of its name that is the same at every balancer.
    pub identity: u64,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub status: Status,
    /// Relative size; 1 where unknown.
    pub weight: f64,
    /// When it last started; `None` if long ago.
    pub started: Option<Time>,
}

impl Member {
    /// A live upstream of zone, kind and cell 0 and of weight 1, started long ago.
    pub fn live(id: ServerId) -> Self {
        Self {
            id,
            identity: u64::from(id.0),
            zone: 0,
            kind: 0,
            cell: 0,
            status: Status::Live,
            weight: 1.0,
            started: None,
        }
    }
}

/// Kind of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Update,
    /// The full list.
    Full,
    /// The last stored full list, which may be out of date.
    Restored,
    /// A list call failed or the subscription broke.
    Unavailable,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The caller's handle.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Hash of its routing key, if it has one.
    pub key: Option<u64>,
    /// When the client stops waiting.
    pub drop_dead: Time,
    /// Estimated work in time on a reference core, if known.
    pub cost_guess: Option<Span>,
    /// Sent again by its client, where clients mark this.
    pub resent: bool,
    /// It modifies data.
    pub write: bool,
    /// Its body is incomplete: no upstream starts work before [`Event::BodyComplete`].
    pub coming: bool,
}

impl Request {
    /// A request of this class for tenant 0, without key or estimate, with a complete body.
    pub fn new(id: RequestId, class: usize, drop_dead: Time) -> Self {
        Self {
            id,
            class,
            tenant: 0,
            key: None,
            drop_dead,
            cost_guess: None,
            resent: false,
            write: false,
            coming: false,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected by the upstream without execution.
    Full,
    /// No answer within the time-out; may have run.
    Timeout,
    /// No connection was established; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by the proxy; may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
}

impl Outcome {
    /// Whether the outcome guarantees that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of an attempt as observed by the caller.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt, from 0.
    pub attempt: usize,
    /// The upstream it went to.
    pub server: ServerId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Time from send to outcome.
    pub latency: Span,
    /// The request has ended; no further attempt may follow.
    pub last: bool,
    /// The request's body was consumed by this attempt and is not stored, so the request may no longer be resent.
    pub spent: bool,
    /// The upstream's load report.
    pub report: Report,
}

impl Answer {
    /// An outcome without a load report, of a request that may be resent.
    pub fn new(
        request: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: Span,
        last: bool,
    ) -> Self {
        let (spent, report) = (false, Report::default());
        Self { request, attempt, server, outcome, latency, last, spent, report }
    }
}

/// An upstream's load report; values that it does not contain are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests in progress.
    pub inflight: Option<f64>,
    /// Requests waiting in the upstream's queue.
    pub queue: Option<f64>,
    /// Share of its cores that are busy.
    pub util: Option<f64>,
    /// Recent service time without queueing.
    pub service: Option<Span>,
    /// Requests served per second.
    pub qps: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
}

/// An event; the caller delivers events in order of occurrence.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The list of upstreams, or a change to it.
    Members {
        /// Kind of the list event.
        kind: ListKind,
        /// Its entries.
        list: &'a [Member],
    },
    /// A client's request has arrived and must get one final answer.
    Request(Request),
    /// The body of a request that was incomplete on arrival is complete.
    BodyComplete(RequestId),
    /// An attempt has ended.
    Answered(Answer),
    /// The answer has begun to stream to the client; no further attempt may follow.
    Started(RequestId),
    /// The client no longer waits; no answer is due.
    Left(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A probe has ended.
    Probed {
        /// The upstream.
        server: ServerId,
        /// Whether the probe succeeded.
        ok: bool,
        /// Time from probe to answer.
        latency: Span,
        /// The upstream's load report.
        report: Report,
    },
}

/// An action that the caller must carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream.
        server: ServerId,
        /// Time-out of the attempt, from its send.
        timeout: Span,
        /// Time at and after which the attempt must not begin, even if its connection took long to establish.
        before: Time,
    },
    /// End the request unserved; its client may safely send it again.
    Refuse {
        /// The request.
        request: RequestId,
        /// Retry delay for the client; zero for none.
        retry_after: Span,
    },
    /// End the request unserved; it may have run, and may not be safe to send again.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt, from 0.
        attempt: usize,
    },
    /// Deliver [`Event::Timer`] at or after a given time.
    Arm {
        /// The value to deliver with the event.
        token: u64,
        /// The time at which the timer is due.
        at: Time,
    },
    /// Probe an upstream.
    Probe {
        /// The upstream.
        server: ServerId,
    },
    /// Close the idle connections to an upstream.
    CloseIdle {
        /// The upstream.
        server: ServerId,
    },
    /// Open a subscription to the list of upstreams.
    Subscribe,
}
