//! The I/O of a process with simulated balancers and upstreams: one task for each, and the management API.
//!
//! | call | body | |
//! | --- | --- | --- |
//! | `GET /admin/health`, `GET /-/ready` | | 200 |
//! | `GET /admin/stats` | | the summary of all balancers and upstreams |
//! | `GET /admin/hollow` | | the summary, and the metrics of each balancer |
//! | `GET /metrics` | | the summary in Prometheus's text format |
//! | `POST /admin/hollow/upstreams` | `{do, zone?, service?, count?, spread_ms?}` | `die`, `drain`, `leave`, `return` |
//! | `POST /admin/hollow/balancers` | `{do, zone?, count?, spread_ms?}` | `drop`, `return` |
//!
//! A command is answered as soon as it has started, with the number of balancers or upstreams that it selected. An
//! invalid body is answered with 400 and names the invalid key.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::{Method, StatusCode};
use rustix::time::{ClockId, clock_gettime};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};
use tracing::Dispatch;
use tracing::instrument::WithSubscriber;

use super::balancer::HollowBalancer;
use super::config::HollowConfig;
use super::figures::{BalancerFigures, Balancers, add};
use super::tally::Tally;
use super::upstream::{BalancerFault, HollowUpstream, Order, UpstreamFault};
use crate::calls::instances::{InstanceCallError, Instances};
use crate::calls::{self, Call, MAX_BODY_BYTES, Reply, error, json_reply};
use crate::configuration::ConfigError;
use crate::discovery::client::{self, ListEvent};
use crate::discovery::filter::Filter;
use crate::discovery::list_cache::ListCache;
use crate::discovery::member::Message;
use crate::discovery::registration;
use crate::discovery::watch_planner::{Mode, WatchPlanner};
use crate::figures::MetricsText;
use crate::interface::{ListKind, Time};
use crate::settings::Facts;
use crate::tasks::{AbortOnDrop, yield_until};

/// A timer that fires later than this shows that the process was stalled; list updates that arrived meanwhile are
/// processed before the timer.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Time limit of the call by which an upstream announces that it drains or leaves.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An error that prevents the process from starting.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// The configuration of the balancers is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The addresses to register at are unusable.
    #[error("lists.management: {0}")]
    Lists(#[from] InstanceCallError),
}

/// The clock of the policies: monotonic, aligned with Unix time once at the start.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    unix_us: i64,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_us: unix.as_micros() as i64 }
    }
    fn now(self) -> Time {
        Time(self.unix_us + self.start.elapsed().as_micros() as i64)
    }
    fn unix_ms(self) -> u64 {
        (self.now().0 / 1000).max(0) as u64
    }
    fn instant(self, time: Time) -> Instant {
        self.start + Duration::from_micros((time.0 - self.unix_us).max(0) as u64)
    }
}

/// CPU time used so far by this thread or process, in nanoseconds.
fn processor_ns(clock: ClockId) -> u64 {
    let spent = clock_gettime(clock);
    spent.tv_sec as u64 * 1_000_000_000 + spent.tv_nsec as u64
}

/// Resident memory of this process in KiB, from `/proc/self/status`; 0 if it can't be read.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// A stream that counts the bytes read from it.
struct CountingStream<S> {
    stream: S,
    figures: Rc<BalancerFigures>,
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = into.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, into);
        add(&self.figures.bytes, (into.filled().len() - before) as u64);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, from)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

struct BalancerSlot {
    number: usize,
    id: String,
    zone: String,
    figures: Rc<BalancerFigures>,
    task: RefCell<Option<AbortOnDrop>>,
}

struct UpstreamSlot {
    upstream: HollowUpstream,
    instances: Rc<Instances>,
    task: RefCell<Option<AbortOnDrop>>,
    running: Cell<bool>,
}

/// The simulated balancers and upstreams of this process.
pub struct Hollow {
    config: HollowConfig,
    facts: Facts,
    clock: Clock,
    tally: std::sync::Arc<Tally>,
    dispatch: Dispatch,
    balancers: Vec<BalancerSlot>,
    upstreams: Vec<UpstreamSlot>,
}

impl Hollow {
    /// Creates the balancers and upstreams; none runs before [`Hollow::serve`].
    ///
    /// # Errors
    /// [`HollowError`] if the settings or the addresses in `lists.management` are invalid.
    pub fn new(config: HollowConfig) -> Result<Rc<Self>, HollowError> {
        let facts = config.facts()?;
        let tally = std::sync::Arc::new(Tally::new());
        let dispatch = Dispatch::new(tally.clone());
        let balancer = |number: usize| BalancerSlot {
            number,
            id: format!("b-{number:05}"),
            zone: config.zones[number % config.zones.len()].clone(),
            figures: Rc::default(),
            task: RefCell::default(),
        };
        let balancers =
            (config.first..config.first + config.balancers).map(balancer).collect::<Vec<_>>();
        let upstreams = HollowUpstream::all(&config)
            .into_iter()
            .map(|upstream| {
                Ok(UpstreamSlot {
                    upstream,
                    instances: Rc::new(Instances::new(config.lists.management.clone())?),
                    task: RefCell::default(),
                    running: Cell::new(false),
                })
            })
            .collect::<Result<Vec<_>, InstanceCallError>>()?;
        let clock = Clock::new();
        Ok(Rc::new(Self { config, facts, clock, tally, dispatch, balancers, upstreams }))
    }

    /// Starts all balancers and upstreams, and serves the management API until the future is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        for i in 0..self.balancers.len() {
            self.start_balancer(i, Duration::ZERO);
        }
        for i in 0..self.upstreams.len() {
            let after = self.random_delay(i, self.config.start_spread());
            self.start_upstream(i, after);
        }
        let this = self.clone();
        calls::serve(listener, |_| MAX_BODY_BYTES, move |call| this.clone().answer(call)).await;
    }

    /// A random delay below `within` for upstream or balancer `i`, reproducible from the configured seed.
    fn random_delay(&self, i: usize, within: Duration) -> Duration {
        let seed = self.config.seed.wrapping_add((self.config.first + i) as u64);
        within.mul_f64(oorandom::Rand64::new(u128::from(seed)).rand_float())
    }

    fn start_balancer(self: &Rc<Self>, i: usize, after: Duration) {
        let this = self.clone();
        let task = tokio::task::spawn_local(async move {
            sleep(after).await;
            this.run_balancer(i).await;
        });
        *self.balancers[i].task.borrow_mut() = Some(AbortOnDrop(task));
    }

    /// Runs one simulated balancer for as long as the future is polled.
    async fn run_balancer(&self, i: usize) {
        let BalancerSlot { number, id, figures, .. } = &self.balancers[i];
        let dir = self.config.state_dir.as_ref().map(|dir| dir.join(id));
        let cache = match dir.as_deref().map(ListCache::open).transpose() {
            Ok(cache) => cache,
            Err(cause) => return tracing::error!(%cause, id, "cannot open state_dir; not started"),
        };
        let catalog = match self.config.catalog(&self.facts, *number) {
            Ok(catalog) => Rc::new(catalog),
            Err(cause) => return tracing::error!(%cause, id, "invalid services; not started"),
        };
        let mut known = cache.as_ref().map(|c| c.list().clone()).unwrap_or_default();
        let narrowed = catalog.filter_list(&mut known);
        if let (true, Some(cache)) = (narrowed.changed, &cache) {
            cache.keep(known.clone());
        }
        let grace = self.facts.settings().rules.drain_grace;
        let grace = Duration::from_micros(grace.0.max(0) as u64);
        let seed = self.config.seed.wrapping_add(*number as u64);
        let mut balancer = match HollowBalancer::new(catalog.clone(), seed, self.clock.now()) {
            Ok(balancer) => balancer,
            Err(cause) => return tracing::error!(%cause, id, "invalid settings; not started"),
        };
        figures.revision.set(known.revision);
        figures.running.set(true);
        self.notify_balancer(&mut balancer, figures, &known, ListKind::Restored);
        // Each balancer starts with another instance; otherwise all would read from the first one.
        let mut addresses = self.config.lists.listen.clone();
        let first = number % addresses.len();
        addresses.rotate_left(first);
        let mode = Mode::Pushed { grace };
        let planner = WatchPlanner::new(addresses, mode, known.revision, Instant::now());
        let planner =
            if narrowed.covers_all_services { planner } else { planner.requesting_full_list() };
        let filter = catalog.names().map_or_else(Filter::all, Filter::services);
        // The sender is held so that the channel stays open; a simulated balancer never sends a command.
        let (_commands, commands) = mpsc::unbounded_channel();
        let (sender, mut events) = mpsc::unbounded_channel();
        let stream_figures = figures.clone();
        let connect = move |address| {
            let figures = stream_figures.clone();
            async move { Ok(CountingStream { stream: client::connect(address).await?, figures }) }
        };
        let on_event = move |event| drop(sender.send(event));
        let client = client::run(planner, filter, connect, commands, on_event);
        let _client = AbortOnDrop(tokio::task::spawn_local(client));
        loop {
            let due = balancer.due().map(|due| self.clock.instant(due));
            let sleep = async {
                match due {
                    Some(due) => sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.handle_list_event(&mut balancer, figures, &cache, event),
                    None => return,
                },
                () = sleep => {
                    if due.is_some_and(|due| due.elapsed() > STALL_THRESHOLD) {
                        yield_until(|| false).await;
                        while let Ok(event) = events.try_recv() {
                            self.handle_list_event(&mut balancer, figures, &cache, event);
                        }
                    }
                    self.measure_policy(figures, || balancer.fire_due_timers(self.clock.now()));
                }
            }
        }
    }

    fn handle_list_event(
        &self,
        balancer: &mut HollowBalancer,
        figures: &BalancerFigures,
        cache: &Option<ListCache>,
        event: ListEvent,
    ) {
        // `Disconnected` is reported only when lists are polled on demand; simulated balancers watch the list.
        let ListEvent::Updated(list) = event else { return };
        figures.record_message(list.revision, list.members.len(), list.complete);
        let kind = if list.complete { ListKind::Full } else { ListKind::Update };
        self.notify_balancer(balancer, figures, &list, kind);
        if let Some(cache) = cache {
            cache.keep(list);
        }
    }

    fn notify_balancer(
        &self,
        balancer: &mut HollowBalancer,
        figures: &BalancerFigures,
        list: &Message,
        kind: ListKind,
    ) {
        balancer.apply_message(list);
        figures.members.set(balancer.members() as u64);
        figures.digest.set(balancer.digest());
        let notified =
            self.measure_policy(figures, || balancer.notify_services(self.clock.now(), list, kind));
        add(&figures.services_told, notified as u64);
    }

    fn measure_policy<T>(&self, figures: &BalancerFigures, policy: impl FnOnce() -> T) -> T {
        let before = processor_ns(ClockId::ThreadCPUTime);
        let result = policy();
        figures.record_policy_call(processor_ns(ClockId::ThreadCPUTime).saturating_sub(before));
        result
    }

    fn start_upstream(self: &Rc<Self>, i: usize, after: Duration) {
        let (this, slot) = (self.clone(), &self.upstreams[i]);
        slot.running.set(true);
        let keep_registered = async move {
            sleep(after).await;
            let slot = &this.upstreams[i];
            let member = slot.upstream.member(this.clock.unix_ms());
            registration::keep(&slot.instances, &member, this.config.ttl()).await;
        };
        let task = tokio::task::spawn_local(keep_registered.with_subscriber(self.dispatch.clone()));
        *slot.task.borrow_mut() = Some(AbortOnDrop(task));
    }

    fn stop_upstream(&self, i: usize) {
        let slot = &self.upstreams[i];
        slot.running.set(false);
        *slot.task.borrow_mut() = None;
        self.tally.remove_registered(&slot.upstream.id());
    }

    fn apply_to_upstreams(self: &Rc<Self>, order: &Order<UpstreamFault>) -> usize {
        let all = self.upstreams.iter().map(|s| &s.upstream);
        let chosen = order.select_indices(all.map(|u| (u.zone.as_str(), u.service.as_str())));
        for &i in &chosen {
            let after = self.random_delay(i, Duration::from_millis(order.spread_ms));
            let (this, fault) = (self.clone(), order.fault);
            if fault == UpstreamFault::Return {
                self.start_upstream(i, after);
                continue;
            }
            let execution = async move {
                sleep(after).await;
                let UpstreamSlot { upstream, instances, .. } = &this.upstreams[i];
                if fault != UpstreamFault::Drain {
                    this.stop_upstream(i);
                }
                match fault {
                    UpstreamFault::Drain => {
                        let body = json!({"id": upstream.id(), "phase": "DRAINING"});
                        match instances.post("/admin/members/phase", &body, CALL_TIMEOUT).await {
                            Ok((StatusCode::OK, _)) => {}
                            Ok((status, _)) => {
                                tracing::warn!(%status, "could not set the phase of a simulated upstream to DRAINING")
                            }
                            Err(cause) => {
                                tracing::warn!(%cause, "could not set the phase of a simulated upstream to DRAINING")
                            }
                        }
                    }
                    UpstreamFault::Leave => {
                        let member = upstream.member(0);
                        registration::leave(instances, &member, CALL_TIMEOUT).await;
                    }
                    UpstreamFault::Die | UpstreamFault::Return => {}
                }
            };
            drop(tokio::task::spawn_local(execution.with_subscriber(self.dispatch.clone())));
        }
        chosen.len()
    }

    fn apply_to_balancers(self: &Rc<Self>, order: &Order<BalancerFault>) -> usize {
        let chosen = order.select_indices(self.balancers.iter().map(|b| (b.zone.as_str(), "")));
        for &i in &chosen {
            let after = self.random_delay(i, Duration::from_millis(order.spread_ms));
            match order.fault {
                BalancerFault::Drop => {
                    let this = self.clone();
                    drop(tokio::task::spawn_local(async move {
                        sleep(after).await;
                        *this.balancers[i].task.borrow_mut() = None;
                        this.balancers[i].figures.running.set(false);
                    }));
                }
                BalancerFault::Return => self.start_balancer(i, after),
            }
        }
        chosen.len()
    }

    async fn answer(self: Rc<Self>, call: Call) -> Reply {
        let reads = ["/-/ready", "/admin/health", "/admin/stats", "/admin/hollow", "/metrics"];
        let path = call.path.as_str();
        match (path, call.method == Method::GET, call.method == Method::POST) {
            ("/metrics", true, _) => self.metrics(),
            ("/admin/stats", true, _) => json_reply(StatusCode::OK, &self.summary()),
            ("/admin/hollow", true, _) => {
                let mut all = self.summary();
                let each = self.balancers.iter().map(|b| b.figures.to_json(&b.id, &b.zone));
                all["each"] = each.collect();
                json_reply(StatusCode::OK, &all)
            }
            (path, true, _) if reads.contains(&path) => {
                json_reply(StatusCode::OK, &json!({"ready": true}))
            }
            ("/admin/hollow/upstreams", _, true) => {
                execute_command(&call.body, |o| self.apply_to_upstreams(o))
            }
            ("/admin/hollow/balancers", _, true) => {
                execute_command(&call.body, |o| self.apply_to_balancers(o))
            }
            ("/admin/hollow/upstreams" | "/admin/hollow/balancers", ..) => {
                error(StatusCode::METHOD_NOT_ALLOWED, "the method")
            }
            (path, ..) if reads.contains(&path) => {
                error(StatusCode::METHOD_NOT_ALLOWED, "the method")
            }
            _ => error(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn running(&self) -> u64 {
        self.upstreams.iter().filter(|s| s.running.get()).count() as u64
    }

    fn balancer_summary(&self) -> Balancers {
        Balancers::over(self.balancers.iter().map(|b| &*b.figures))
    }

    fn summary(&self) -> Value {
        json!({
            "balancers": self.balancer_summary(),
            "upstreams": {"running": self.running(), "calls": self.tally.counts()},
            "process": {
                "processor_us": processor_ns(ClockId::ProcessCPUTime) / 1000,
                "resident_kib": resident_kib(),
            },
        })
    }

    fn metrics(&self) -> Reply {
        let (mut text, counts) = (MetricsText::new(), self.tally.counts());
        self.balancer_summary().write(&mut text);
        text.gauge("hollow_upstreams", "Upstreams that run", &[], self.running());
        let help = "Upstreams that know themselves in the list";
        text.gauge("hollow_registered", help, &[], counts.registered);
        let help = "Registrations that succeeded";
        text.counter("hollow_registrations", help, &[], counts.registrations);
        let help = "Registrations that failed, each to be made again";
        text.counter("hollow_failed_registrations", help, &[], counts.failed_registrations);
        let help = "Renewals and leaves that failed";
        text.counter("hollow_failed_renewals", help, &[], counts.failed_renewals);
        let ms = processor_ns(ClockId::ProcessCPUTime) / 1_000_000;
        text.counter("process_processor_ms", "Processor time of this process", &[], ms);
        text.gauge("process_resident_kib", "Resident memory", &[], resident_kib());
        text.reply()
    }
}

/// Parses a command, executes it, and answers with the number of balancers or upstreams that it selected.
fn execute_command<F>(body: &[u8], execute: impl FnOnce(&Order<F>) -> usize) -> Reply
where
    Order<F>: DeserializeOwned,
{
    let mut reader = serde_json::Deserializer::from_slice(body);
    match serde_path_to_error::deserialize(&mut reader) {
        Ok(order) => json_reply(StatusCode::OK, &json!({"chosen": execute(&order)})),
        Err(cause) => error(StatusCode::BAD_REQUEST, cause),
    }
}
