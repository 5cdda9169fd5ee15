//! Short HTTP/1.1 calls between processes of the program and from its operators: [`serve`] answers calls, [`ask`]
//! makes one, and [`instances::Instances`] sends one to whichever list service instance can decide it.

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

/// The largest request body that PROTOCOL allows, 64 KiB. Request heads have the same limit here.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// A connection is closed if its caller has not sent a complete request head within this time.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// File descriptors that are not available to callers: standard streams, listeners, the event queue, state files, and
/// outgoing calls.
const RESERVED_DESCRIPTORS: usize = 64;
/// How many connections over the limit may be answered with 503 at the same time; further ones are closed.
const MAX_CONCURRENT_REFUSALS: usize = 16;
/// How long answering a refused connection may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// A received call.
#[derive(Debug)]
pub struct Call {
    /// The request method.
    pub method: Method,
    /// The request path, without the query.
    pub path: String,
    /// The complete request body.
    pub body: Bytes,
}

/// The response to a call.
pub type Reply = Response<Full<Bytes>>;

/// A JSON response on one line.
pub fn json_reply(status: StatusCode, value: &Value) -> Reply {
    reply_with_type(status, "application/json", format!("{value}\n").into_bytes())
}

/// An error response in JSON: `{"error":"..."}`.
pub fn error(status: StatusCode, cause: impl std::fmt::Display) -> Reply {
    json_reply(status, &json!({ "error": cause.to_string() }))
}

/// A response with the content type `kind`.
pub fn reply_with_type(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Raises the process's file descriptor limit to the hard limit and returns the limit in force. A list service
/// instance needs one descriptor for each proxy.
pub fn raise_descriptor_limit() -> usize {
    let mut limit = getrlimit(Resource::Nofile);
    let most = limit.maximum;
    if limit.current != most {
        limit.current = most;
        if let Err(cause) = setrlimit(Resource::Nofile, limit) {
            tracing::warn!(%cause, "cannot raise the file descriptor limit");
        }
    }
    descriptors()
}

fn descriptors() -> usize {
    let most = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    usize::try_from(most).unwrap_or(usize::MAX)
}

thread_local! {
    /// Connections open on all listeners of this thread. A process runs all its listeners on one thread.
    static OPEN_CONNECTIONS: Cell<usize> = const { Cell::new(0) };
}

/// A reserved connection slot, released when dropped.
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

/// Accepts connections until the task is dropped and passes each stream to `handle_connection`. The number of open
/// connections is limited by the process's file descriptors; connections over the limit get 503. The first refused
/// connection or failed accept is logged, and then nothing until connections are accepted again.
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
                    tracing::warn!(%cause, "cannot accept connections");
                }
                after_failed_accept(&cause).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        if let Some(slot) = ConnectionSlot::take(most) {
            if std::mem::replace(&mut reported, false) {
                tracing::info!("accepting connections again");
            }
            let handle_connection = handle_connection(stream);
            tokio::task::spawn_local(async move {
                handle_connection.await;
                drop(slot);
            });
            continue;
        }
        if !std::mem::replace(&mut reported, true) {
            tracing::warn!(most, "file descriptor limit reached; refusing connections with 503");
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

/// Answers the first request of a connection over the limit with 503.
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

/// An HTTP/1.1 connection builder that limits the size of request heads and the time to read one.
pub fn connection() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .max_buf_size(MAX_BODY_BYTES);
    builder
}

/// Serves calls until the task is dropped. `limit` gives the largest body for a path, in bytes. A larger body gets
/// 413 and a truncated one 400, in both cases without calling `answer`.
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
                tracing::debug!(%cause, "connection of a call failed");
            }
        }
    })
    .await;
}

/// Why a call got no complete answer. Except for [`CallError::Connect`], the call may have been carried out.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be made, so the call was not sent.
    #[error("{0}: connect: {1}")]
    Connect(SocketAddr, std::io::Error),
    /// The connection failed, or the answer is not valid HTTP.
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
    /// The body of the answer is too long or truncated.
    #[error("{0}: the answer: {1}")]
    Body(SocketAddr, Box<dyn std::error::Error + Send + Sync>),
    /// The request could not be built.
    #[error("{0}: {1}")]
    Request(SocketAddr, hyper::http::Error),
    /// No answer within the time allowed.
    #[error("{0}: no answer within {1:?}")]
    Silent(SocketAddr, Duration),
}

/// A persistent connection to one address, for calls one at a time.
pub struct PersistentConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _connection: AbortOnDrop,
}

impl PersistentConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    /// [`CallError::Connect`] or [`CallError::Http`].
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

    /// Makes a call and returns the status and body of the answer. The body may have at most `most` bytes.
    ///
    /// # Errors
    /// [`CallError`]; the connection must not be used again.
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

/// Makes a call on a new connection and returns the status and body of the answer. The body may have at most 16 MiB.
///
/// # Errors
/// [`CallError`]; [`CallError::Silent`] if the call takes longer than `within`.
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
