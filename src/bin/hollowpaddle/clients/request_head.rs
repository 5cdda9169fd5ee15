//! What the proxy reads in the head of a client's request, and the head that it forwards.

use std::time::Duration;

use bytes::Bytes;
use hollowpaddle::interface::{Effect, Span};
use hollowpaddle::services::{Service, ServiceId};
use hollowpaddle::settings::key_hash;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Uri};
use tokio::time::Instant;

use crate::engine::Arrival;
use crate::upstreams::header_bytes;

/// Largest accepted `X-Deadline-Ms`; a longer deadline is treated as malformed.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// A head of up to this size is copied out of the buffer that it was read into.
const MAX_DETACHED_HEAD_BYTES: usize = 2 << 10;

/// Copies a short head out of hyper's read buffer, which the head would hold for as long as the request lasts, beside the
/// buffer for its body.
pub(super) fn detach_head(request: &mut Request<Incoming>) {
    let uri_bytes = request.uri().path_and_query().map_or(0, |asked| asked.as_str().len());
    if uri_bytes + header_bytes(request.headers()) > MAX_DETACHED_HEAD_BYTES {
        return;
    }
    for value in request.headers_mut().values_mut() {
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
    if let Ok(copy) = request.uri().to_string().parse() {
        *request.uri_mut() = copy;
    }
}

/// Extracts what the policy needs to know of a request; the error names the invalid header or `method`.
pub(super) fn arrival(
    service_id: ServiceId,
    service: &Service,
    head: &hyper::http::request::Parts,
    body: &Bytes,
    arrived: Instant,
) -> Result<Arrival, &'static str> {
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    text("x-request-id").filter(|id| !id.is_empty()).ok_or("X-Request-Id")?;
    let class = text("x-class").and_then(|name| service.class(name)).ok_or("X-Class")?;
    let key = head.headers.get("idempotency-key");
    let fits = match service.effects[class] {
        Effect::Safe => head.method == Method::GET && body.is_empty(),
        Effect::Keyed => head.method == Method::POST && key.is_some_and(|k| !k.is_empty()),
        Effect::Unsafe => head.method == Method::POST && key.is_none(),
    };
    if !fits {
        return Err("method");
    }
    let deadline = text("x-deadline-ms").and_then(|v| v.trim().parse::<u64>().ok());
    let deadline = deadline.filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let deadline = Duration::from_millis(deadline.ok_or("X-Deadline-Ms")?);
    let tenant = service.tenant(text("x-tenant").unwrap_or_default()).ok_or("X-Tenant")?;
    let hint = text("x-cost-hint").and_then(|v| v.trim().parse::<f64>().ok());
    Ok(Arrival {
        service: service_id,
        class,
        tenant,
        key: cookie(&head.headers, "sid").map(key_hash),
        time: deadline,
        until: arrived + deadline,
        cost_guess: hint.filter(|us| us.is_finite() && *us > 0.0).map(|us| Span(us as i64)),
        resent: text("x-retry").is_some_and(|v| v == "1"),
    })
}

/// The requested host: from the request target, else from `Host` (RFC 9112, 3.2.2); empty if neither names one.
pub(super) fn host(request: &Request<Incoming>) -> &str {
    let target = request.uri().authority().map(|a| a.as_str());
    let named = || request.headers().get(HOST).and_then(|host| host.to_str().ok());
    target.or_else(named).unwrap_or_default()
}

fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let lines = headers.get_all(COOKIE).iter().filter_map(|v| v.to_str().ok());
    let mut pairs = lines.flat_map(|l| l.split(';')).filter_map(|p| p.trim().split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
}

/// Converts an absolute-form target, which clients may send, to origin form (RFC 9112, 3.2).
pub(super) fn origin_form(uri: Uri) -> Uri {
    uri.path_and_query().map_or(Uri::default(), |asked| Uri::from(asked.clone()))
}

/// The headers of the request to an upstream.
pub(super) fn upstream_headers(mut headers: HeaderMap, length: Option<u64>) -> HeaderMap {
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    // A body of unknown length is sent chunked.
    if let Some(length) = length.filter(|n| *n > 0) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    // HTTP/1.1 requires `Host`; without it the upstream would reject the request.
    headers.entry(HOST).or_insert(HeaderValue::from_static("api.internal"));
    headers
}

/// Removes the headers that concern a single connection only (RFC 9110, 7.6.1).
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization"] {
        headers.remove(name);
    }
}
