use super::*;

const SERVICES: [&str; 3] = ["zero", "one", "two"];

fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route { host: host.into(), prefix: prefix.into(), service: service.into() }
}

fn table(routes: &[(&str, &str, &str)]) -> Result<RouteTable, RouteError> {
    let routes: Vec<_> = routes.iter().map(|(h, p, s)| route(h, p, s)).collect();
    RouteTable::new(&routes, &SERVICES)
}

/// A table with one route per host, each to its own service, so that the result identifies the route.
fn hosts(hosts: &[&str]) -> RouteTable {
    let routes: Vec<_> = hosts.iter().zip(SERVICES).map(|(h, s)| route(h, "", s)).collect();
    RouteTable::new(&routes, &SERVICES).unwrap()
}

fn prefixes(prefixes: &[&str]) -> RouteTable {
    let routes: Vec<_> = prefixes.iter().zip(SERVICES).map(|(p, s)| route("", p, s)).collect();
    RouteTable::new(&routes, &SERVICES).unwrap()
}

#[test]
fn exact_host_precedes_wildcard_and_wildcard_precedes_any() {
    let t = hosts(&["", "*.example.com", "a.example.com"]);
    assert_eq!(t.find("a.example.com", "/"), Some(2));
    assert_eq!(t.find("b.example.com", "/"), Some(1));
    assert_eq!(t.find("example.com", "/"), Some(0), "a wildcard matches at least one label");
    assert_eq!(t.find("badexample.com", "/"), Some(0));
    assert_eq!(t.find("", "/"), Some(0));
}

#[test]
fn the_longest_wildcard_wins() {
    let t = hosts(&["*.com", "*.example.com", "*.b.example.com"]);
    assert_eq!(t.find("x.com", "/"), Some(0));
    assert_eq!(t.find("example.com", "/"), Some(0));
    assert_eq!(t.find("b.example.com", "/"), Some(1));
    assert_eq!(t.find("y.x.example.com", "/"), Some(1));
    assert_eq!(t.find("z.y.x.b.example.com", "/"), Some(2));
    assert_eq!(t.find("com", "/"), None);
}

#[test]
fn case_port_and_trailing_dot_of_a_host_are_ignored() {
    let t = hosts(&["A.Example.Com.", "*.Wild.COM."]);
    for host in ["a.example.com", "A.EXAMPLE.com", "a.example.com.", "a.example.com:80"] {
        assert_eq!(t.find(host, "/"), Some(0), "{host}");
    }
    for host in ["x.wild.com", "X.Wild.Com", "x.wild.com.", "x.wild.com.:8080", "x.wild.com:"] {
        assert_eq!(t.find(host, "/"), Some(1), "{host}");
    }
}

#[test]
fn ipv6_literals_keep_their_brackets() {
    let t = hosts(&["[::1]", "[2001:DB8::1]", "10.0.0.1"]);
    for (host, found) in [
        ("[::1]", Some(0)),
        ("[::1]:8080", Some(0)),
        ("[2001:db8::1]:80", Some(1)),
        ("10.0.0.1:80", Some(2)),
        ("[0::1]", None),
        ("[::1", None),
        ("[::1].", None),
        ("::1", None),
    ] {
        assert_eq!(t.find(host, "/"), found, "{host}");
    }
}

#[test]
fn an_invalid_host_matches_only_routes_for_any_host() {
    let t = hosts(&["", "*.example.com", "example.com"]);
    for host in [
        ".example.com",
        "a..example.com",
        "example.com..",
        "a.example.com:http",
        "u@a.example.com",
        "a:b.example.com",
        "http://a.example.com",
        ".",
        "..",
        ":",
        ":80",
        "*",
        "é",
        "[",
        "]",
    ] {
        assert_eq!(t.find(host, "/"), Some(0), "{host}");
    }
    assert_eq!(
        t.find("é.example.com", "/"),
        Some(1),
        "a name that is invalid in DNS still matches"
    );
}

#[test]
fn a_prefix_matches_whole_segments() {
    let t = prefixes(&["/api", "/api/v1/x"]);
    for path in ["/api", "/api/", "/api/x", "/api//", "/api/v1", "/api/v1/xx", "/api?x=/api/v1/x"] {
        assert_eq!(t.find("h", path), Some(0), "{path}");
    }
    for path in ["/api/v1/x", "/api/v1/x/", "/api/v1/x/y/z", "/api/v1/x?q"] {
        assert_eq!(t.find("h", path), Some(1), "{path}");
    }
    for path in ["/apis", "/ap", "/", "", "*", "api", "xapi/", "é", "/é", "?/api", "/API"] {
        assert_eq!(t.find("h", path), None, "{path}");
    }
}

#[test]
fn paths_are_compared_as_written() {
    let t = prefixes(&["/a", "/%61", "/b/../a"]);
    assert_eq!(t.find("", "/a"), Some(0));
    assert_eq!(t.find("", "/%61"), Some(1));
    assert_eq!(t.find("", "/b/../a"), Some(2));
    assert_eq!(t.find("", "/./a"), None);
    assert_eq!(t.find("", "//a"), None);
    let t = prefixes(&["/a", "/a//b"]);
    assert_eq!(t.find("", "/a//b/c"), Some(1));
    assert_eq!(t.find("", "/a/b"), Some(0));
}

#[test]
fn trailing_slashes_of_a_prefix_are_ignored() {
    for all in ["", "/", "//"] {
        let t = prefixes(&[all, "/api/"]);
        assert_eq!(t.find("", "/api"), Some(1));
        assert_eq!(t.find("", "/api/x"), Some(1));
        for path in ["/", "", "*", "/apis", "//"] {
            assert_eq!(t.find("", path), Some(0), "{path}");
        }
    }
}

#[test]
fn the_host_is_matched_before_the_prefix() {
    let t = table(&[("a.b", "/x", "zero"), ("*.b", "/x/y/z", "one"), ("", "/x/y", "two")]).unwrap();
    assert_eq!(t.find("a.b", "/x/y/z"), Some(0));
    assert_eq!(t.find("c.b", "/x/y/z"), Some(1));
    assert_eq!(t.find("c.b", "/x/y"), Some(2), "no route of *.b matches: the next host is tried");
    assert_eq!(t.find("a.b", "/y"), None);
}

/// The error for this route as the second of two.
fn refused(host: &str, prefix: &str, service: &str) -> String {
    let error = table(&[("ok", "/ok", "zero"), (host, prefix, service)]).unwrap_err();
    let message = error.to_string();
    assert_eq!(message, format!("{}: {}", error.key(), error.cause()));
    message
}

#[test]
fn an_invalid_host_is_refused_by_its_key() {
    let wildcard =
        "a wildcard is the whole first label, with a name behind it, as in \"*.example.com\"";
    for (host, cause) in [
        (".", "a label of the name is empty"),
        ("a..b", "a label of the name is empty"),
        (".a", "a label of the name is empty"),
        ("a..", "a label of the name is empty"),
        ("*..a", "a label of the name is empty"),
        ("*.", wildcard),
        ("*", wildcard),
        ("*a.b", wildcard),
        ("a.*", wildcard),
        ("a.*.b", wildcard),
        ("*.*.b", wildcard),
        ("a.b:80", "':' is no character of a host name"),
        ("a_b", "'_' is no character of a host name"),
        ("a b", "' ' is no character of a host name"),
        ("é", "'é' is no character of a host name"),
        ("a\n", "'\\n' is no character of a host name"),
        ("a/b", "'/' is no character of a host name"),
        ("::1", "':' is no character of a host name"),
        ("[::1", "not an IPv6 address in brackets"),
        ("[]", "not an IPv6 address in brackets"),
        ("[::1]:80", "not an IPv6 address in brackets"),
        ("[::1].", "not an IPv6 address in brackets"),
        ("[10.0.0.1]", "not an IPv6 address in brackets"),
        ("[fe80::1%eth0]", "not an IPv6 address in brackets"),
    ] {
        assert_eq!(refused(host, "", "one"), format!("routes[1].host: {cause}"), "{host}");
    }
}

#[test]
fn host_length_limits_are_those_of_dns() {
    let label = "l".repeat(63);
    let longest = format!("{label}.{label}.{label}.{}", "l".repeat(61));
    let t = hosts(&[&longest, &format!("*.{longest}")]);
    assert_eq!(t.find(&longest.to_uppercase(), "/"), Some(0));
    assert_eq!(t.find(&format!("a.{longest}.:80"), "/"), Some(1));
    let long = "routes[1].host: a label has 64 bytes, 63 at most";
    assert_eq!(refused(&format!("a.l{label}"), "", "one"), long);
    let long = "routes[1].host: the name has 254 bytes, 253 at most";
    assert_eq!(refused(&format!("{longest}l"), "", "one"), long);
    assert_eq!(refused(&format!("*.{longest}l."), "", "one"), long);
}

#[test]
fn an_invalid_prefix_is_refused_by_its_key() {
    for (prefix, cause) in [
        ("api", "does not begin with \"/\""),
        ("*", "does not begin with \"/\""),
        ("é", "does not begin with \"/\""),
        ("/a?b", "'?' is no character of a path"),
        ("/a#", "'#' is no character of a path"),
        ("/a b", "' ' is no character of a path"),
        ("/a\0", "'\\0' is no character of a path"),
        ("/\u{7f}", "'\\u{7f}' is no character of a path"),
        ("/a\r\n", "'\\r' is no character of a path"),
    ] {
        assert_eq!(refused("", prefix, "one"), format!("routes[1].prefix: {cause}"), "{prefix}");
    }
    let longest = format!("/{}", "p".repeat(4095));
    assert_eq!(prefixes(&[&longest]).find("", &format!("{longest}/x")), Some(0));
    let long = "routes[1].prefix: has 4097 bytes, 4096 at most";
    assert_eq!(refused("", &format!("{longest}p"), "one"), long);
}

#[test]
fn an_unknown_service_is_refused_by_its_key() {
    for service in ["", "Zero", "three"] {
        let cause = format!("routes[1].service: no service is called {service:?}");
        assert_eq!(refused("", "", service), cause);
    }
    let none: [&str; 0] = [];
    let error = RouteTable::new(&[route("", "", "zero")], &none).unwrap_err();
    assert_eq!(error, RouteError::Service { route: 0, service: "zero".into() });
}

#[test]
fn duplicate_host_and_prefix_are_refused() {
    for (first, second) in [
        (("", ""), ("", "/")),
        (("", "/api"), ("", "/api//")),
        (("A.b", "/"), ("a.B.", "")),
        (("*.a.b", "/x"), ("*.A.b.", "/x/")),
        (("[::A]", "/x"), ("[::a]", "/x")),
    ] {
        for service in ["zero", "one"] {
            let error = table(&[
                ("other", "/x", "zero"),
                (first.0, first.1, "zero"),
                (second.0, second.1, service),
            ]);
            let error = error.unwrap_err();
            assert_eq!(error, RouteError::Duplicate { route: 2, first: 1 }, "{second:?}");
            assert_eq!(error.to_string(), "routes[2]: the same host and prefix as routes[1]");
        }
    }
    let others = [("", "/x"), ("a.b", "/x"), ("*.a.b", "/x"), ("a.b", "/X"), ("a.b", "/x//y")];
    let others: Vec<_> = others.iter().map(|(h, p)| (*h, *p, "zero")).collect();
    assert_eq!(table(&others).unwrap().len(), 5);
}

#[test]
fn the_first_invalid_route_is_reported() {
    let error = table(&[("", "", "zero"), ("", "x", "three"), ("..", "", "zero")]).unwrap_err();
    assert_eq!(error, RouteError::Prefix { route: 1, fault: PrefixFault::NoSlash });
}

#[test]
fn a_table_without_routes_finds_none() {
    let t = table(&[]).unwrap();
    assert_eq!((t.is_empty(), t.len()), (true, 0));
    assert_eq!(t.find_counted("a.b.c", "/x/y/z"), (None, 0));
}

#[test]
fn unknown_route_keys_are_refused() {
    #[derive(Debug, serde::Deserialize)]
    struct File {
        routes: Vec<Route>,
    }
    let file: File = toml::from_str(
        "[[routes]]\nservice = \"one\"\n[[routes]]\nhost = \"a\"\nprefix = \"/b\"\nservice = \"two\"",
    )
    .unwrap();
    assert_eq!(file.routes, [route("", "", "one"), route("a", "/b", "two")]);
    for bad in ["routes = [{ host = \"a\" }]", "routes = [{ service = \"a\", path = \"/\" }]"] {
        assert!(toml::from_str::<File>(bad).is_err(), "{bad}");
    }
}

#[test]
fn labels_and_segments_beyond_the_longest_route_are_not_looked_up() {
    let t = table(&[
        ("a.example.com", "/x/y", "zero"),
        ("*.example.com", "/x", "one"),
        ("", "/longer", "two"),
    ])
    .unwrap();
    let (labels, segments) = ("a.".repeat(10_000), "/x".repeat(10_000));
    // Look-ups: the exact host, the wildcard's name, and "/x" for it.
    let host = format!("{labels}example.com");
    assert_eq!(t.find_counted(&host, &segments), (Some(1), 3));
    // Look-ups: the exact host, "/x/x" and "/x" for it, the wildcard's name, and "/x" for that.
    assert_eq!(t.find_counted("a.example.com", &segments), (Some(1), 5));
    // The only look-up is the exact host.
    let (host, path) = ("a".repeat(60_000), format!("/{}", "y".repeat(60_000)));
    assert_eq!(t.find_counted(&host, &path), (None, 1));
}
