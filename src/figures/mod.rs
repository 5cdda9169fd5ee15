//! What operators are told of the service, counted where it happens and never taken back. Counted and written in
//! Prometheus's text format by the `prometheus-client` crate.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use prometheus_client::encoding::prometheus_text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use rustc_hash::FxHashMap;
use serde_json::{Map, Value, json};

use crate::interface::Outcome;
use crate::invariants::violations::Violations;

/// The content type of Prometheus's text format.
const TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

type Labels = Vec<(String, String)>;
type Whole = Gauge<u64, AtomicU64>;

fn labels(from: &[(&str, &str)]) -> Labels {
    from.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}

/// Figures read off for one scrape, for what is counted elsewhere.
#[derive(Default)]
pub struct Text {
    registry: Registry,
    gauges: HashMap<&'static str, Family<Labels, Whole>>,
    counters: HashMap<&'static str, Family<Labels, Counter>>,
}

impl Text {
    /// Nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A figure that may fall.
    pub fn gauge(&mut self, name: &'static str, help: &str, of: &[(&str, &str)], value: u64) {
        let family = self.gauges.entry(name).or_insert_with(|| {
            let family = Family::default();
            self.registry.register(name, help, family.clone());
            family
        });
        family.get_or_create(&labels(of)).set(value);
    }

    /// A figure that only rises; `_total` is added to its name.
    pub fn counter(&mut self, name: &'static str, help: &str, of: &[(&str, &str)], value: u64) {
        let family = self.counters.entry(name).or_insert_with(|| {
            let family = Family::default();
            self.registry.register(name, help, family.clone());
            family
        });
        family.get_or_create(&labels(of)).inc_by(value);
    }

    /// The answer to a scrape.
    pub fn reply(&self) -> Response<Full<Bytes>> {
        scraped(&self.registry)
    }
}

fn scraped(registry: &Registry) -> Response<Full<Bytes>> {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => crate::calls::reply_with_type(StatusCode::OK, TEXT, text.into_bytes()),
        Err(cause) => crate::calls::error(StatusCode::INTERNAL_SERVER_ERROR, cause),
    }
}

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With an upstream's answer.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Neither.
    Failed,
}

struct Responses {
    service: String,
    class: String,
    ok: Counter,
    shed: Counter,
    errors: Counter,
}

/// What one upstream did with the attempts it was sent, as this proxy saw it.
pub struct Upstream {
    served: Counter,
    errors: Counter,
    refused: Counter,
    unreachable: Counter,
    latency: Histogram,
}

impl Upstream {
    /// An attempt there ended so after this time. One that was withdrawn or never issued tells nothing of it.
    pub fn ended(&self, outcome: Outcome, after: Duration) {
        match outcome {
            Outcome::Ok => {
                self.served.inc();
                self.latency.observe(after.as_secs_f64());
            }
            // The time waited is the least that it would have taken.
            Outcome::Timeout => {
                self.errors.inc();
                self.latency.observe(after.as_secs_f64());
            }
            Outcome::Error | Outcome::Reset => drop(self.errors.inc()),
            Outcome::Full => drop(self.refused.inc()),
            Outcome::ConnectFailed => drop(self.unreachable.inc()),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}

/// Upper bounds of the latency buckets, in seconds: 1 ms to some 20 s, each a third above the one before.
fn latency() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 4.0 / 3.0, 36))
}

/// The figures of one proxy.
pub struct Figures {
    registry: Registry,
    requests: Family<Labels, Counter>,
    responses: RefCell<Vec<Responses>>,
    /// Where the classes of each service begin there.
    services: RefCell<FxHashMap<String, usize>>,
    /// Attempts whose last byte was handed over to an upstream; the streams to upstreams count them.
    pub tries: Counter,
    /// Rules of the protocol that were broken.
    pub violations: Violations,
    active: Gauge,
    pool: [Gauge; 2],
    attempts: Family<Labels, Counter>,
    latencies: Family<Labels, Histogram, fn() -> Histogram>,
    /// Upstreams are told apart only where operators can ask.
    asked: bool,
}

impl Figures {
    /// Of a proxy whose services are told of by [`Figures::serve`]; `asked` is whether operators have an address to
    /// ask at.
    pub fn new(asked: bool) -> Rc<Self> {
        let mut registry = Registry::default();
        let requests = Family::<Labels, Counter>::default();
        let (tries, active) = (Counter::default(), Gauge::default());
        let pool: [Gauge; 2] = Default::default();
        let attempts = Family::<Labels, Counter>::default();
        let latencies = Family::new_with_constructor(latency as fn() -> Histogram);
        registry.register("requests", "Requests ended, by class and how", requests.clone());
        registry.register("tries", "Attempts written whole to upstreams", tries.clone());
        registry.register("active", "Requests taken and not ended", active.clone());
        registry.register("pool_size", "Upstreams in the list", pool[0].clone());
        registry.register("pool_ejected", "Upstreams avoided now", pool[1].clone());
        registry.register(
            "upstream_attempts",
            "Attempts ended, by upstream and how",
            attempts.clone(),
        );
        registry.register(
            "upstream_latency_seconds",
            "Time of attempts that were served or timed out, by upstream",
            latencies.clone(),
        );
        let violations = Violations::registered(&mut registry);
        let (responses, services) = Default::default();
        Rc::new(Self {
            registry,
            requests,
            responses,
            services,
            tries,
            violations,
            active,
            pool,
            attempts,
            latencies,
            asked,
        })
    }

    /// A service is served from now on; the name of a proxy's only one is empty. Every class is there from the start:
    /// an absent one could not be told from one that is never counted.
    pub fn serve<'a>(&self, service: &str, classes: impl Iterator<Item = &'a str>) {
        let mut services = self.services.borrow_mut();
        if services.contains_key(service) {
            return;
        }
        let mut responses = self.responses.borrow_mut();
        services.insert(service.to_owned(), responses.len());
        for class in classes {
            let of = |end: &str| {
                let mut of = vec![("class", class), ("end", end)];
                if !service.is_empty() {
                    of.push(("service", service));
                }
                self.requests.get_or_create(&labels(&of)).clone()
            };
            responses.push(Responses {
                service: service.to_owned(),
                class: class.to_owned(),
                ok: of("ok"),
                shed: of("shed"),
                errors: of("errors"),
            });
        }
    }

    /// A request of this service has been taken.
    pub fn take(self: &Rc<Self>, service: &str, class: usize) -> Taken {
        self.active.inc();
        let class = self.services.borrow().get(service).map(|first| first + class);
        Taken { figures: self.clone(), class, end: Cell::new(None) }
    }

    /// The figures of this upstream; `None` where nobody can ask for them.
    pub fn upstream(&self, id: &str) -> Option<Upstream> {
        let of =
            |end| self.attempts.get_or_create(&labels(&[("upstream", id), ("end", end)])).clone();
        self.asked.then(|| Upstream {
            served: of("served"),
            errors: of("errors"),
            refused: of("refused"),
            unreachable: of("unreachable"),
            latency: self.latencies.get_or_create(&labels(&[("upstream", id)])).clone(),
        })
    }

    /// This upstream is gone for good.
    pub fn forget(&self, id: &str) {
        for end in ["served", "errors", "refused", "unreachable"] {
            self.attempts.remove(&labels(&[("upstream", id), ("end", end)]));
        }
        self.latencies.remove(&labels(&[("upstream", id)]));
    }

    /// The figures as operators read them, with what the module tells of its upstreams.
    pub fn told(&self, (pool_size, pool_ejected): (usize, usize)) -> Value {
        let mut responses = Map::new();
        for r in self.responses.borrow().iter() {
            let (ok, shed, errors) = (r.ok.get(), r.shed.get(), r.errors.get());
            let name = match r.service.as_str() {
                "" => r.class.clone(),
                service => format!("{service}/{}", r.class),
            };
            responses.insert(name, json!({"ok": ok, "shed": shed, "errors": errors}));
        }
        json!({
            "responses": responses,
            "tries": self.tries.get(),
            "active": self.active.get(),
            "pool_size": pool_size,
            "pool_ejected": pool_ejected,
        })
    }

    /// The same and the upstreams', as Prometheus reads them.
    pub fn scraped(&self, (size, ejected): (usize, usize)) -> Response<Full<Bytes>> {
        self.pool[0].set(size as i64);
        self.pool[1].set(ejected as i64);
        scraped(&self.registry)
    }
}

/// A request from its last byte to the last byte of its answer. It goes with the answer, and counts when that
/// is done with; a client that left before there was one counts under nothing.
pub struct Taken {
    figures: Rc<Figures>,
    class: Option<usize>,
    end: Cell<Option<End>>,
}

impl Taken {
    /// What it will count as; the last word holds.
    pub fn ends(&self, end: End) {
        self.end.set(Some(end));
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let figures = &self.figures;
        figures.active.dec();
        let responses = figures.responses.borrow();
        let Some(responses) = self.class.and_then(|c| responses.get(c)) else { return };
        match self.end.get() {
            Some(End::Served) => drop(responses.ok.inc()),
            Some(End::Refused) => drop(responses.shed.inc()),
            Some(End::Failed) => drop(responses.errors.inc()),
            None => {}
        }
    }
}
