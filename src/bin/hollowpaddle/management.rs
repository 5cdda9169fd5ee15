//! The management HTTP server for operators. Takes one call per connection, and stays responsive under client load
//! and with any number of callers that hold a connection without completing their call.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle::calls::{Reply, json_reply};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

use crate::engine::Handle;
use crate::lifecycle::Lifecycle;
use hollowpaddle::figures::{Figures, MetricsBody};
use hollowpaddle::socket::{Socket, after_failed_accept};
use hollowpaddle::tasks::AbortOnDrop;

/// The number of concurrent management connections, each with one file descriptor. A complete call is answered as
/// soon as it is read, so this limit is reached only by callers that don't complete theirs.
pub const MAX_CONNECTIONS: usize = 16;
/// The time limit for a call, from accepting the connection to the last byte of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for reading all metrics, which may be many megabytes: as long as Prometheus waits by default.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(10);
/// Buffer size for a request head, in bytes: the minimum that hyper allows.
const HEAD_LIMIT: usize = 8 << 10;
/// The largest request body, in bytes; calls need none.
const BODY_LIMIT: usize = 4 << 10;

/// An answer to a call, which is short but for the metrics.
type Answer = Response<Either<Full<Bytes>, MetricsBody>>;

#[derive(Clone, Copy)]
enum Call {
    Health,
    Stats,
    Metrics,
    Quiesce,
    Resume,
}

impl Call {
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/admin/health" => Some(Call::Health),
            "/admin/stats" => Some(Call::Stats),
            "/metrics" => Some(Call::Metrics),
            "/admin/quiesce" => Some(Call::Quiesce),
            "/admin/resume" => Some(Call::Resume),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            Call::Health | Call::Stats | Call::Metrics => Method::GET,
            Call::Quiesce | Call::Resume => Method::POST,
        }
    }
}

pub struct Management {
    engine: Handle,
    lifecycle: Rc<Lifecycle>,
    figures: Rc<Figures>,
}

impl Management {
    pub fn new(engine: Handle, lifecycle: Rc<Lifecycle>, figures: Rc<Figures>) -> Rc<Self> {
        Rc::new(Self { engine, lifecycle, figures })
    }

    /// Answers calls for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut calls = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    calls.retain(|c: &AbortOnDrop| !c.0.is_finished());
                    // At the limit, closes the oldest connection: it had the most time to complete its call.
                    if calls.len() >= MAX_CONNECTIONS {
                        calls.pop_front();
                    }
                    let call = tokio::task::spawn_local(self.clone().call(stream));
                    calls.push_back(AbortOnDrop(call));
                }
                Err(cause) => {
                    tracing::warn!(%cause, "cannot accept a management connection");
                    after_failed_accept(&cause).await;
                }
            }
        }
    }

    async fn call(self: Rc<Self>, stream: TcpStream) {
        let deadline = Cell::new(Instant::now() + CALL_TIMEOUT);
        let service = service_fn(|request| self.answer(request, &deadline));
        let connection = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(TokioIo::new(Socket::new(stream)), service);
        let expired = async {
            while Instant::now() < deadline.get() {
                sleep_until(deadline.get()).await;
            }
        };
        tokio::select! {
            _ = connection => {}
            () = expired => {}
        }
    }

    /// Answers a call; sets a later `deadline` if reading the answer may take longer.
    async fn answer(
        &self,
        request: Request<Incoming>,
        deadline: &Cell<Instant>,
    ) -> Result<Answer, Infallible> {
        let (head, body) = request.into_parts();
        if Limited::new(body, BODY_LIMIT).collect().await.is_err() {
            let answer = json_reply(StatusCode::BAD_REQUEST, &json!({"error": "the body"}));
            return Ok(answer.map(Either::Left));
        }
        let Some(call) = Call::from_path(head.uri.path()) else {
            let answer = json_reply(StatusCode::NOT_FOUND, &json!({"error": "no such call"}));
            return Ok(answer.map(Either::Left));
        };
        let method = call.method();
        if head.method != method {
            let mut answer =
                json_reply(StatusCode::METHOD_NOT_ALLOWED, &json!({"error": "the method"}));
            if let Ok(value) = HeaderValue::from_str(method.as_str()) {
                answer.headers_mut().insert(ALLOW, value);
            }
            return Ok(answer.map(Either::Left));
        }
        let answer = match call {
            Call::Health => self.health(),
            Call::Stats => json_reply(
                StatusCode::OK,
                &self.figures.to_json(self.engine.upstream_counts().await),
            ),
            Call::Metrics => {
                let counts = self.engine.upstream_counts().await;
                deadline.set(Instant::now() + SCRAPE_TIMEOUT);
                return Ok(self.figures.prometheus_response(counts).map(Either::Right));
            }
            Call::Quiesce => self.phase_reply(self.lifecycle.quiesce()),
            Call::Resume => self.phase_reply(self.lifecycle.resume()),
        };
        Ok(answer.map(Either::Left))
    }

    fn health(&self) -> Reply {
        let upstreams = self.engine.ready();
        let ready = upstreams && self.lifecycle.serving();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let phase = self.lifecycle.phase().name();
        json_reply(
            status,
            &json!({"ready": ready, "phase": phase, "upstreams": upstreams, "pid": std::process::id()}),
        )
    }

    /// Replies to a phase command. It fails only when the process is stopping, which is final.
    fn phase_reply(&self, done: bool) -> Reply {
        let status = if done { StatusCode::OK } else { StatusCode::CONFLICT };
        json_reply(status, &json!({"phase": self.lifecycle.phase().name()}))
    }
}
