//! The policy's actions, the start of attempts, and what became of them.

use super::*;

impl Engine {
    pub(super) fn execute(&mut self, service: ServiceId, action: Action) {
        match action {
            Action::Send { request, server, timeout, before } => {
                self.send(request, server, timeout, before);
            }
            Action::Refuse { request, retry_after } => {
                self.answer(request, Reply::Refused { retry_after });
                self.remove_if_done(request);
            }
            Action::Fail { request } => {
                let last_outcome = self.requests.get(&request).and_then(|r| r.last_outcome);
                self.answer(
                    request,
                    Reply::Failed { late: last_outcome == Some(Outcome::Timeout) },
                );
                self.remove_if_done(request);
            }
            Action::Cancel { request, attempt } => {
                let pending = self.requests.get_mut(&request);
                let record = pending.and_then(|r| r.attempts.get_mut(attempt));
                if record.is_some_and(|t| t.task.take().is_some()) {
                    self.deferred_ends.push_back((
                        request,
                        attempt,
                        AttemptResult::without_response(Outcome::Cancelled),
                    ));
                }
            }
            Action::Arm { token, at } => {
                self.timers
                    .push(Reverse((self.clock.instant(at), TimerKind::Policy(service, token))));
            }
            Action::CloseIdle { server } => self.pool.close_idle(server),
            Action::Subscribe => self.send_order(ClientCommand::Poll),
            // The upstreams here do not support probes, and the policy sends none in that case.
            Action::Probe { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, allow: Span, before: Time) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), pending.attempts.len());
        let allowed = if allow.0 > 0 {
            now + Duration::from_micros(allow.0 as u64)
        } else {
            pending.forward.deadlines.policy()
        };
        let until = allowed.min(pending.forward.deadlines.policy());
        let disallowed_copy = pending.in_flight() > 0 && !self.second_copies;
        let target = self.upstreams.target(server);
        let mut record = Attempt { server, sent_at: now, task: None };
        let over = pending.reply.is_none() || attempt >= self.max_attempts || now >= until;
        let over = over || pending.forward.body.is_consumed();
        let (Some(target), false) = (target, over || disallowed_copy) else {
            pending.attempts.push(record);
            self.deferred_ends.push_back((
                id,
                attempt,
                AttemptResult::without_response(Outcome::NotSent),
            ));
            return;
        };
        let (pool, messages) = (self.pool.clone(), self.message_sender.clone());
        let (forward, unanswered) = (pending.forward.clone(), pending.unanswered.clone());
        let (before, violations) = (self.clock.instant(before), self.figures.violations.clone());
        let guard = AttemptGuard::new(forward, unanswered, target, before, violations);
        tracing::debug!(request = pending.forward.id(), attempt, ?server, "attempt started");
        if let Err(denial) = guard.check() {
            pending.attempts.push(record);
            self.deferred_ends.push_back((id, attempt, AttemptResult::denied(denial)));
            return;
        }
        record.task = Some(AbortOnDrop(tokio::task::spawn_local(async move {
            let result = pool.attempt(server, &guard, until).await;
            let _ = messages.send(EngineMessage::AttemptEnded { id, attempt, result });
        })));
        pending.attempts.push(record);
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: usize,
        result: AttemptResult,
    ) {
        if result.denial == Some(Denial::ClientClosed) {
            // The task of the client's connection has not processed the close yet.
            self.on_client_left(id);
        }
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(record) = pending.attempts.get_mut(attempt) else { return };
        record.task = None;
        let (server, latency) = (record.server, record.sent_at.elapsed());
        let (outcome, denial) = (result.outcome, result.denial);
        let request = pending.forward.id();
        tracing::debug!(request, attempt, ?server, ?outcome, ?denial, ?latency, "attempt ended");
        pending.last_outcome = Some(result.outcome);
        if let Some(figures) = self.upstreams.figures(server) {
            figures.record_attempt(result.outcome, latency);
        }
        // The first complete response goes to the client; later ones are dropped.
        if let Some(response) = result.response {
            self.answer(id, Reply::Served(response));
        }
        let pending = self.requests.get(&id);
        let service = pending.map(|r| r.service);
        let over = pending.is_none_or(|r| r.reply.is_none());
        let spent = pending.is_some_and(|r| r.forward.body.is_consumed());
        let answer = d::Answer {
            report: result.report,
            spent,
            ..d::Answer::new(
                id,
                attempt,
                server,
                result.outcome,
                Span(latency.as_micros() as i64),
                over,
            )
        };
        if let Some(service) = service {
            self.run_policy(service, Event::Answered(answer));
        }
        self.remove_if_done(id);
    }
}
