//! The interface of the engine for client connections and signal handlers: the messages it takes and its replies.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle::interface::{RequestId, Span};
use hollowpaddle::services::{Catalog, Routing, ServiceId};
use hyper::Response;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::bodies::{BodyError, RequestBody, UpstreamResponse};
use crate::lateness::Lateness;
use crate::upstreams::{AttemptResult, Forward};

/// A message to the engine.
pub(super) enum EngineMessage {
    Arrived {
        id: RequestId,
        arrival: Arrival,
        forward: Box<Forward>,
        reply: oneshot::Sender<Reply>,
    },
    Left(RequestId),
    /// The last byte of the body has arrived; sent only for a request that was submitted with an incomplete body.
    BodyComplete(RequestId),
    AttemptEnded {
        id: RequestId,
        attempt: usize,
        result: AttemptResult,
    },
    DiscoveryMoved(Vec<SocketAddr>),
    /// Apply these services and routes.
    Reload(Option<Rc<Catalog>>),
    /// The process shuts down; all accepted requests have to be answered by then.
    Shutdown(Instant),
    /// Query: the number of upstreams in the list, and how many of them the policy currently avoids.
    UpstreamCounts(oneshot::Sender<(usize, usize)>),
}

/// The properties of a request that the policy needs.
pub struct Arrival {
    pub service: ServiceId,
    pub class: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    /// How long the client waits for its answer after it has written the last byte.
    pub time: Duration,
    /// The client's deadline.
    pub until: Instant,
    pub cost_guess: Option<Span>,
    pub resent: bool,
}

/// The final answer to a request; there is exactly one.
pub enum Reply {
    Served(Box<Response<UpstreamResponse>>),
    Refused { retry_after: Span },
    Failed { late: bool },
}

impl Reply {
    /// The kind of the reply, for the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Reply::Served(_) => "served",
            Reply::Refused { .. } => "refused",
            Reply::Failed { late: true } => "timed out",
            Reply::Failed { late: false } => "failed",
        }
    }
}

/// A cloneable handle to the engine, for client connections and signal handlers.
#[derive(Clone)]
pub struct Handle {
    pub(super) messages: mpsc::UnboundedSender<EngineMessage>,
    pub(super) next: Rc<Cell<u64>>,
    pub(super) ready: Rc<Cell<bool>>,
    pub(super) listed_upstreams: Rc<Cell<usize>>,
    pub(super) routing: Rc<RefCell<Rc<Routing>>>,
    pub(super) lateness: Rc<Lateness>,
}

impl Handle {
    /// The earliest time at which data that is read now may have arrived in the kernel.
    pub fn earliest_arrival(&self) -> Instant {
        self.lateness.earliest_arrival(Instant::now())
    }

    /// The current routing: which service a request belongs to.
    pub fn routing(&self) -> Rc<Routing> {
        self.routing.borrow().clone()
    }

    /// Applies these services and routes if they can replace the current ones; `None` stands for a configuration
    /// that names no services.
    pub fn reload(&self, catalog: Option<Rc<Catalog>>) {
        let _ = self.messages.send(EngineMessage::Reload(catalog));
    }

    /// Whether any upstream is available.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// The number of upstreams in the current list.
    pub fn listed_upstreams(&self) -> usize {
        self.listed_upstreams.get()
    }

    /// Switches the list client to these discovery addresses.
    pub fn discovery_moved(&self, addresses: Vec<SocketAddr>) {
        let _ = self.messages.send(EngineMessage::DiscoveryMoved(addresses));
    }

    /// Makes the engine answer all requests, including ones submitted later, by this time.
    pub fn shut_down_by(&self, by: Instant) {
        let _ = self.messages.send(EngineMessage::Shutdown(by));
    }

    /// The number of upstreams in the list, and how many of them currently receive no requests.
    pub async fn upstream_counts(&self) -> (usize, usize) {
        let (reply, answer) = oneshot::channel();
        let _ = self.messages.send(EngineMessage::UpstreamCounts(reply));
        answer.await.unwrap_or_default()
    }

    /// Submits a request and waits for its answer. If the future is dropped before that, the engine is notified
    /// that the client has left. If the body is still incomplete, `on_body_complete` is called after its last byte.
    ///
    /// # Errors
    /// The body ended early or was rejected; such a request gets no reply from the engine.
    pub async fn submit(
        &self,
        arrival: Arrival,
        forward: Forward,
        on_body_complete: impl FnOnce(),
    ) -> Result<Reply, BodyError> {
        let id = RequestId(self.next.replace(self.next.get() + 1));
        let (reply, mut answer) = oneshot::channel();
        let rest = forward.body.rest.clone();
        let _ = self.messages.send(EngineMessage::Arrived {
            id,
            arrival,
            forward: Box::new(forward),
            reply,
        });
        let mut notify_left = NotifyLeftOnDrop { id, messages: Some(&self.messages) };
        let mut early = None;
        if let Some(rest) = rest {
            tokio::select! {
                biased;
                how = rest.ended() => {
                    how?;
                    on_body_complete();
                    let _ = self.messages.send(EngineMessage::BodyComplete(id));
                }
                answer = &mut answer => early = Some(answer),
                () = observe_arrival(&rest) => {}
            }
        }
        let answer = match early {
            Some(answer) => answer,
            None => answer.await,
        };
        notify_left.messages = None;
        Ok(answer.unwrap_or(Reply::Failed { late: false }))
    }
}

/// Observes the arrival of a body for as long as it is polled.
async fn observe_arrival(body: &RequestBody) {
    body.observe_arrival().await;
    std::future::pending().await
}

/// Notifies the engine, when dropped, that the client left before its answer.
struct NotifyLeftOnDrop<'a> {
    id: RequestId,
    messages: Option<&'a mpsc::UnboundedSender<EngineMessage>>,
}

impl Drop for NotifyLeftOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(messages) = self.messages {
            let _ = messages.send(EngineMessage::Left(self.id));
        }
    }
}
