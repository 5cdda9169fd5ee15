//! Short calls over HTTP/1.1 between processes of the program and from its operators: [`serve`] answers them,
//! [`ask`] makes one, [`instances::Instances`] makes one of whichever instance can decide it.

pub mod instances;

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::process::{Resource, getrlimit, setrlimit};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::socket::{Socket, after_failed_accept};
use crate::tasks::AbortOnDrop;

/// PROTOCOL: no body exceeds 64 KiB; nor does a head here.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// A caller that has not sent a whole head by then is let go.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Descriptors that are no caller's: standard streams, listeners, event queue, the state on disk, calls to others.
const RESERVED_DESCRIPTORS: usize = 64;
/// Callers over the limit who are told so at once; the next are closed.
const MAX_CONCURRENT_REFUSALS: usize = 16;
/// How long one of them may take to hear it.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// One call as it came.
#[derive(Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: String,
    /// Its body, whole.
    pub body: Bytes,
}

/// What it is answered with.
pub type Reply = Response<Full<Bytes>>;

/// An answer in JSON, on one line.
pub fn json_reply(status: StatusCode, value: &Value) -> Reply {
    reply_with_type(status, "application/json", format!("{value}\n").into_bytes())
}

/// An error in JSON: `{"error":"..."}`.
pub fn error(status: StatusCode, cause: impl std::fmt::Display) -> Reply {
    json_reply(status, &json!({ "error": cause.to_string() }))
}

/// An answer of this content type.
pub fn reply_with_type(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Raises this process's limit of descriptors as far as the system lets it, and returns it: a list service holds one
/// for each proxy.
pub fn raise_descriptor_limit() -> usize {
    let mut limit = getrlimit(Resource::Nofile);
    let most = limit.maximum;
    if limit.current != most {
        limit.current = most;
        if let Err(cause) = setrlimit(Resource::Nofile, limit) {
            tracing::warn!(%cause, "the limit of descriptors stays as it is");
        }
    }
    descriptors()
}

fn descriptors() -> usize {
    let most = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    usize::try_from(most).unwrap_or(usize::MAX)
}

thread_local! {
    /// Connections open on all listeners of this thread, on which a process has them all.
    static OPEN_CONNECTIONS: Cell<usize> = const { Cell::new(0) };
}

/// One connection's slot, given back when dropped.
struct ConnectionSlot;

impl ConnectionSlot {
    fn take(most: usize) -> Option<Self> {
        let open = OPEN_CONNECTIONS.get();
        (open < most).then(|| {
            OPEN_CONNECTIONS.set(open + 1);
            Self
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        OPEN_CONNECTIONS.set(OPEN_CONNECTIONS.get() - 1);
    }
}

/// Accepts connections until the task is dropped, and hands each stream to `handle_connection`: as many at once as the
/// process has descriptors for. The next get 503, and the log says so once; so it does of accepts that fail.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    handle_connection: impl Fn(TcpStream) -> F,
) {
    accept_at_most(descriptors().saturating_sub(RESERVED_DESCRIPTORS), listener, handle_connection)
        .await;
}

async fn accept_at_most<F: Future<Output = ()> + 'static>(
    most: usize,
    listener: TcpListener,
    handle_connection: impl Fn(TcpStream) -> F,
) {
    let (refusals, mut reported) = (Rc::new(()), false);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(cause) => {
                if !std::mem::replace(&mut reported, true) {
                    tracing::warn!(%cause, "connections are not accepted");
                }
                after_failed_accept(&cause).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        if let Some(slot) = ConnectionSlot::take(most) {
            if std::mem::replace(&mut reported, false) {
                tracing::info!("connections are accepted again");
            }
            let handle_connection = handle_connection(stream);
            tokio::task::spawn_local(async move {
                handle_connection.await;
                drop(slot);
            });
            continue;
        }
        if !std::mem::replace(&mut reported, true) {
            tracing::warn!(
                most,
                "the limit of descriptors allows no more connections; callers get 503"
            );
        }
        if Rc::strong_count(&refusals) <= MAX_CONCURRENT_REFUSALS {
            let refusal = refusals.clone();
            tokio::task::spawn_local(async move {
                let _ = timeout(REFUSAL_TIMEOUT, refuse(stream, most)).await;
                drop(refusal);
            });
        }
    }
}

/// Answers a caller over the limit.
async fn refuse(stream: TcpStream, most: usize) -> Result<(), hyper::Error> {
    let service = service_fn(|_| async move {
        let cause = format!("{most} connections are open, and no more are allowed");
        let mut answer = error(StatusCode::SERVICE_UNAVAILABLE, cause);
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        Ok::<_, Infallible>(answer)
    });
    connection()
        .keep_alive(false)
        .serve_connection(TokioIo::new(Socket::new(stream)), service)
        .await
}

/// A server for one connection: bounded heads, and bounded time for each.
pub fn connection() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .max_buf_size(MAX_BODY_BYTES);
    builder
}

/// Answers calls until the task is dropped. A body over `limit` of its path, in bytes, gets 413 and one that breaks
/// off 400, without `answer` being asked.
pub async fn serve<A, F>(listener: TcpListener, limit: fn(&str) -> usize, answer: A)
where
    A: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let answer = Rc::new(answer);
    accept(listener, move |stream| {
        let answer = answer.clone();
        async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let limit = limit(head.uri.path());
                    let body = match Limited::new(body, limit).collect().await {
                        Ok(body) => body.to_bytes(),
                        Err(cause) if cause.is::<http_body_util::LengthLimitError>() => {
                            let cause = format!("a body over {limit} bytes");
                            return Ok(error(StatusCode::PAYLOAD_TOO_LARGE, cause));
                        }
                        Err(cause) => return Ok(error(StatusCode::BAD_REQUEST, cause)),
                    };
                    let path = head.uri.path().to_owned();
                    Ok::<_, Infallible>(answer(Call { method: head.method, path, body }).await)
                }
            });
            let served = connection().serve_connection(TokioIo::new(Socket::new(stream)), service);
            if let Err(cause) = served.await {
                tracing::debug!(%cause, "a call");
            }
        }
    })
    .await;
}

/// Why a call got no whole answer. Unless it is [`CallError::Connect`], it may have been carried out.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection: it was not made.
    #[error("{0}: connect: {1}")]
    Connect(SocketAddr, std::io::Error),
    /// The connection broke, or what came is no HTTP.
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
    /// The answer is too long or broke off.
    #[error("{0}: the answer: {1}")]
    Body(SocketAddr, Box<dyn std::error::Error + Send + Sync>),
    /// The request can't be made.
    #[error("{0}: {1}")]
    Request(SocketAddr, hyper::http::Error),
    /// No answer in time.
    #[error("{0}: no answer within {1:?}")]
    Silent(SocketAddr, Duration),
}

/// A connection that calls are made on, one at a time.
pub struct PersistentConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _connection: AbortOnDrop,
}

impl PersistentConnection {
    /// Connects.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let connect = |cause| CallError::Connect(address, cause);
        let stream = TcpStream::connect(address).await.map_err(connect)?;
        stream.set_nodelay(true).map_err(connect)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(Socket::new(stream)))
                .await
                .map_err(|e| CallError::Http(address, e))?;
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Self { address, sender, _connection: AbortOnDrop(task) })
    }

    /// One call; the answer's status and body, of at most `most` bytes.
    ///
    /// # Errors
    /// [`CallError`]; the line is of no more use.
    pub async fn ask(
        &mut self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
        most: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let address = self.address;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .body(Full::new(body.into()))
            .map_err(|e| CallError::Request(address, e))?;
        let http = |e| CallError::Http(address, e);
        self.sender.ready().await.map_err(http)?;
        let answer = self.sender.send_request(request).await.map_err(http)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), most).collect().await;
        Ok((status, body.map_err(|e| CallError::Body(address, e))?.to_bytes()))
    }
}

/// One call on a connection of its own; the answer's status and body, of at most 16 MiB.
///
/// # Errors
/// [`CallError`].
pub async fn ask(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
    within: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let call = async {
        PersistentConnection::open(address).await?.ask(method, path, body, 16 << 20).await
    };
    timeout(within, call).await.unwrap_or(Err(CallError::Silent(address, within)))
}

#[cfg(test)]
mod tests;
