//! Holds one duty over HTTP: performs the steps that [`Holder`] decides, on this machine's monotonic clock.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::holder::{Holder, Step};
use super::table::Token;
use crate::calls::instances::Instances;

/// One process's claim on one duty, maintained by [`Duty::run`].
pub struct Duty {
    name: String,
    holder: String,
    ttl: Duration,
    instances: Rc<Instances>,
    claim: RefCell<Holder>,
    start: Instant,
    token_sender: watch::Sender<Option<Token>>,
    /// How often this process was granted the duty.
    pub grants: Cell<u64>,
}

impl Duty {
    /// A claim of `holder` on the duty `name`; no call is made before [`Duty::run`]. Each holder of a duty must
    /// have a unique name.
    pub fn new(instances: Rc<Instances>, name: &str, holder: &str, ttl: Duration) -> Rc<Self> {
        Rc::new(Self {
            name: name.to_owned(),
            holder: holder.to_owned(),
            ttl,
            instances,
            claim: RefCell::new(Holder::new(ttl)),
            start: Instant::now(),
            token_sender: watch::Sender::new(None),
            grants: Cell::new(0),
        })
    }

    /// The token, while the duty may be performed. Read it right before every write and send it with the write:
    /// if this process was paused in between, the receiver refuses the stale token.
    pub fn token(&self) -> Option<Token> {
        self.claim.borrow().token(self.start.elapsed())
    }

    /// A receiver for grants and losses. Its value may lag behind [`Duty::token`], which is authoritative.
    pub fn watch(&self) -> watch::Receiver<Option<Token>> {
        self.token_sender.subscribe()
    }

    /// Renewals that were granted, and grants that were lost, since the start.
    pub fn counts(&self) -> (u64, u64) {
        let claim = self.claim.borrow();
        (claim.renewals, claim.lost)
    }

    fn report_loss(&self, token: Token, cause: &str) {
        self.token_sender.send_replace(None);
        tracing::warn!(duty = self.name, lease = token, cause, "duty lost");
    }

    /// Acquires and renews the lease until the future is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            let now = self.start.elapsed();
            let step = self.claim.borrow_mut().step(now);
            match step {
                Step::Wait(until) => sleep_until(self.start + until).await,
                Step::Stop(token) => self.report_loss(token, "no renewal in time"),
                Step::Acquire => self.acquire(now).await,
                Step::Renew(token) => self.renew(token, now).await,
            }
        }
    }

    async fn acquire(&self, sent_at: Duration) {
        let ttl_ms = self.ttl.as_millis() as u64;
        let body = json!({"duty": self.name, "holder": self.holder, "ttl_ms": ttl_ms});
        let call_timeout = self.claim.borrow().call_timeout();
        let answer = self.instances.post("/admin/leases/acquire", &body, call_timeout).await;
        let now = self.start.elapsed();
        let mut claim = self.claim.borrow_mut();
        match answer {
            Ok((StatusCode::OK, value)) => {
                let Some(token) = value["grant"]["token"].as_u64() else {
                    claim.unanswered(now);
                    return;
                };
                claim.granted(token, sent_at);
                if claim.token(now).is_some() {
                    self.grants.set(self.grants.get() + 1);
                    self.token_sender.send_replace(Some(token));
                    tracing::info!(duty = self.name, lease = token, "duty held");
                }
            }
            Ok((status, value)) => {
                tracing::debug!(duty = self.name, %status, answer = %value, "duty was not granted");
                claim.refused(now);
            }
            Err(cause) => {
                tracing::debug!(duty = self.name, %cause, "duty was not granted");
                claim.unanswered(now);
            }
        }
    }

    /// Renews the lease. The call must end before the lease does, so that the holder stops in time.
    async fn renew(&self, token: Token, sent_at: Duration) {
        let body = json!({"duty": self.name, "token": token});
        let (call_timeout, until) = {
            let claim = self.claim.borrow();
            (claim.call_timeout(), claim.until().unwrap_or(sent_at))
        };
        let call_timeout = call_timeout.min(until.saturating_sub(sent_at));
        let answer = self.instances.post("/admin/leases/renew", &body, call_timeout).await;
        let now = self.start.elapsed();
        let mut claim = self.claim.borrow_mut();
        match answer {
            Ok((StatusCode::OK, _)) => claim.renewed(sent_at),
            Ok((StatusCode::CONFLICT, value)) => {
                if let Some(token) = claim.refused(now) {
                    self.report_loss(token, value["error"].as_str().unwrap_or("refused"));
                }
            }
            Ok((status, _)) => {
                tracing::warn!(duty = self.name, lease = token, %status, "renewal failed");
                claim.unanswered(now);
            }
            Err(cause) => {
                tracing::warn!(duty = self.name, lease = token, %cause, "renewal failed");
                claim.unanswered(now);
            }
        }
    }

    /// Releases the duty, so that the next holder does not have to wait for the TTL.
    pub async fn release(&self) {
        let Some(token) = self.token() else { return };
        self.claim.borrow_mut().released(self.start.elapsed());
        self.token_sender.send_replace(None);
        let body = json!({"duty": self.name, "token": token});
        let _ = self.instances.post("/admin/leases/release", &body, self.ttl / 3).await;
        tracing::info!(duty = self.name, lease = token, "duty released");
    }
}
