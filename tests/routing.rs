//! The route table beside a reference that looks at every route, on random tables and requests, and what a look-up
//! costs by the count of routes.

use std::cell::Cell;

use hollowpaddle::routing::{Route, RouteError, RouteTable};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 10_000;
const SEED: [u8; 32] = [28; 32];
const SERVICES: [&str; 4] = ["zero", "one", "two", "three"];

/// Runs a property on cases that are the same every time; a failure gives the seed beside the least case.
fn check<S: Strategy>(strategy: &S, property: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let done = TestRunner::new_with_rng(config, rng).run(strategy, property);
    done.unwrap_or_else(|e| panic!("seed {SEED:?}: {e}"));
}

/// The labels of the name in a request's authority, in lower case; a literal is one label.
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

/// How specific a route's host is for this request: 0 for any, then wildcards by their labels, then the exact name.
fn host_rank(stated: &str, authority: &str) -> Option<usize> {
    if stated.is_empty() {
        return Some(0);
    }
    let name = labels(authority)?;
    match stated.strip_prefix("*.") {
        None => (labels(stated)? == name).then_some(usize::MAX),
        Some(behind) => {
            let behind = labels(behind)?;
            (name.len() > behind.len() && name.ends_with(&behind)).then_some(behind.len())
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

/// How many segments of the path the route's prefix is, if it is one.
fn prefix_rank(stated: &str, path: &str) -> Option<usize> {
    let path = path.split('?').next().unwrap_or_default();
    let prefix = segments(stated);
    let whole =
        path.starts_with('/') && path[1..].split('/').collect::<Vec<_>>().starts_with(&prefix);
    (prefix.is_empty() || whole).then_some(prefix.len())
}

/// The most specific of all routes, and how specific it is.
fn reference(routes: &[Route], host: &str, path: &str) -> Option<((usize, usize), usize)> {
    let matching = routes.iter().filter_map(|route| {
        let rank = (host_rank(&route.host, host)?, prefix_rank(&route.prefix, path)?);
        Some((rank, SERVICES.iter().position(|s| *s == route.service)?))
    });
    matching.max_by_key(|(rank, _)| *rank)
}

/// The first route that says the same as an earlier one, and that one.
fn duplicate(routes: &[Route]) -> Option<(usize, usize)> {
    let same = |a: &Route, b: &Route| {
        let name = |host: &str| host.to_ascii_lowercase().trim_end_matches('.').to_owned();
        name(&a.host) == name(&b.host) && segments(&a.prefix) == segments(&b.prefix)
    };
    (0..routes.len())
        .find_map(|i| (0..i).find(|j| same(&routes[i], &routes[*j])).map(|first| (i, first)))
}

fn name(most: usize) -> impl Strategy<Value = String> {
    let label = select(&["a", "b", "A", "ab"][..]);
    (prop::collection::vec(label, 1..=most), any::<bool>())
        .prop_map(|(labels, dot)| labels.join(".") + if dot { "." } else { "" })
}

fn literal() -> impl Strategy<Value = String> {
    select(&["[::1]", "[::A]", "[::a]", "[::ffff:1.2.3.4]"][..]).prop_map(str::to_owned)
}

fn path(most: usize) -> impl Strategy<Value = String> {
    let segment = select(&["a", "b", "a", "b", "A", "ab", "%61", "..", ""][..]);
    prop::collection::vec(segment, 0..=most)
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
fn the_most_specific_route_is_found_as_by_looking_at_all() {
    let tables = (prop::collection::vec(route(), 0..16), prop::collection::vec(request(), 1..8));
    let [none, any, wildcard, exact, less_specific, refused] = [const { Cell::new(0u32) }; 6];
    let add = |count: &Cell<u32>| count.set(count.get() + 1);
    check(&tables, |(mut routes, requests)| {
        while let Some((route, first)) = duplicate(&routes) {
            add(&refused);
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
            let most = routes.iter().filter_map(|r| host_rank(&r.host, &host)).max();
            match expected {
                None => add(&none),
                Some(((0, _), _)) => add(&any),
                Some(((usize::MAX, _), _)) => add(&exact),
                Some(_) => add(&wildcard),
            }
            if expected.is_some_and(|((rank, _), _)| Some(rank) != most) {
                add(&less_specific);
            }
        }
        Ok(())
    });
    let counts = [none, any, wildcard, exact, less_specific, refused].map(Cell::into_inner);
    println!("none, any, wildcard, exact, a less specific host, duplicates: {counts:?}");
    assert!(counts.iter().all(|n| *n > 500), "cases of too few kinds: {counts:?}");
}

#[test]
fn no_text_panics_and_none_costs_more_than_its_depth() {
    let text = || "[ab.*:@/?#%é\u{0} \\[\\]1A-]{0,12}";
    let host = || prop_oneof![text().boxed(), name(4).boxed(), literal().boxed()];
    let path = || prop_oneof![text().boxed(), path(5).boxed()];
    let routes = prop::collection::vec((host(), path()), 0..8);
    let built = Cell::new(0u32);
    check(&(routes, host(), path()), |(routes, host, path)| {
        let stated = |(host, prefix)| Route { host, prefix, service: "one".into() };
        let routes: Vec<_> = routes.into_iter().map(stated).collect();
        // Each that is sound alone is in the table, unless an earlier one says the same.
        let sound = |r: &Route| RouteTable::new(std::slice::from_ref(r), &SERVICES).is_ok();
        let mut routes: Vec<_> = routes.into_iter().filter(sound).collect();
        while let Some((route, _)) = duplicate(&routes) {
            routes.remove(route);
        }
        let table = RouteTable::new(&routes, &SERVICES).unwrap();
        built.set(built.get() + u32::from(!table.is_empty()));
        let (found, count) = table.find_counted(&host, &path);
        prop_assert_eq!(found.is_some(), reference(&routes, &host, &path).is_some());
        let hosts = host.split('.').count() + 2;
        prop_assert!(count <= hosts * (path.split('/').count() + 1), "{} look-ups", count);
        Ok(())
    });
    assert!(built.get() > CASES / 2, "{} tables with routes", built.get());
}

/// `n` routes of which each eleven are three exact hosts with two prefixes each, two wildcards and three prefixes for
/// any host. Names and prefixes are as long in each eleven: what grows is the count alone.
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
fn a_look_up_costs_the_same_from_11_to_11000_routes() {
    let services: Vec<_> = (0..210).map(|i| format!("s-{i}")).collect();
    let counts = |n: usize| -> Vec<usize> {
        let table = RouteTable::new(&routes(n), &services).unwrap();
        assert_eq!(table.len(), n);
        // Of each kind the first and the last in the table, then what matches nothing.
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
    let few = counts(11);
    println!("look-ups: {few:?}");
    assert!(few.iter().all(|c| (1..=12).contains(c)), "{few:?}");
    for n in [110, 1100, 11_000] {
        assert_eq!(counts(n), few, "{n} routes");
    }
}
