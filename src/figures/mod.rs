//! Metrics of the proxy. Counters are incremented where the event happens and never decremented. The
//! `prometheus-client` crate holds them and encodes them in Prometheus's text format.

mod body;
mod upstreams;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use prometheus_client::encoding::prometheus_text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rustc_hash::FxHashMap;
use serde_json::{Map, Value, json};

use crate::invariants::violations::Violations;
pub use body::MetricsBody;
pub use upstreams::Upstream;
use upstreams::Upstreams;

const PROMETHEUS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

type Labels = Vec<(String, String)>;
type UnsignedGauge = Gauge<u64, AtomicU64>;

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}

/// Metrics of a single scrape, built from values that are counted elsewhere.
#[derive(Default)]
pub struct MetricsText {
    registry: Registry,
    gauges: HashMap<&'static str, Family<Labels, UnsignedGauge>>,
    counters: HashMap<&'static str, Family<Labels, Counter>>,
}

impl MetricsText {
    /// Creates an empty set of metrics.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a gauge, with one series for these label pairs.
    pub fn gauge(&mut self, name: &'static str, help: &str, pairs: &[(&str, &str)], value: u64) {
        let family = self.gauges.entry(name).or_insert_with(|| {
            let family = Family::default();
            self.registry.register(name, help, family.clone());
            family
        });
        family.get_or_create(&labels(pairs)).set(value);
    }

    /// Adds a counter, with one series for these label pairs; the encoder appends `_total` to its name.
    pub fn counter(&mut self, name: &'static str, help: &str, pairs: &[(&str, &str)], value: u64) {
        let family = self.counters.entry(name).or_insert_with(|| {
            let family = Family::default();
            self.registry.register(name, help, family.clone());
            family
        });
        family.get_or_create(&labels(pairs)).inc_by(value);
    }

    /// The response to the scrape: 200 with the encoded metrics, or 500 if encoding fails.
    pub fn reply(&self) -> Response<Full<Bytes>> {
        encode_response(&self.registry)
    }
}

fn encode_response(registry: &Registry) -> Response<Full<Bytes>> {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => crate::calls::reply_with_type(
            StatusCode::OK,
            PROMETHEUS_CONTENT_TYPE,
            text.into_bytes(),
        ),
        Err(cause) => crate::calls::error(StatusCode::INTERNAL_SERVER_ERROR, cause),
    }
}

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With the response of an upstream.
    Served,
    /// Rejected; the client can safely retry.
    Refused,
    /// With any other failure.
    Failed,
}

struct Responses {
    service: String,
    class: String,
    ok: Counter,
    shed: Counter,
    errors: Counter,
}

/// The metrics of one proxy.
pub struct Figures {
    registry: Registry,
    requests: Family<Labels, Counter>,
    responses: RefCell<Vec<Responses>>,
    /// Index in `responses` of the first class of each service.
    services: RefCell<FxHashMap<String, usize>>,
    /// Attempts whose last byte was written to an upstream; incremented by the upstream connections.
    pub tries: Counter,
    /// Requests whose time passed before all of their body was passed on.
    pub uploads_timed_out: Counter,
    /// Attempts that timed out although their response had begun.
    pub responses_timed_out: Counter,
    /// Violations of protocol rules.
    pub violations: Violations,
    active: Gauge,
    pool: [Gauge; 2],
    upstreams: Upstreams,
    /// Whether metrics are recorded per upstream; only if there is a management address to read them at.
    per_upstream: bool,
}

impl Figures {
    /// Creates the metrics of a proxy, without services: [`Figures::register_service`] adds them. `per_upstream` is
    /// whether the proxy has a management address, where metrics per upstream can be read.
    pub fn new(per_upstream: bool) -> Rc<Self> {
        let mut registry = Registry::default();
        let requests = Family::<Labels, Counter>::default();
        let (tries, uploads_timed_out) = (Counter::default(), Counter::default());
        let responses_timed_out = Counter::default();
        let active = Gauge::default();
        let pool: [Gauge; 2] = Default::default();
        registry.register("requests", "Requests ended, by class and how", requests.clone());
        registry.register("tries", "Attempts written whole to upstreams", tries.clone());
        registry.register(
            "uploads_timed_out",
            "Requests whose time passed before all of their body was passed on",
            uploads_timed_out.clone(),
        );
        registry.register(
            "responses_timed_out",
            "Attempts that timed out although their response had begun",
            responses_timed_out.clone(),
        );
        registry.register("active", "Requests taken and not ended", active.clone());
        registry.register("pool_size", "Upstreams in the list", pool[0].clone());
        registry.register("pool_ejected", "Upstreams avoided now", pool[1].clone());
        let violations = Violations::registered(&mut registry);
        let (responses, services) = Default::default();
        Rc::new(Self {
            registry,
            requests,
            responses,
            services,
            tries,
            uploads_timed_out,
            responses_timed_out,
            violations,
            active,
            pool,
            upstreams: Upstreams::default(),
            per_upstream,
        })
    }

    /// Adds the series of a service, unless it has them already. The name is empty if the proxy has a single service.
    /// Every class is present from the start, at 0: a missing series could not be told apart from one that is never
    /// incremented.
    pub fn register_service<'a>(&self, service: &str, classes: impl Iterator<Item = &'a str>) {
        let mut services = self.services.borrow_mut();
        if services.contains_key(service) {
            return;
        }
        let mut responses = self.responses.borrow_mut();
        services.insert(service.to_owned(), responses.len());
        for class in classes {
            let counter = |end: &str| {
                let mut pairs = vec![("class", class), ("end", end)];
                if !service.is_empty() {
                    pairs.push(("service", service));
                }
                self.requests.get_or_create(&labels(&pairs)).clone()
            };
            responses.push(Responses {
                service: service.to_owned(),
                class: class.to_owned(),
                ok: counter("ok"),
                shed: counter("shed"),
                errors: counter("errors"),
            });
        }
    }

    /// Counts a request of this service as active until the returned guard is dropped.
    pub fn start_request(self: &Rc<Self>, service: &str, class: usize) -> ActiveRequest {
        self.active.inc();
        let class = self.services.borrow().get(service).map(|first| first + class);
        ActiveRequest { figures: self.clone(), class, end: Cell::new(None) }
    }

    /// The metrics of this upstream; `None` if metrics are not recorded per upstream.
    pub fn upstream(&self, id: &str) -> Option<Rc<Upstream>> {
        self.per_upstream.then(|| self.upstreams.upstream(id))
    }

    /// Removes the series of an upstream that has left the list for good.
    pub fn remove_upstream(&self, id: &str) {
        self.upstreams.remove(id);
    }

    /// The metrics as JSON, with the number of upstreams in the list and of those avoided now.
    pub fn to_json(&self, (pool_size, pool_ejected): (usize, usize)) -> Value {
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

    /// The response to a Prometheus scrape: the same metrics and those per upstream, which are encoded while they are sent.
    pub fn prometheus_response(
        self: &Rc<Self>,
        (size, ejected): (usize, usize),
    ) -> Response<MetricsBody> {
        self.pool[0].set(size as i64);
        self.pool[1].set(ejected as i64);
        let mut response = Response::new(MetricsBody::new(self.clone()));
        let kind = HeaderValue::from_static(PROMETHEUS_CONTENT_TYPE);
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    /// The metrics of the whole proxy in Prometheus's text format.
    fn encode_totals(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// A guard of an active request, from the last byte of the request to the last byte of the response. It is dropped
/// with the response and then counts the request by its end; a request whose client left before there was a response
/// has no end and is not counted.
pub struct ActiveRequest {
    figures: Rc<Figures>,
    class: Option<usize>,
    end: Cell<Option<End>>,
}

impl ActiveRequest {
    /// Sets how the request is counted when the guard is dropped; the last call wins.
    pub fn set_end(&self, end: End) {
        self.end.set(Some(end));
    }
}

impl Drop for ActiveRequest {
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
