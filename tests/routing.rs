//! Compares the route table with a reference that scans every route, on random tables and requests, and checks that
//! the cost of a lookup does not depend on the number of routes.

use std::cell::Cell;

use hollowpaddle::routing::{Route, RouteError, RouteTable};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 10_000;
const SEED: [u8; 32] = [28; 32];
const SERVICES: [&str; 4] = ["zero", "one", "two", "three"];

/// Runs a property on the same cases every time. A failure reports the seed and the minimal failing case.
fn check<S: Strategy>(strategy: &S, property: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let result = TestRunner::new_with_rng(config, rng).run(strategy, property);
    result.unwrap_or_else(|e| panic!("seed {SEED:?}: {e}"));
}

/// Splits the host of a request's authority into lower-case labels. An IP literal is one label.
fn labels(authority: &str) -> Option<Vec<String>> {
    let authority = authority.to_ascii_lowercase();
    let (host, port) = match authority.find(']') {
        Some(end) if authority.starts_with('[') => authority.split_at(end + 1),
        _ => authority.split_at(authority.find(':').unwrap_or(authority.len())),
    };
    if !port.strip_prefix(':').unwrap_or(port).chars().all(|c| c.is_ascii_digit())
        || !port.is_empty() && !port.starts_with(':')
    {
        return None;
    }
    if host.starts_with('[') {
        return Some(vec![host.to_owned()]);
    }
    let mut labels: Vec<String> = host.split('.').map(str::to_owned).collect();
    if labels.len() > 1 && labels.last().is_some_and(String::is_empty) {
        labels.pop();
    }
    let delimiter = |label: &String| label.contains(['/', '?', '#', '[', ']', '@']);
    (!labels.iter().any(|l| l.is_empty() || delimiter(l))).then_some(labels)
}

/// Specificity of a route's host for this request: 0 for any host, the number of labels for a wildcard, and the maximum
/// for an exact name. `None` if the host does not match.
fn host_rank(route_host: &str, authority: &str) -> Option<usize> {
    if route_host.is_empty() {
        return Some(0);
    }
    let name = labels(authority)?;
    match route_host.strip_prefix("*.") {
        None => (labels(route_host)? == name).then_some(usize::MAX),
        Some(suffix) => {
            let suffix = labels(suffix)?;
            (name.len() > suffix.len() && name.ends_with(&suffix)).then_some(suffix.len())
        }
    }
}

fn segments(prefix: &str) -> Vec<&str> {
    let mut segments: Vec<_> = prefix.split('/').skip(1).collect();
    while segments.last().is_some_and(|s| s.is_empty()) {
        segments.pop();
    }
    segments
}

/// Number of path segments that the route's prefix matches, or `None` if it does not match.
fn prefix_rank(route_prefix: &str, path: &str) -> Option<usize> {
    let path = path.split('?').next().unwrap_or_default();
    let prefix = segments(route_prefix);
    let matches =
        path.starts_with('/') && path[1..].split('/').collect::<Vec<_>>().starts_with(&prefix);
    (prefix.is_empty() || matches).then_some(prefix.len())
}

/// Finds the most specific matching route by scanning all routes. Returns its rank and the index of its service.
fn reference(routes: &[Route], host: &str, path: &str) -> Option<((usize, usize), usize)> {
    let matching = routes.iter().filter_map(|route| {
        let rank = (host_rank(&route.host, host)?, prefix_rank(&route.prefix, path)?);
        Some((rank, SERVICES.iter().position(|s| *s == route.service)?))
    });
    matching.max_by_key(|(rank, _)| *rank)
}

/// Finds the first route that is equivalent to an earlier one. Returns the indices of both.
fn duplicate(routes: &[Route]) -> Option<(usize, usize)> {
    let same = |a: &Route, b: &Route| {
        let name = |host: &str| host.to_ascii_lowercase().trim_end_matches('.').to_owned();
        name(&a.host) == name(&b.host) && segments(&a.prefix) == segments(&b.prefix)
    };
    (0..routes.len())
        .find_map(|i| (0..i).find(|j| same(&routes[i], &routes[*j])).map(|first| (i, first)))
}

fn name(max_labels: usize) -> impl Strategy<Value = String> {
    let label = select(&["a", "b", "A", "ab"][..]);
    (prop::collection::vec(label, 1..=max_labels), any::<bool>())
        .prop_map(|(labels, dot)| labels.join(".") + if dot { "." } else { "" })
}

fn literal() -> impl Strategy<Value = String> {
    select(&["[::1]", "[::A]", "[::a]", "[::ffff:1.2.3.4]"][..]).prop_map(str::to_owned)
}

fn path(max_segments: usize) -> impl Strategy<Value = String> {
    let segment = select(&["a", "b", "a", "b", "A", "ab", "%61", "..", ""][..]);
    prop::collection::vec(segment, 0..=max_segments)
        .prop_map(|segments| segments.iter().map(|s| format!("/{s}")).collect())
}

fn route() -> impl Strategy<Value = Route> {
    let host = prop_oneof![
        1 => Just(String::new()),
        5 => name(3),
        5 => name(2).prop_map(|name| format!("*.{name}")),
        1 => literal(),
    ];
    (host, prop_oneof![path(1), path(3)], select(&SERVICES[..]))
        .prop_map(|(host, prefix, service)| Route { host, prefix, service: service.to_owned() })
}

fn request() -> impl Strategy<Value = (String, String)> {
    let host = prop_oneof![12 => name(3), 2 => literal(), 1 => "[a.:@\\[\\]1/]{0,8}"];
    let port = select(&["", "", ":80", ":", ":x"][..]);
    let query = select(&["", "", "?", "?/a/b", "?a=b?c"][..]);
    let path =
        prop_oneof![12 => path(5), 1 => select(&["*", "a/b", "é/a"][..]).prop_map(str::to_owned)];
    (host, port, path, query).prop_map(|(h, port, p, q)| (format!("{h}{port}"), format!("{p}{q}")))
}

#[test]
fn most_specific_route_matches_the_linear_reference() {
    let tables = (prop::collection::vec(route(), 0..16), prop::collection::vec(request(), 1..8));
    let [none, any, wildcard, exact, less_specific, refused] = [const { Cell::new(0u32) }; 6];
    let increment = |count: &Cell<u32>| count.set(count.get() + 1);
    check(&tables, |(mut routes, requests)| {
        while let Some((route, first)) = duplicate(&routes) {
            increment(&refused);
            let error = RouteTable::new(&routes, &SERVICES).unwrap_err();
            prop_assert_eq!(error, RouteError::Duplicate { route, first });
            routes.remove(route);
        }
        let table = RouteTable::new(&routes, &SERVICES).unwrap();
        prop_assert_eq!(table.len(), routes.len());
        for (host, path) in requests {
            let expected = reference(&routes, &host, &path);
            let found = table.find(&host, &path);
            prop_assert_eq!(found, expected.map(|(_, service)| service), "{:?} {:?}", host, path);
            let best_host = routes.iter().filter_map(|r| host_rank(&r.host, &host)).max();
            match expected {
                None => increment(&none),
                Some(((0, _), _)) => increment(&any),
                Some(((usize::MAX, _), _)) => increment(&exact),
                Some(_) => increment(&wildcard),
            }
            if expected.is_some_and(|((rank, _), _)| Some(rank) != best_host) {
                increment(&less_specific);
            }
        }
        Ok(())
    });
    let counts = [none, any, wildcard, exact, less_specific, refused].map(Cell::into_inner);
    println!("none, any, wildcard, exact, a less specific host, duplicates: {counts:?}");
    assert!(counts.iter().all(|n| *n > 500), "too few cases of some kind: {counts:?}");
}

#[test]
fn arbitrary_text_never_panics_and_lookups_are_bounded_by_depth() {
    let text = || "[ab.*:@/?#%é\u{0} \\[\\]1A-]{0,12}";
    let host = || prop_oneof![text().boxed(), name(4).boxed(), literal().boxed()];
    let path = || prop_oneof![text().boxed(), path(5).boxed()];
    let routes = prop::collection::vec((host(), path()), 0..8);
    let non_empty = Cell::new(0u32);
    check(&(routes, host(), path()), |(routes, host, path)| {
        let to_route = |(host, prefix)| Route { host, prefix, service: "one".into() };
        let routes: Vec<_> = routes.into_iter().map(to_route).collect();
        // The table is built from each route that is valid by itself and not equivalent to an earlier one.
        let valid = |r: &Route| RouteTable::new(std::slice::from_ref(r), &SERVICES).is_ok();
        let mut routes: Vec<_> = routes.into_iter().filter(valid).collect();
        while let Some((route, _)) = duplicate(&routes) {
            routes.remove(route);
        }
        let table = RouteTable::new(&routes, &SERVICES).unwrap();
        non_empty.set(non_empty.get() + u32::from(!table.is_empty()));
        let (found, count) = table.find_counted(&host, &path);
        prop_assert_eq!(found.is_some(), reference(&routes, &host, &path).is_some());
        let hosts = host.split('.').count() + 2;
        prop_assert!(count <= hosts * (path.split('/').count() + 1), "{} lookups", count);
        Ok(())
    });
    assert!(non_empty.get() > CASES / 2, "{} tables with routes", non_empty.get());
}

/// Builds `n` routes in groups of eleven: three exact hosts with two prefixes each, two wildcards and three prefixes
/// for any host. Names and prefixes have the same length in each group, so only the number of routes grows.
fn routes(n: usize) -> Vec<Route> {
    let route = |i: usize| {
        let (group, service) = (i / 11, format!("s-{}", i % 210));
        let (host, prefix) = match i % 11 {
            k @ 0..6 => (format!("h{}.g{group:03}.example.com", k / 2), format!("/api/v{}", k % 2)),
            k @ 6..8 => (format!("*.w{k}.g{group:03}.example.com"), "/static".to_owned()),
            k => (String::new(), format!("/any/{group:03}/{k}")),
        };
        Route { host, prefix, service }
    };
    (0..n).map(route).collect()
}

#[test]
fn lookup_cost_is_constant_from_11_to_11000_routes() {
    let services: Vec<_> = (0..210).map(|i| format!("s-{i}")).collect();
    let counts = |n: usize| -> Vec<usize> {
        let table = RouteTable::new(&routes(n), &services).unwrap();
        assert_eq!(table.len(), n);
        // For the first and the last group of the table: one request of each kind, then requests that match no route.
        let groups = [0, n / 11 - 1];
        let kinds = |g: usize| {
            [
                (format!("h0.g{g:03}.example.com"), "/api/v1/x/y/z".to_owned(), Some(1)),
                (format!("h2.g{g:03}.example.com:80"), "/api/v0".to_owned(), Some(4)),
                (format!("a.b.w6.g{g:03}.example.com"), "/static/x".to_owned(), Some(6)),
                (format!("h0.g{g:03}.example.com"), format!("/any/{g:03}/9/x"), Some(9)),
                (format!("x.g{g:03}.example.com"), "/other/x/y".to_owned(), None),
                (format!("h0.g{g:03}.example.com"), "/".to_owned(), None),
            ]
        };
        let all = groups.into_iter().flat_map(|g| kinds(g).map(|k| (g, k)));
        all.map(|(g, (host, path, kind))| {
            let (found, count) = table.find_counted(&host, &path);
            assert_eq!(found, kind.map(|k| (g * 11 + k) % 210), "{host} {path} of {n}");
            count
        })
        .collect()
    };
    let baseline = counts(11);
    println!("lookups: {baseline:?}");
    assert!(baseline.iter().all(|c| (1..=12).contains(c)), "{baseline:?}");
    for n in [110, 1100, 11_000] {
        assert_eq!(counts(n), baseline, "{n} routes");
    }
}
