//! Routes requests to services by host and path prefix.
//!
//! **Host.** A route's `host` is empty (any host), a name, an IPv6 literal in brackets, or a wildcard
//! `*.example.com`, which matches one or more labels before the name that follows it (as in DNS, RFC 4592). An exact
//! host is more specific than a wildcard, a wildcard with a longer name is more specific than one with a shorter name,
//! and any host is the least specific. Names are compared case-insensitively (RFC 9110, section 4.2.3) and without a
//! trailing dot, and the port of the request's authority is ignored. A literal is compared as written except for case:
//! `[::1]` is not `[0::1]`. A request whose host is neither a name nor a literal (an empty label, a port that is not a
//! number) matches only routes for any host.
//!
//! **Path.** A route's `prefix` matches whole segments only: `/api` matches `/api`, `/api/` and `/api/x`, not `/apis`.
//! Trailing slashes are ignored, so `/api/` equals `/api`, and both `/` and the empty prefix match all paths, including
//! the `*` of `OPTIONS *`. The query is not part of the path. A path is compared as written: it is case-sensitive, `%61`
//! is not `a`, empty segments are significant, and `.` and `..` are ordinary segments (a caller that wants them resolved
//! has to do so first).
//!
//! **Order.** The most specific host is matched first, then the longest prefix within the routes of that host. If none
//! of these matches, the next less specific host is tried.
//!
//! **Cost.** Finding a route takes one hash table look-up for the exact host, one for each label of the host, and, for
//! each of these hosts that has routes, one for each segment of the path. The number of look-ups does not grow with the
//! number of routes. Labels and segments beyond the longest route are not looked up.
//!
//! Two routes with the same host and prefix are refused, as are routes that can't match: see [`RouteError`].

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

/// One route as written in the configuration. The [module](self) documentation has the matching rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// A name, `*.` followed by a name, an IPv6 literal in brackets, or empty for any host.
    #[serde(default)]
    pub host: String,
    /// Leading segments of the path, starting with `/`; empty for all paths.
    #[serde(default)]
    pub prefix: String,
    /// The name of the service that matching requests go to.
    pub service: String,
}

/// All routes, indexed for look-up. Immutable once built.
#[derive(Debug)]
pub struct RouteTable {
    exact: FxHashMap<Box<str>, Prefixes>,
    /// By the name after `*.`.
    wildcards: FxHashMap<Box<str>, Prefixes>,
    any_host: Prefixes,
    /// Length in bytes of the longest key of `wildcards`.
    max_wildcard_bytes: usize,
    /// The service index of each route.
    targets: Box<[usize]>,
}

impl RouteTable {
    /// Validates `routes` and builds their table. `services` are the names of the services; [`RouteTable::find`] returns
    /// an index into it (the first of equal names).
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

    /// The service index of the most specific matching route, or `None`. `host` is the request's authority, with or
    /// without port, empty if the request has none; `path` may include the query.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        self.find_counted(host, path).0
    }

    /// As [`RouteTable::find`], with the number of hash table look-ups that it took.
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

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there are no routes, so that [`RouteTable::find`] always returns `None`.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
