//! Connection targets and metrics of the upstreams.

use std::cell::Cell;
use std::rc::Rc;

use hollowpaddle::figures::{self, Figures};
use hollowpaddle::interface::{ServerId, Status};
use hollowpaddle::services::Change;

use crate::upstreams::{Pool, Target};

/// The connection target and metrics of each upstream, indexed by the policy's `ServerId`.
#[derive(Default)]
pub(super) struct UpstreamTable {
    pub(super) targets: Vec<Rc<Target>>,
    /// Metrics of the same upstreams; `None` for an upstream that is gone, and where metrics are off.
    pub(super) figures: Vec<Option<Rc<figures::Upstream>>>,
    /// Whether the same upstreams are in the current list, and how many are.
    listed: Vec<bool>,
    pub(super) listed_count: usize,
}

impl UpstreamTable {
    pub(super) fn target(&self, server: ServerId) -> Option<Rc<Target>> {
        self.targets.get(server.0 as usize).cloned()
    }

    pub(super) fn figures(&self, server: ServerId) -> Option<&figures::Upstream> {
        self.figures.get(server.0 as usize)?.as_deref()
    }

    fn set_listed(&mut self, at: usize, is_listed: bool) {
        let Some(listed) = self.listed.get_mut(at) else { return };
        match (std::mem::replace(listed, is_listed), is_listed) {
            (false, true) => self.listed_count += 1,
            (true, false) => self.listed_count -= 1,
            _ => {}
        }
    }

    /// Applies a change of one upstream.
    pub(super) fn apply(&mut self, change: &Change, pool: &Pool, figures: &Figures) {
        let at = change.server.0 as usize;
        // Server ids count up from 0, in the order in which upstreams are first listed.
        if at == self.targets.len() {
            let target = Target { address: Cell::new(change.address), closed: Cell::new(false) };
            self.targets.push(Rc::new(target));
            self.figures.push(None);
            self.listed.push(false);
        }
        self.set_listed(at, change.status != Status::Gone);
        let (Some(target), Some(metrics)) = (self.targets.get(at), self.figures.get_mut(at)) else {
            return;
        };
        if target.address.replace(change.address) != change.address {
            pool.close_idle(change.server);
        }
        target.closed.set(change.status != Status::Live);
        if change.status != Status::Gone {
            if metrics.is_none() {
                *metrics = figures.upstream(&change.id);
            }
        } else if metrics.take().is_some() {
            figures.remove_upstream(&change.id);
        }
    }
}
