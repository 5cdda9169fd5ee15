//! Client of the list service: makes the calls that [`WatchPlanner`] decides on and passes list updates to its owner.
//!
//! Runs inside a `LocalSet`: one task for the client and one for each call (PROTOCOL, "Discovery").

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::filter::Filter;
use super::member::{Message, MessageError, Phase};
use super::objects::{ObjectError, Objects};
use super::watch_planner::{Step, Verdict, WatchPlanner};
use crate::socket::Socket;
use crate::tasks::{AbortOnDrop, yield_until};

/// Maximum size of one object of a list, in bytes: about ten thousand members. Anything longer is not from discovery.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// A timer that fires later than this indicates a process stall: a watch may look idle only because its data has not
/// been read yet.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Values of `last_cause` that are not errors of a call.
const IDLE: &str = "silence";
const OLDER_LIST: &str = "an older list";

/// A command from the client's owner.
#[derive(Debug)]
pub enum ClientCommand {
    /// Call now; for [`Mode::OnDemand`](super::watch_planner::Mode::OnDemand).
    Poll,
    /// Use these addresses of the list service from now on.
    SetAddresses(Vec<SocketAddr>),
    /// Watch these services from now on. The next update is their full list, at the current revision or a later one;
    /// there are no further updates of the previous services.
    SetFilter(Filter),
}

/// An event reported by the client.
#[derive(Debug)]
pub enum ListEvent {
    /// The list changed. The revision never goes back, except after [`ClientCommand::SetAddresses`].
    Updated(Message),
    /// No call or watch is open; reported only in [`Mode::OnDemand`](super::watch_planner::Mode::OnDemand).
    Disconnected,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("unexpected HTTP status {0}")]
    Status(hyper::StatusCode),
    #[error("invalid list: {0}")]
    Object(#[from] ObjectError),
    #[error("invalid list: {0}")]
    Message(#[from] MessageError),
    #[error("ended")]
    Ended,
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// An event sent by the task of a call.
enum CallEvent {
    Answered,
    Alive,
    Update(Message),
    Ended(WatchError),
}

/// Opens a TCP connection with `TCP_NODELAY`.
///
/// # Errors
/// The I/O error of the connect or of the socket option.
pub async fn connect(address: SocketAddr) -> std::io::Result<Socket> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(Socket::new(stream))
}

/// Watches the services that match `filter` until `commands` is closed, and reports events to `notify`. Connections
/// are opened by `connect`; production code passes [`connect`].
pub async fn run<C, F, S>(
    mut planner: WatchPlanner,
    mut filter: Filter,
    connect: C,
    mut commands: mpsc::UnboundedReceiver<ClientCommand>,
    notify: impl Fn(ListEvent),
) where
    C: Fn(SocketAddr) -> F,
    F: Future<Output = std::io::Result<S>> + 'static,
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (events, mut received) = mpsc::unbounded_channel();
    let mut calls: FxHashMap<u64, AbortOnDrop> = FxHashMap::default();
    // Failed calls are soon retried, so each cause is logged once until a watch receives data again.
    let mut last_cause = String::new();
    loop {
        for step in planner.steps() {
            match step {
                Step::Call { serial, address, index } => {
                    let (stream, events) = (connect(address), events.clone());
                    let uri = format!("/api/targets?stream=1&index={index}{}", filter.query());
                    let call = tokio::task::spawn_local(async move {
                        let report = |event| drop(events.send((serial, address, event)));
                        if let Err(cause) = watch(stream, address, uri, report).await {
                            report(CallEvent::Ended(cause));
                        }
                    });
                    calls.insert(serial, AbortOnDrop(call));
                }
                Step::Drop(serial) => drop(calls.remove(&serial)),
                Step::Disconnected => notify(ListEvent::Disconnected),
            }
        }
        let due = async {
            match planner.due() {
                Some(due) => sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            command = commands.recv() => match command {
                Some(ClientCommand::Poll) => planner.poll(Instant::now()),
                Some(ClientCommand::SetAddresses(addresses)) => {
                    planner.set_addresses(addresses, Instant::now())
                }
                Some(ClientCommand::SetFilter(other)) if other != filter => {
                    filter = other;
                    planner.filter_changed(Instant::now());
                }
                Some(ClientCommand::SetFilter(_)) => {}
                None => return,
            },
            event = received.recv() => {
                // Never `None`: this function holds a sender of the channel.
                let Some((serial, address, event)) = event else { return };
                let now = Instant::now();
                match event {
                    CallEvent::Answered => planner.answered(serial, now),
                    CallEvent::Alive => {
                        if planner.alive(serial, now) && !last_cause.is_empty() {
                            tracing::info!(%address, after = last_cause, "list watch re-established");
                            last_cause.clear();
                        }
                    }
                    CallEvent::Update(mut list) => {
                        let (held, told) = (planner.revision(), list.revision);
                        if planner.needs_full_list() && !list.complete {
                            // Changes since index 0 are the full list.
                            list.complete = true;
                            list.members.retain(|m| m.phase != Phase::Deleted);
                        }
                        filter.apply_to(&mut list);
                        match planner.update_received(serial, told, now) {
                            Verdict::Accept => notify(ListEvent::Updated(list)),
                            Verdict::Older if last_cause != OLDER_LIST => {
                                tracing::warn!(
                                    %address,
                                    held,
                                    told,
                                    "ignored a list older than the current one"
                                );
                                last_cause = OLDER_LIST.to_owned();
                            }
                            Verdict::Older => {}
                            Verdict::ClosedCall => {}
                        }
                    }
                    CallEvent::Ended(cause) => {
                        calls.remove(&serial);
                        planner.ended(serial, now);
                        let cause = cause.to_string();
                        if last_cause != cause {
                            let revision = planner.revision();
                            tracing::info!(cause, %address, revision, "list watch ended");
                            last_cause = cause;
                        }
                    }
                }
            }
            () = due => {
                if planner.due().is_some_and(|due| due.elapsed() > STALL_THRESHOLD) {
                    yield_until(|| !received.is_empty()).await;
                    if !received.is_empty() {
                        continue;
                    }
                }
                if !calls.is_empty() && last_cause != IDLE {
                    tracing::info!(revision = planner.revision(), "list watch is idle");
                    last_cause = IDLE.to_owned();
                }
                planner.tick(Instant::now());
            }
        }
    }
}

/// Makes one call and reads the watch that it opens until it ends or fails.
async fn watch<S>(
    connecting: impl Future<Output = std::io::Result<S>>,
    address: SocketAddr,
    uri: String,
    report: impl Fn(CallEvent),
) -> Result<(), WatchError>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let stream = TokioIo::new(connecting.await?);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
    let _connection = AbortOnDrop(tokio::task::spawn_local(async move {
        let _ = connection.await;
    }));
    let request = Request::get(uri).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(WatchError::Status(response.status()));
    }
    report(CallEvent::Answered);
    let mut body = response.into_body();
    let mut objects = Objects::new(MAX_OBJECT_BYTES);
    loop {
        let frame = body.frame().await.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else { continue };
        objects.add(&data);
        while let Some(object) = objects.take()? {
            report(CallEvent::Update(Message::read(&object)?));
        }
        report(CallEvent::Alive);
    }
}
