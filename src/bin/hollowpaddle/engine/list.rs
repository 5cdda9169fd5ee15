//! Updates of the list of upstreams, and of the services and routes.

use super::*;

impl Engine {
    pub(super) fn on_list_update(&mut self, update: ListEvent) {
        match update {
            ListEvent::Updated(list) => {
                self.apply_list(
                    &list,
                    if list.complete { ListKind::Full } else { ListKind::Update },
                );
                if let Some(keeper) = &self.keeper {
                    keeper.keep(list);
                }
            }
            ListEvent::Disconnected => {
                for service in self.services.ids() {
                    self.notify_policy(
                        service,
                        Event::Members { kind: ListKind::Unavailable, list: &[] },
                    );
                }
            }
        }
    }

    /// Applies a new set of services and routes, or keeps the current one if the new one is not acceptable.
    pub(super) fn reload(&mut self, catalog: Option<Rc<Catalog>>) {
        let single = self.services.routing().catalog.is_single();
        let reloaded = match catalog {
            // The settings of a single-service configuration are read only at startup.
            None if single => return,
            None => Err(ReloadError::Kind),
            Some(catalog) => self.services.reload(catalog, self.clock.now()),
        };
        let reloaded = match reloaded {
            Ok(reloaded) => reloaded,
            Err(cause) => {
                tracing::warn!(%cause, "reload rejected; keeping the current services and routes");
                return;
            }
        };
        let (added, removed) = (reloaded.added, reloaded.removed.len());
        tracing::info!(added, removed, "services and routes reloaded");
        for (name, classes) in service_classes(&reloaded.routing.catalog) {
            self.figures.register_service(name, classes);
        }
        if added + removed > 0 {
            self.send_order(ClientCommand::SetFilter(filter(&reloaded.routing.catalog)));
        }
        self.routing.replace(reloaded.routing);
        self.apply_changes(&reloaded.changes);
        for service in reloaded.removed {
            self.notify_policy(service, Event::Members { kind: ListKind::Full, list: &[] });
            let waits = |r: &PendingRequest| {
                r.service == service && r.reply.is_some() && r.in_flight() == 0
            };
            let pending = self.requests.iter().filter(|(_, r)| waits(r));
            let waiting: Vec<RequestId> = pending.map(|(id, _)| *id).collect();
            for id in waiting {
                self.give_up(id);
                self.remove_if_done(id);
            }
        }
    }

    pub(super) fn apply_list(&mut self, list: &List, kind: ListKind) {
        self.services.observe_wall_clock(Clock::wall(), self.clock.now());
        let DirectoryUpdate { changes, members } = self.services.apply_list(list, kind);
        self.apply_changes(&changes);
        for (service, members) in members {
            self.notify_policy(service, Event::Members { kind, list: &members });
        }
    }

    fn apply_changes(&mut self, changes: &[Change]) {
        for change in changes {
            self.upstreams.apply(change, &self.pool, &self.figures);
        }
        self.ready.set(self.services.any_live());
        self.listed_upstreams.set(self.upstreams.listed_count);
    }
}
