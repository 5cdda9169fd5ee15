//! Slow start: limits the rate of sends to an upstream that has just started.

use super::*;

/// Send rate to an own upstream in slow start, as a share of `fall_multiple`; few proxies own it.
const OWNER_PACE_SHARE: f64 = 1.0 / 3.0;
/// The send rate keeps rising for this many times the cold period. Otherwise all
/// proxies would send at once at its end.
const RAMP_EXTENSION: f64 = 2.0;

impl Balancer {
    /// Least share of its capacity that an upstream has in its cold period; `None` once warm.
    pub(super) fn cold_share(&self, now: Time, s: &Server) -> Option<f64> {
        self.ramp(now, s, 1.0)
    }

    /// The linear ramp of `cold_share`, extended to `times` the cold period; `None` after that.
    pub(super) fn ramp(&self, now: Time, s: &Server, times: f64) -> Option<f64> {
        let rules = &self.settings.rules;
        let progress = now.since(s.started?).f().max(0.0) / rules.cold.f().max(1.0);
        (progress < times).then_some(rules.cold_from + (1.0 - rules.cold_from) * progress)
    }

    pub(super) fn slow_start_allows(&self, now: Time, s: &Server) -> bool {
        self.earned_sends(now, s).is_none_or(|tokens| tokens >= 1.0)
    }

    /// Tokens in the bucket of an upstream in slow start, one at most; `None` after slow start.
    pub(super) fn earned_sends(&self, now: Time, s: &Server) -> Option<f64> {
        let share = self.ramp(now, s, RAMP_EXTENSION)?;
        let elapsed = now.since(s.refilled).f().max(0.0);
        Some((s.tokens + elapsed * self.warm_rate(s) * share).min(1.0))
    }

    /// Observed answers per microsecond of a warm upstream of the same kind and weight, as the base of its
    /// send rate.
    pub(super) fn warm_rate(&self, s: &Server) -> f64 {
        let f = &self.fleet;
        let like = f.warm_rate.get(s.kind as usize).copied().unwrap_or(0.0);
        let rate = s.weight * if like > 0.0 { like } else { f.overall_warm_rate };
        let multiple = self.settings.rules.fall_multiple.max(1.0);
        // With all upstreams in slow start, or nothing observed yet, they need requests all the same.
        let min_rate = multiple / f64::from(self.settings.balancers) / f.ts;
        let rate = if rate > 0.0 { rate } else { min_rate };
        // Only the proxies that own an upstream send to it, not all of them evenly.
        let owner = if s.distance <= OWN_DISTANCE {
            multiple * OWNER_PACE_SHARE * self.concurrency(s) / f.ts
        } else {
            0.0
        };
        rate.max(owner)
    }

    pub(super) fn count_send(&mut self, now: Time, server: usize) {
        let Some(earned) = self.earned_sends(now, &self.servers[server]) else { return };
        let s = &mut self.servers[server];
        (s.tokens, s.refilled) = (earned - 1.0, now);
    }

    /// Counts what warm upstreams served, not what they were sent: when upstreams reject many requests, the
    /// sends of all proxies add up to a multiple of an upstream's capacity.
    pub(super) fn count_served(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        if self.cold_share(now, s).is_some() {
            return;
        }
        let kind = s.kind as usize;
        let served = &mut self.fleet.warm_served;
        served.resize(served.len().max(kind + 1), 0.0);
        served[kind] += 1.0;
    }

    pub(super) fn refresh_warm(&mut self, now: Time) {
        let elapsed = now.since(self.fleet.counted).f();
        self.fleet.counted = now;
        let mut weight = vec![0.0; self.fleet.warm_served.len()];
        for i in 0..self.servers.len() {
            let s = &self.servers[i];
            if s.status != Status::Live {
                continue;
            }
            if let Some(earned) = self.earned_sends(now, s) {
                let s = &mut self.servers[i];
                (s.tokens, s.refilled) = (earned, now);
            } else if let Some(w) = weight.get_mut(s.kind as usize) {
                *w += s.weight;
            }
        }
        let window = self.settings.rules.tip_after.f().max(1.0);
        let cold = self.settings.rules.cold.f().max(1.0);
        let f = &mut self.fleet;
        f.warm_served.iter_mut().for_each(|w| *w *= (-elapsed / window).exp());
        f.warm_rate.resize(weight.len(), 0.0);
        // A decaying peak, so that slower warm upstreams don't throttle those in slow start.
        let keep = |peak: &mut f64, served: f64, weight: f64| {
            let seen = if weight > 0.0 && served >= 1.0 { served / window / weight } else { 0.0 };
            *peak = (*peak * (-elapsed / cold).exp()).max(seen);
        };
        keep(&mut f.overall_warm_rate, f.warm_served.iter().sum(), weight.iter().sum());
        for ((peak, served), weight) in f.warm_rate.iter_mut().zip(&f.warm_served).zip(weight) {
            keep(peak, *served, weight);
        }
    }
}
