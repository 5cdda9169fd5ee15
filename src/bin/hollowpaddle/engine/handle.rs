//! The engine as clients' connections and signals see it: what it is told, and what it answers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use hollowpaddle::interface::{RequestId, Span};
use hollowpaddle::services::{Catalog, Routing, ServiceId};
use hyper::Response;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::bodies::{BodyError, UpstreamResponse};
use crate::lateness::Lateness;
use crate::upstreams::{Ended, Forward};

/// What the engine is told.
pub(super) enum Note {
    Arrived {
        id: RequestId,
        arrival: Arrival,
        forward: Box<Forward>,
        reply: oneshot::Sender<Reply>,
    },
    Left(RequestId),
    /// The body of a request that arrived before it was whole is whole now.
    Whole(RequestId),
    Ended {
        id: RequestId,
        attempt: usize,
        ended: Ended,
    },
    DiscoveryMoved(Vec<SocketAddr>),
    /// These services and routes are to be in force.
    Reload(Option<Rc<Catalog>>),
    /// The process ends; by then all that was taken has to be answered.
    Ending(Instant),
    /// How many upstreams the list names, and how many of them the module avoids.
    Pool(oneshot::Sender<(usize, usize)>),
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
    Served(Box<Response<UpstreamResponse>>),
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
    pub(super) notes: mpsc::UnboundedSender<Note>,
    pub(super) next: Rc<Cell<u64>>,
    pub(super) ready: Rc<Cell<bool>>,
    pub(super) routing: Rc<RefCell<Rc<Routing>>>,
    pub(super) lateness: Rc<Lateness>,
}

impl Handle {
    /// The earliest moment at which what is read now may have come.
    pub fn arrived(&self) -> Instant {
        self.lateness.arrived(Instant::now())
    }

    /// Which request is whose, as it is in force now.
    pub fn routing(&self) -> Rc<Routing> {
        self.routing.borrow().clone()
    }

    /// These services and routes are to be in force, if they can take the place of those that are; `None` for a
    /// configuration that names no services.
    pub fn reload(&self, catalog: Option<Rc<Catalog>>) {
        let _ = self.notes.send(Note::Reload(catalog));
    }

    /// Whether there is anywhere to send to.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// The list is to be had from these addresses from now on.
    pub fn discovery_moved(&self, addresses: Vec<SocketAddr>) {
        let _ = self.notes.send(Note::DiscoveryMoved(addresses));
    }

    /// All that is taken, now or later, is answered by then.
    pub fn ending(&self, by: Instant) {
        let _ = self.notes.send(Note::Ending(by));
    }

    /// How many upstreams the list names, and how many of them get nothing now.
    pub async fn pool(&self) -> (usize, usize) {
        let (reply, answer) = oneshot::channel();
        let _ = self.notes.send(Note::Pool(reply));
        answer.await.unwrap_or_default()
    }

    /// Hands in a request and waits for its answer. Dropped before that, it tells that the client left. Of a
    /// body that is still coming, `whole` is told its end; one that breaks has no answer.
    pub async fn ask(
        &self,
        arrival: Arrival,
        forward: Forward,
        whole: impl FnOnce(),
    ) -> Result<Reply, BodyError> {
        let id = RequestId(self.next.replace(self.next.get() + 1));
        let (reply, mut answer) = oneshot::channel();
        let rest = forward.body.rest.clone();
        let _ = self.notes.send(Note::Arrived { id, arrival, forward: Box::new(forward), reply });
        let mut leaving = Leaving { id, notes: Some(&self.notes) };
        let mut early = None;
        if let Some(rest) = rest {
            tokio::select! {
                biased;
                how = rest.ended() => {
                    how?;
                    whole();
                    let _ = self.notes.send(Note::Whole(id));
                }
                answer = &mut answer => early = Some(answer),
            }
        }
        let answer = match early {
            Some(answer) => answer,
            None => answer.await,
        };
        leaving.notes = None;
        Ok(answer.unwrap_or(Reply::Failed { late: false }))
    }
}

/// Tells of a client that went away before its answer.
struct Leaving<'a> {
    id: RequestId,
    notes: Option<&'a mpsc::UnboundedSender<Note>>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(notes) = self.notes {
            let _ = notes.send(Note::Left(self.id));
        }
    }
}
