//! The client of the list: makes the calls that [`WatchPlanner`] decides on, and hands on what is told.
//!
//! One task for as long as the client lives, and one for each call (PROTOCOL, "Discovery"). Runs inside a
//! `LocalSet`.

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
use crate::tasks::{AbortOnDrop, settle};

/// No object of a list is longer than this, in bytes: some ten thousand members; more is not discovery.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// A timer that fires later than this tells that the process stood still: what is silent may be what was not read.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Troubles that no call ends with.
const IDLE: &str = "silence";
const OLDER_LIST: &str = "an older list";

/// What the client is told by its owner.
#[derive(Debug)]
pub enum ClientCommand {
    /// Call now, where lists are asked for.
    Poll,
    /// The list is to be had from these addresses from now on.
    SetAddresses(Vec<SocketAddr>),
    /// These services are followed from now on. What is told next is their whole list, of the revision held or a later
    /// one; of the services before, nothing more is told.
    SetFilter(Filter),
}

/// What the client tells.
#[derive(Debug)]
pub enum ListEvent {
    /// The list changed; never older than what was told before, unless discovery has moved.
    Updated(Message),
    /// Nothing is watched; told where lists are asked for.
    Disconnected,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(hyper::StatusCode),
    #[error("no list: {0}")]
    Object(#[from] ObjectError),
    #[error("no list: {0}")]
    Message(#[from] MessageError),
    #[error("ended")]
    Ended,
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// What a call's task says.
enum CallEvent {
    Answered,
    Alive,
    Update(Message),
    Ended(WatchError),
}

/// Connects by TCP.
///
/// # Errors
/// As the system says.
pub async fn connect(address: SocketAddr) -> std::io::Result<Socket> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(Socket::new(stream))
}

/// Follows the list, or the services of it that `filter` takes, until `commands` is closed. `connect` opens a connection,
/// [`connect`] in service.
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
    // Each cause is logged once until a watch speaks: a call that fails is soon made again.
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
                Some(ClientCommand::SetAddresses(addresses)) => planner.set_addresses(addresses, Instant::now()),
                Some(ClientCommand::SetFilter(other)) if other != filter => {
                    filter = other;
                    planner.filter_changed(Instant::now());
                }
                Some(ClientCommand::SetFilter(_)) => {}
                None => return,
            },
            event = received.recv() => {
                // We hold a sender of it ourselves.
                let Some((serial, address, event)) = event else { return };
                let now = Instant::now();
                match event {
                    CallEvent::Answered => planner.answered(serial, now),
                    CallEvent::Alive => {
                        if planner.alive(serial, now) && !last_cause.is_empty() {
                            tracing::info!(%address, after = last_cause, "the list is watched again");
                            last_cause.clear();
                        }
                    }
                    CallEvent::Update(mut list) => {
                        let (held, told) = (planner.revision(), list.revision);
                        if planner.needs_full_list() && !list.complete {
                            // All changes there were.
                            list.complete = true;
                            list.members.retain(|m| m.phase != Phase::Deleted);
                        }
                        filter.apply_to(&mut list);
                        match planner.update_received(serial, told, now) {
                            Verdict::Accept => notify(ListEvent::Updated(list)),
                            Verdict::Older if last_cause != OLDER_LIST => {
                                tracing::warn!(%address, held, told, "an older list is left aside");
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
                            tracing::info!(cause, %address, revision, "watch over");
                            last_cause = cause;
                        }
                    }
                }
            }
            () = due => {
                if planner.due().is_some_and(|due| due.elapsed() > STALL_THRESHOLD) {
                    settle(|| !received.is_empty()).await;
                    if !received.is_empty() {
                        continue;
                    }
                }
                if !calls.is_empty() && last_cause != IDLE {
                    tracing::info!(revision = planner.revision(), "the list is silent");
                    last_cause = IDLE.to_owned();
                }
                planner.tick(Instant::now());
            }
        }
    }
}

/// One call, and the watch that it becomes, for as long as it lasts.
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
