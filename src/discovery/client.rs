//! The client of the list: makes the calls that [`Follow`] decides on, and hands on what is told.
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
use super::follow::{Follow, Step, Verdict};
use super::member::{Message, MessageError, Phase};
use super::objects::{ObjectError, Objects};
use crate::socket::Socket;
use crate::tasks::{AbortOnDrop, settle};

/// No object of a list is longer than this, in bytes: some ten thousand members; more is not discovery.
const LONGEST_OBJECT: usize = 4 << 20;

/// A timer that fires later than this tells that the process stood still: what is silent may be what was not read.
const STALL: Duration = Duration::from_millis(250);
/// Troubles that no call ends with.
const SILENT: &str = "silence";
const OLDER: &str = "an older list";

/// What the client is told by its owner.
#[derive(Debug)]
pub enum Order {
    /// Call now, where lists are asked for.
    Ask,
    /// The list is to be had from these addresses from now on.
    Moved(Vec<SocketAddr>),
    /// These services are followed from now on. What is told next is their whole list, of the revision held or a later
    /// one; of the services before, nothing more is told.
    Filter(Filter),
}

/// What the client tells.
#[derive(Debug)]
pub enum News {
    /// The list changed; never older than what was told before, unless discovery has moved.
    Told(Message),
    /// Nothing is watched; told where lists are asked for.
    Lost,
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
enum Word {
    Answered,
    Spoke,
    Told(Message),
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

/// Follows the list, or the services of it that `filter` takes, until `orders` is closed. `connect` opens a connection,
/// [`connect`] in service.
pub async fn run<C, F, S>(
    mut follow: Follow,
    mut filter: Filter,
    connect: C,
    mut orders: mpsc::UnboundedReceiver<Order>,
    tell: impl Fn(News),
) where
    C: Fn(SocketAddr) -> F,
    F: Future<Output = std::io::Result<S>> + 'static,
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (say, mut words) = mpsc::unbounded_channel();
    let mut calls: FxHashMap<u64, AbortOnDrop> = FxHashMap::default();
    // Each cause is logged once until a watch speaks: a call that fails is soon made again.
    let mut trouble = String::new();
    loop {
        for step in follow.steps() {
            match step {
                Step::Call { serial, address, index } => {
                    let (stream, say) = (connect(address), say.clone());
                    let uri = format!("/api/targets?stream=1&index={index}{}", filter.query());
                    let call = tokio::task::spawn_local(async move {
                        let word = |word| drop(say.send((serial, address, word)));
                        if let Err(cause) = watch(stream, address, uri, word).await {
                            word(Word::Ended(cause));
                        }
                    });
                    calls.insert(serial, AbortOnDrop(call));
                }
                Step::Drop(serial) => drop(calls.remove(&serial)),
                Step::Lost => tell(News::Lost),
            }
        }
        let due = async {
            match follow.due() {
                Some(due) => sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            order = orders.recv() => match order {
                Some(Order::Ask) => follow.ask(Instant::now()),
                Some(Order::Moved(addresses)) => follow.moved(addresses, Instant::now()),
                Some(Order::Filter(other)) if other != filter => {
                    filter = other;
                    follow.refiltered(Instant::now());
                }
                Some(Order::Filter(_)) => {}
                None => return,
            },
            word = words.recv() => {
                // We hold a sender of it ourselves.
                let Some((serial, address, word)) = word else { return };
                let now = Instant::now();
                match word {
                    Word::Answered => follow.answered(serial, now),
                    Word::Spoke => {
                        if follow.spoke(serial, now) && !trouble.is_empty() {
                            tracing::info!(%address, after = trouble, "the list is watched again");
                            trouble.clear();
                        }
                    }
                    Word::Told(mut list) => {
                        let (held, told) = (follow.revision(), list.revision);
                        if follow.whole() && !list.complete {
                            // All changes there were.
                            list.complete = true;
                            list.members.retain(|m| m.phase != Phase::Deleted);
                        }
                        filter.narrow(&mut list);
                        match follow.told(serial, told, now) {
                            Verdict::Take => tell(News::Told(list)),
                            Verdict::Older if trouble != OLDER => {
                                tracing::warn!(%address, held, told, "an older list is left aside");
                                trouble = OLDER.to_owned();
                            }
                            Verdict::Older => {}
                            Verdict::Nobody => {}
                        }
                    }
                    Word::Ended(cause) => {
                        calls.remove(&serial);
                        follow.ended(serial, now);
                        let cause = cause.to_string();
                        if trouble != cause {
                            let revision = follow.revision();
                            tracing::info!(cause, %address, revision, "watch over");
                            trouble = cause;
                        }
                    }
                }
            }
            () = due => {
                if follow.due().is_some_and(|due| due.elapsed() > STALL) {
                    settle(|| !words.is_empty()).await;
                    if !words.is_empty() {
                        continue;
                    }
                }
                if !calls.is_empty() && trouble != SILENT {
                    tracing::info!(revision = follow.revision(), "the list is silent");
                    trouble = SILENT.to_owned();
                }
                follow.pass(Instant::now());
            }
        }
    }
}

/// One call, and the watch that it becomes, for as long as it lasts.
async fn watch<S>(
    connecting: impl Future<Output = std::io::Result<S>>,
    address: SocketAddr,
    uri: String,
    say: impl Fn(Word),
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
    say(Word::Answered);
    let mut body = response.into_body();
    let mut objects = Objects::new(LONGEST_OBJECT);
    loop {
        let frame = body.frame().await.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else { continue };
        objects.add(&data);
        while let Some(object) = objects.take()? {
            say(Word::Told(Message::read(&object)?));
        }
        say(Word::Spoke);
    }
}
