//! Which service a request is for: routes by host and path prefix.
//!
//! **Host.** A route's `host` is empty (any host), a name, an IPv6 literal in brackets, or a wildcard
//! `*.example.com`, which stands for one or more labels before the name behind it (RFC 4592 has the same for DNS). An
//! exact host is more specific than a wildcard, a wildcard with a longer name more than one with a shorter, any host
//! the least. Names are compared without regard to case (RFC 9110, section 4.2.3) and without a trailing dot, and the
//! port of the request's authority is not looked at. A literal is compared as written but for case: `[::1]` is not
//! `[0::1]`. A request whose host is neither name nor literal (an empty label, a port that is no number) matches
//! routes for any host only.
//!
//! **Path.** A route's `prefix` matches whole segments only: `/api` matches `/api`, `/api/` and `/api/x`, not `/apis`.
//! Slashes at its end change nothing, so that `/api/` is `/api`, and both `/` and the empty prefix match all paths, also
//! the `*` of `OPTIONS *`. The query is no part of the path. A path is compared as written: case counts, `%61` is not
//! `a`, empty segments count, and `.` and `..` are segments like others (who wants them resolved does so before).
//!
//! **Order.** The host is decided first, then the longest prefix within the routes of that host. Where none of these
//! matches, the next less specific host is tried.
//!
//! **Cost.** A look-up is one of a hash table: one for the exact host, one for each label of the host, and one for each
//! segment of the path and host that has routes, none of which grows with the count of routes; labels and segments
//! that are longer or more than those of any route are not looked up.
//!
//! Two routes with the same host and prefix are refused, as is whatever cannot match: see [`RouteError`].

mod error;
mod host;
mod path;
#[cfg(test)]
mod tests;

use std::collections::HashMap;

use rustc_hash::FxHashMap;

pub use error::{HostFault, PrefixFault, RouteError};
use host::Pattern;
use path::Prefixes;

/// One route as configuration states it. The [module](self) says what matches.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// A name, `*.` and a name, an IPv6 literal in brackets, or empty for any host.
    #[serde(default)]
    pub host: String,
    /// Leading segments of the path, beginning with `/`; empty for all paths.
    #[serde(default)]
    pub prefix: String,
    /// The name of the service that requests go to.
    pub service: String,
}

/// All routes, in the form that requests are looked up in. It does not change once built.
#[derive(Debug)]
pub struct RouteTable {
    exact: FxHashMap<Box<str>, Prefixes>,
    /// By the name behind `*.`.
    wildcards: FxHashMap<Box<str>, Prefixes>,
    any_host: Prefixes,
    /// Most bytes of a key of `wildcards`.
    max_wildcard_bytes: usize,
    /// The service of each route.
    targets: Box<[usize]>,
}

impl RouteTable {
    /// Checks `routes` and builds their table. `services` are the names that exist; what [`RouteTable::find`] gives
    /// counts within them (of equal names, the first).
    pub fn new(routes: &[Route], services: &[impl AsRef<str>]) -> Result<Self, RouteError> {
        let mut service_indexes = HashMap::with_capacity(services.len());
        for (i, service) in services.iter().enumerate() {
            service_indexes.entry(service.as_ref()).or_insert(i);
        }
        let mut table = Self {
            exact: FxHashMap::default(),
            wildcards: FxHashMap::default(),
            any_host: Prefixes::default(),
            max_wildcard_bytes: 0,
            targets: Box::default(),
        };
        let mut targets = Vec::with_capacity(routes.len());
        for (route, stated) in routes.iter().enumerate() {
            let pattern =
                Pattern::parse(&stated.host).map_err(|fault| RouteError::Host { route, fault })?;
            let prefix =
                path::parse(&stated.prefix).map_err(|fault| RouteError::Prefix { route, fault })?;
            let Some(index) = service_indexes.get(stated.service.as_str()) else {
                return Err(RouteError::Service { route, service: stated.service.clone() });
            };
            targets.push(*index);
            table
                .prefixes(pattern)
                .insert(prefix, route)
                .map_err(|first| RouteError::Duplicate { route, first })?;
        }
        table.targets = targets.into();
        table.exact.shrink_to_fit();
        table.wildcards.shrink_to_fit();
        table
            .exact
            .values_mut()
            .chain(table.wildcards.values_mut())
            .for_each(Prefixes::shrink_to_fit);
        table.any_host.shrink_to_fit();
        Ok(table)
    }

    fn prefixes(&mut self, pattern: Pattern) -> &mut Prefixes {
        match pattern {
            Pattern::Any => &mut self.any_host,
            Pattern::Exact(name) => self.exact.entry(name.into()).or_default(),
            Pattern::Wildcard(suffix) => {
                self.max_wildcard_bytes = self.max_wildcard_bytes.max(suffix.len());
                self.wildcards.entry(suffix.into()).or_default()
            }
        }
    }

    /// The index of the service of the most specific route, or none. `host` is the request's authority, with or
    /// without port, empty if it has none; `path` may have its query.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        self.find_counted(host, path).0
    }

    /// As [`RouteTable::find`], with the count of look-ups that it took.
    #[doc(hidden)]
    pub fn find_counted(&self, host: &str, path: &str) -> (Option<usize>, usize) {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut lookups = 0;
        let route = self.route(host, path, &mut lookups);
        (route.map(|route| self.targets[route]), lookups)
    }

    fn route(&self, host: &str, path: &str, lookups: &mut usize) -> Option<usize> {
        let host = host::from_authority(host);
        if !self.exact.is_empty() {
            *lookups += 1;
            let found = self.exact.get(&*host).and_then(|p| p.find(path, lookups));
            if found.is_some() {
                return found;
            }
        }
        if !self.wildcards.is_empty() {
            for suffix in host::suffixes(&host, self.max_wildcard_bytes) {
                *lookups += 1;
                let found = self.wildcards.get(suffix).and_then(|p| p.find(path, lookups));
                if found.is_some() {
                    return found;
                }
            }
        }
        self.any_host.find(path, lookups)
    }

    /// The count of routes.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there are no routes: then none is found.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
