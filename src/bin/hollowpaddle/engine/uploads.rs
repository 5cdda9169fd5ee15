//! Requests whose body is still being received: their time starts with the last byte, which the client may have written
//! before it can be read here.

use super::*;

/// When a request whose body is incomplete must be looked at.
enum UploadDue {
    Now,
    At(Instant),
}

impl Engine {
    /// The last byte of the request body was received: its deadline counts from when it may have been written.
    pub(super) fn on_body_complete(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(time) = pending.time_after_body.take() else { return };
        let now = Instant::now();
        let read = self.lateness.earliest_arrival(now);
        let arrived = pending.forward.body.rest.as_ref().map_or(read, |b| b.arrived_at().min(read));
        let until = arrived + time;
        let client_deadline = self.shutdown_deadline.map_or(until, |by| by.min(until));
        pending.forward.deadlines.set_client(client_deadline, now);
        pending.attempts.iter_mut().filter(|a| a.task.is_some()).for_each(|a| a.sent_at = now);
        tracing::debug!(
            request = pending.forward.id(),
            received = pending.forward.received(),
            unread_ms = millis(now.saturating_duration_since(arrived)),
            left_ms = millis(client_deadline.saturating_duration_since(now)),
            "request body complete"
        );
        self.timers.push(Reverse((pending.forward.deadlines.backstop(), TimerKind::Deadline(id))));
        let service = pending.service;
        self.notify_policy(service, Event::BodyComplete(id));
    }

    /// When to look at a request again whose body is incomplete, and whether it must be answered by then if nothing more of
    /// the body arrives; `None` for other requests.
    fn upload_due(&self, id: RequestId) -> Option<UploadDue> {
        let pending = self.requests.get(&id).filter(|pending| pending.reply.is_some())?;
        let time = pending.time_after_body?;
        let now = Instant::now();
        let by_body = pending.forward.body.rest.as_ref()?.due(time);
        let by_body = by_body.map(|until| backstop(until, headroom(until, until - time)));
        let due = by_body.into_iter().chain(self.shutdown_deadline).min();
        Some(match due {
            Some(at) if at <= now => UploadDue::Now,
            Some(at) => UploadDue::At(at),
            None => UploadDue::At(now + time),
        })
    }

    /// Looks at a request whose body is incomplete; returns false for other requests.
    pub(super) fn check_upload(&mut self, id: RequestId) -> bool {
        match self.upload_due(id) {
            None => return false,
            Some(UploadDue::At(at)) => self.timers.push(Reverse((at, TimerKind::Deadline(id)))),
            Some(UploadDue::Now) => self.end_upload(id),
        }
        true
    }

    /// By when the engine answers a request whose body is complete.
    pub(super) fn answer_due(&self, id: RequestId) -> Option<Instant> {
        Some(self.requests.get(&id)?.forward.deadlines.backstop())
    }

    /// Answers a request whose time is over before all of its body was read, and ends its attempts: they have not sent all
    /// of it.
    fn end_upload(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let attempts = pending.in_flight();
        tracing::info!(
            request = pending.forward.id(),
            received = pending.forward.received(),
            attempts,
            "request body was not passed on in time"
        );
        self.figures.uploads_timed_out.inc();
        self.give_up(id);
        self.end_unfinished_attempts(id, Outcome::Timeout);
        self.process_deferred_ends();
        self.remove_if_done(id);
    }

    /// Ends the attempts of a request of which a part is still here: no more of it is sent for a client that has its answer
    /// or has left, and without the rest it cannot run.
    pub(super) fn end_unfinished_attempts(&mut self, id: RequestId, outcome: Outcome) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if pending.forward.body.rest.as_ref().is_none_or(|rest| rest.is_complete()) {
            return;
        }
        for (attempt, record) in pending.attempts.iter_mut().enumerate() {
            if record.task.take().is_some() {
                let result = AttemptResult::without_response(outcome);
                self.deferred_ends.push_back((id, attempt, result));
            }
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
