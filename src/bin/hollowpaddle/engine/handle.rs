//! The engine as clients' connections and signals see it: what it is told, and what it answers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use hollowpaddle::interface::{RequestId, Span};
use hollowpaddle::services::{Catalog, Routing, ServiceId};
use hyper::Response;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::bodies::{Broken, Served};
use crate::lateness::Lateness;
use crate::upstreams::{AttemptResult, Forward};

/// What the engine is told.
pub(super) enum EngineMessage {
    Arrived {
        id: RequestId,
        arrival: Arrival,
        forward: Box<Forward>,
        reply: oneshot::Sender<Reply>,
    },
    Left(RequestId),
    /// The body of a request that arrived before it was whole is whole now.
    BodyComplete(RequestId),
    AttemptEnded {
        id: RequestId,
        attempt: usize,
        result: AttemptResult,
    },
    DiscoveryMoved(Vec<SocketAddr>),
    /// These services and routes are to be in force.
    Reload(Option<Rc<Catalog>>),
    /// The process ends; by then all that was taken has to be answered.
    Shutdown(Instant),
    /// How many upstreams the list names, and how many of them the module avoids.
    UpstreamCounts(oneshot::Sender<(usize, usize)>),
}

/// A request as the module needs to know it.
pub struct Arrival {
    pub service: ServiceId,
    pub class: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    /// When the client gives up.
    pub until: Instant,
    pub cost_guess: Option<Span>,
    pub resent: bool,
}

/// The one final answer.
pub enum Reply {
    Served(Box<Response<Served>>),
    Refused { retry_after: Span },
    Failed { late: bool },
}

impl Reply {
    /// Its kind, for the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Reply::Served(_) => "served",
            Reply::Refused { .. } => "refused",
            Reply::Failed { late: true } => "timed out",
            Reply::Failed { late: false } => "failed",
        }
    }
}

/// The engine as clients' connections and signals see it.
#[derive(Clone)]
pub struct Handle {
    pub(super) messages: mpsc::UnboundedSender<EngineMessage>,
    pub(super) next: Rc<Cell<u64>>,
    pub(super) ready: Rc<Cell<bool>>,
    pub(super) routing: Rc<RefCell<Rc<Routing>>>,
    pub(super) lateness: Rc<Lateness>,
}

impl Handle {
    /// The earliest moment at which what is read now may have come.
    pub fn earliest_arrival(&self) -> Instant {
        self.lateness.earliest_arrival(Instant::now())
    }

    /// Which request is whose, as it is in force now.
    pub fn routing(&self) -> Rc<Routing> {
        self.routing.borrow().clone()
    }

    /// These services and routes are to be in force, if they can take the place of those that are; `None` for a
    /// configuration that names no services.
    pub fn reload(&self, catalog: Option<Rc<Catalog>>) {
        let _ = self.messages.send(EngineMessage::Reload(catalog));
    }

    /// Whether there is anywhere to send to.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// The list is to be had from these addresses from now on.
    pub fn discovery_moved(&self, addresses: Vec<SocketAddr>) {
        let _ = self.messages.send(EngineMessage::DiscoveryMoved(addresses));
    }

    /// All that is taken, now or later, is answered by then.
    pub fn shut_down_by(&self, by: Instant) {
        let _ = self.messages.send(EngineMessage::Shutdown(by));
    }

    /// How many upstreams the list names, and how many of them get nothing now.
    pub async fn upstream_counts(&self) -> (usize, usize) {
        let (reply, answer) = oneshot::channel();
        let _ = self.messages.send(EngineMessage::UpstreamCounts(reply));
        answer.await.unwrap_or_default()
    }

    /// Hands in a request and waits for its answer. Dropped before that, it tells that the client left. Of a
    /// body that is still coming, `whole` is told its end; one that breaks has no answer.
    pub async fn submit(
        &self,
        arrival: Arrival,
        forward: Forward,
        on_body_complete: impl FnOnce(),
    ) -> Result<Reply, Broken> {
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

/// Tells of a client that went away before its answer.
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
