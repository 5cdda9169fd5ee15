//! The I/O of a process of hollow balancers and upstreams: a task for each, and the calls of operators.
//!
//! | call | body | |
//! | --- | --- | --- |
//! | `GET /admin/health`, `GET /-/ready` | | 200 |
//! | `GET /admin/stats` | | the figures summed up |
//! | `GET /admin/hollow` | | the same and each balancer's |
//! | `GET /metrics` | | the sums in Prometheus's text format |
//! | `POST /admin/hollow/upstreams` | `{do, zone?, service?, count?, spread_ms?}` | `die`, `drain`, `leave`, `return` |
//! | `POST /admin/hollow/balancers` | `{do, zone?, count?, spread_ms?}` | `drop`, `return` |
//!
//! A call is answered once it is begun, with how many it meant; 400 for a body that can't be, with the key.

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
use crate::calls::instances::{Instances, Undecided};
use crate::calls::{self, Call, LIMIT, Reply, error, say};
use crate::configuration::ConfigError;
use crate::discovery::client::{self, ListEvent};
use crate::discovery::filter::Filter;
use crate::discovery::list_cache::ListCache;
use crate::discovery::member::Message;
use crate::discovery::registration;
use crate::discovery::watch_planner::{Mode, WatchPlanner};
use crate::figures::Text;
use crate::interface::{ListKind, Time};
use crate::settings::Facts;
use crate::tasks::{AbortOnDrop, settle};

/// A timer that fires so late tells that the process stood still: what came meanwhile is taken first.
const STALL: Duration = Duration::from_millis(250);
/// How long one that drains or leaves tries to say so.
const SAY_WITHIN: Duration = Duration::from_secs(5);

/// Why the process can't start.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// The configuration of the modules was refused.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// There is nowhere to register.
    #[error("lists.management: {0}")]
    Lists(#[from] Undecided),
}

/// The clock of the modules: monotonic, and set once to Unix time.
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

/// Processor time of this thread or process so far, in nanoseconds.
fn processor_ns(clock: ClockId) -> u64 {
    let spent = clock_gettime(clock);
    spent.tv_sec as u64 * 1_000_000_000 + spent.tv_nsec as u64
}

/// Resident memory of this process in KiB, as the system tells; 0 where it does not.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// A stream that counts what is read from it.
struct Counted<S> {
    stream: S,
    figures: Rc<BalancerFigures>,
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
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

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
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

/// The process.
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
    /// Nobody runs yet.
    ///
    /// # Errors
    /// [`HollowError`].
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
            .collect::<Result<Vec<_>, Undecided>>()?;
        let clock = Clock::new();
        Ok(Rc::new(Self { config, facts, clock, tally, dispatch, balancers, upstreams }))
    }

    /// Starts everybody, and answers calls until the task is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        for i in 0..self.balancers.len() {
            self.start_balancer(i, Duration::ZERO);
        }
        for i in 0..self.upstreams.len() {
            let after = self.draw(i, self.config.spread());
            self.start_upstream(i, after);
        }
        let this = self.clone();
        calls::serve(listener, |_| LIMIT, move |call| this.clone().answer(call)).await;
    }

    /// A moment in `within`, of upstream or balancer `i`.
    fn draw(&self, i: usize, within: Duration) -> Duration {
        let seed = self.config.seed.wrapping_add((self.config.first + i) as u64);
        within.mul_f64(oorandom::Rand64::new(u128::from(seed)).rand_float())
    }

    fn start_balancer(self: &Rc<Self>, i: usize, after: Duration) {
        let this = self.clone();
        let task = tokio::task::spawn_local(async move {
            sleep(after).await;
            this.balance(i).await;
        });
        *self.balancers[i].task.borrow_mut() = Some(AbortOnDrop(task));
    }

    /// One hollow balancer, as long as it is polled.
    async fn balance(&self, i: usize) {
        let BalancerSlot { number, id, figures, .. } = &self.balancers[i];
        let dir = self.config.state_dir.as_ref().map(|dir| dir.join(id));
        let keeper = match dir.as_deref().map(ListCache::open).transpose() {
            Ok(keeper) => keeper,
            Err(cause) => return tracing::error!(%cause, id, "state_dir"),
        };
        let catalog = match self.config.catalog(&self.facts, *number) {
            Ok(catalog) => Rc::new(catalog),
            Err(cause) => return tracing::error!(%cause, id, "services"),
        };
        let mut known = keeper.as_ref().map(|k| k.list().clone()).unwrap_or_default();
        let narrowed = catalog.filter_list(&mut known);
        if let (true, Some(keeper)) = (narrowed.changed, &keeper) {
            keeper.keep(known.clone());
        }
        let grace = self.facts.settings().rules.drain_grace;
        let grace = Duration::from_micros(grace.0.max(0) as u64);
        let seed = self.config.seed.wrapping_add(*number as u64);
        let mut balancer = match HollowBalancer::new(catalog.clone(), seed, self.clock.now()) {
            Ok(balancer) => balancer,
            Err(cause) => return tracing::error!(%cause, id, "settings"),
        };
        figures.revision.set(known.revision);
        figures.running.set(true);
        self.told(&mut balancer, figures, &known, ListKind::Restored);
        // Each begins elsewhere, or all would read from the first.
        let mut addresses = self.config.lists.listen.clone();
        let first = number % addresses.len();
        addresses.rotate_left(first);
        let mode = Mode::Pushed { grace };
        let follow = WatchPlanner::new(addresses, mode, known.revision, Instant::now());
        let follow =
            if narrowed.covers_all_services { follow } else { follow.requesting_full_list() };
        let filter = catalog.names().map_or_else(Filter::all, Filter::services);
        // Held open: nobody moves the list of a hollow balancer.
        let (_orders, ordered) = mpsc::unbounded_channel();
        let (tell, mut news) = mpsc::unbounded_channel();
        let counted = figures.clone();
        let connect = move |address| {
            let figures = counted.clone();
            async move { Ok(Counted { stream: client::connect(address).await?, figures }) }
        };
        let tell = move |news| drop(tell.send(news));
        let client = client::run(follow, filter, connect, ordered, tell);
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
                heard = news.recv() => match heard {
                    Some(heard) => self.heard(&mut balancer, figures, &keeper, heard),
                    None => return,
                },
                () = sleep => {
                    if due.is_some_and(|due| due.elapsed() > STALL) {
                        settle(|| false).await;
                        while let Ok(heard) = news.try_recv() {
                            self.heard(&mut balancer, figures, &keeper, heard);
                        }
                    }
                    self.metered(figures, || balancer.pass(self.clock.now()));
                }
            }
        }
    }

    fn heard(
        &self,
        balancer: &mut HollowBalancer,
        figures: &BalancerFigures,
        keeper: &Option<ListCache>,
        news: ListEvent,
    ) {
        // A watch lost is told only where lists are asked for.
        let ListEvent::Updated(list) = news else { return };
        figures.took(list.revision, list.members.len(), list.complete);
        let kind = if list.complete { ListKind::Full } else { ListKind::Update };
        self.told(balancer, figures, &list, kind);
        if let Some(keeper) = keeper {
            keeper.keep(list);
        }
    }

    fn told(
        &self,
        balancer: &mut HollowBalancer,
        figures: &BalancerFigures,
        list: &Message,
        kind: ListKind,
    ) {
        balancer.take(list);
        figures.members.set(balancer.members() as u64);
        figures.digest.set(balancer.digest());
        let told = self.metered(figures, || balancer.tell(self.clock.now(), list, kind));
        add(&figures.services_told, told as u64);
    }

    fn metered<T>(&self, figures: &BalancerFigures, module: impl FnOnce() -> T) -> T {
        let before = processor_ns(ClockId::ThreadCPUTime);
        let said = module();
        figures.told_module(processor_ns(ClockId::ThreadCPUTime).saturating_sub(before));
        said
    }

    fn start_upstream(self: &Rc<Self>, i: usize, after: Duration) {
        let (this, slot) = (self.clone(), &self.upstreams[i]);
        slot.running.set(true);
        let keep = async move {
            sleep(after).await;
            let slot = &this.upstreams[i];
            let member = slot.upstream.member(this.clock.unix_ms());
            registration::keep(&slot.instances, &member, this.config.ttl()).await;
        };
        let task = tokio::task::spawn_local(keep.with_subscriber(self.dispatch.clone()));
        *slot.task.borrow_mut() = Some(AbortOnDrop(task));
    }

    fn stop_upstream(&self, i: usize) {
        let slot = &self.upstreams[i];
        slot.running.set(false);
        *slot.task.borrow_mut() = None;
        self.tally.ended(&slot.upstream.id());
    }

    fn upstreams(self: &Rc<Self>, order: &Order<UpstreamFault>) -> usize {
        let all = self.upstreams.iter().map(|s| &s.upstream);
        let chosen = order.chosen(all.map(|u| (u.zone.as_str(), u.service.as_str())));
        for &i in &chosen {
            let after = self.draw(i, Duration::from_millis(order.spread_ms));
            let (this, fault) = (self.clone(), order.fault);
            if fault == UpstreamFault::Return {
                self.start_upstream(i, after);
                continue;
            }
            let said = async move {
                sleep(after).await;
                let UpstreamSlot { upstream, instances, .. } = &this.upstreams[i];
                if fault != UpstreamFault::Drain {
                    this.stop_upstream(i);
                }
                match fault {
                    UpstreamFault::Drain => {
                        let body = json!({"id": upstream.id(), "phase": "DRAINING"});
                        match instances.post("/admin/members/phase", &body, SAY_WITHIN).await {
                            Ok((StatusCode::OK, _)) => {}
                            Ok((status, _)) => tracing::warn!(%status, "not drained"),
                            Err(cause) => tracing::warn!(%cause, "not drained"),
                        }
                    }
                    UpstreamFault::Leave => {
                        let member = upstream.member(0);
                        registration::leave(instances, &member, SAY_WITHIN).await;
                    }
                    UpstreamFault::Die | UpstreamFault::Return => {}
                }
            };
            drop(tokio::task::spawn_local(said.with_subscriber(self.dispatch.clone())));
        }
        chosen.len()
    }

    fn balancers(self: &Rc<Self>, order: &Order<BalancerFault>) -> usize {
        let chosen = order.chosen(self.balancers.iter().map(|b| (b.zone.as_str(), "")));
        for &i in &chosen {
            let after = self.draw(i, Duration::from_millis(order.spread_ms));
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
            ("/admin/stats", true, _) => say(StatusCode::OK, &self.sums()),
            ("/admin/hollow", true, _) => {
                let mut all = self.sums();
                let each = self.balancers.iter().map(|b| b.figures.told(&b.id, &b.zone));
                all["each"] = each.collect();
                say(StatusCode::OK, &all)
            }
            (path, true, _) if reads.contains(&path) => {
                say(StatusCode::OK, &json!({"ready": true}))
            }
            ("/admin/hollow/upstreams", _, true) => ordered(&call.body, |o| self.upstreams(o)),
            ("/admin/hollow/balancers", _, true) => ordered(&call.body, |o| self.balancers(o)),
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

    fn balancer_sums(&self) -> Balancers {
        Balancers::over(self.balancers.iter().map(|b| &*b.figures))
    }

    fn sums(&self) -> Value {
        json!({
            "balancers": self.balancer_sums(),
            "upstreams": {"running": self.running(), "calls": self.tally.counts()},
            "process": {
                "processor_us": processor_ns(ClockId::ProcessCPUTime) / 1000,
                "resident_kib": resident_kib(),
            },
        })
    }

    fn metrics(&self) -> Reply {
        let (mut text, counts) = (Text::new(), self.tally.counts());
        self.balancer_sums().write(&mut text);
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

/// Reads an order, carries it out, and says how many it meant.
fn ordered<F>(body: &[u8], carry_out: impl FnOnce(&Order<F>) -> usize) -> Reply
where
    Order<F>: DeserializeOwned,
{
    let mut reader = serde_json::Deserializer::from_slice(body);
    match serde_path_to_error::deserialize(&mut reader) {
        Ok(order) => say(StatusCode::OK, &json!({"chosen": carry_out(&order)})),
        Err(cause) => error(StatusCode::BAD_REQUEST, cause),
    }
}
