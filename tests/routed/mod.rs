//! Several services behind one proxy: routes by host and path prefix, each service with its own upstreams, classes
//! and queue, and services that come and go with SIGHUP.

use std::process::Command;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stubs::*;

/// A member of this service.
fn of(service: &str, id: &str, upstream: &Upstream) -> Value {
    let mut entry = member(id, upstream.address, "SERVING");
    entry["service"] = json!(service);
    entry
}

fn service(name: &str) -> Value {
    json!({ "name": name })
}

fn route(host: &str, prefix: &str, service: &str) -> Value {
    json!({"host": host, "prefix": prefix, "service": service})
}

fn routed(known: Vec<Value>, services: &[Value], routes: &[Value]) -> Value {
    let mut config = config(known);
    config["services"] = json!(services);
    config["routes"] = json!(routes);
    config
}

/// A request that is safe to repeat, to this host and path.
fn get(host: &str, path: &str, class: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: r\r\nX-Class: {class}\r\n\
         X-Deadline-Ms: 5000\r\n\r\n"
    )
}

/// An upstream that answers each request once it is told to.
fn waits() -> (std::sync::mpsc::Sender<()>, Upstream) {
    let (go, told) = channel();
    let told = Arc::new(Mutex::new(told));
    (go, Upstream::start(move |_| Does::Waits(told.clone())))
}

#[test]
fn requests_go_to_the_upstreams_of_the_service_that_their_route_names() {
    let [orders, stock] = ["orders", "stock"].map(|name| Upstream::start(move |_| ok(name)));
    let stranger = Upstream::start(|_| ok("stranger"));
    let known = vec![
        of("orders", "s-1", &orders),
        of("stock", "s-2", &stock),
        of("other", "s-3", &stranger),
        member("s-4", stranger.address, "SERVING"),
    ];
    let routes = [
        route("shop.example", "/v1", "orders"),
        route("shop.example", "/v1/stock", "stock"),
        route("*.stock.example", "", "stock"),
    ];
    let node = Node::start(&routed(known, &[service("orders"), service("stock")], &routes));
    let expect = [
        ("shop.example", "/v1", "orders"),
        ("SHOP.example:8080", "/v1/x?y=/v1/stock", "orders"),
        ("shop.example", "/v1/stock/7", "stock"),
        ("shop.example", "/v1/stocks", "orders"),
        ("a.stock.example", "/any", "stock"),
    ];
    let mut client = node.client();
    for (host, path, body) in expect.iter().cycle().take(20) {
        let answer = client.ask(&get(host, path, "read"));
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, body.as_bytes()),
            "{host}{path}"
        );
    }
    for (host, path) in [("shop.example", "/v2"), ("stock.example", "/"), ("shop.example", "/api")]
    {
        let answer = client.ask(&get(host, path, "read"));
        let text = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status(), 404, "{host}{path}");
        assert!(text.contains("no route") && text.contains(host) && text.contains(path), "{text}");
    }
    // The target's host goes before the header's.
    let absolute = get("other.example", "http://shop.example/v1/stock", "read");
    assert_eq!(client.ask(&absolute).body, b"stock");
    assert_eq!(stranger.requests_so_far(), 0, "an upstream of no service here");
}

#[test]
fn a_service_without_upstreams_refuses_in_time_and_holds_up_no_other() {
    let orders = Upstream::start(|_| ok("orders"));
    let known = vec![of("orders", "s-1", &orders)];
    let routes = [route("", "/orders", "orders"), route("", "/empty", "empty")];
    let node = Node::start(&routed(known, &[service("orders"), service("empty")], &routes));
    let mut waiting = node.client();
    waiting.send(&get("a", "/empty", "read"));
    let mut client = node.client();
    for _ in 0..20 {
        assert_eq!(client.ask(&get("a", "/orders", "read")).status(), 200);
    }
    let answer = waiting.answer().expect("an answer");
    assert_eq!(answer.status(), 503, "refused: trying again is harmless");
}

#[test]
fn each_service_has_its_own_classes_and_tenants() {
    let [orders, stock] = ["orders", "stock"].map(|name| Upstream::start(move |_| ok(name)));
    let known = vec![of("orders", "s-1", &orders), of("stock", "s-2", &stock)];
    let own = json!({
        "Services": [{"Name": "check", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "retryable"}],
        "Tenants": [{"Name": "t-1", "QuotaRps": 100.0, "Share": 1.0}],
    });
    let services = [service("orders"), json!({"name": "stock", "settings": own})];
    let routes = [route("", "/orders", "orders"), route("", "/stock", "stock")];
    let node = Node::start(&routed(known, &services, &routes));
    let mut client = node.client();
    assert_eq!(client.ask(&get("a", "/orders", "read")).status(), 200);
    assert_eq!(client.ask(&get("a", "/orders", "check")).status(), 400);
    assert_eq!(client.ask(&get("a", "/stock", "read")).status(), 400);
    assert_eq!(client.ask(&get("a", "/stock", "check")).status(), 400, "it names no tenant");
    let of_tenant = get("a", "/stock", "check").replace("X-Class", "X-Tenant: t-1\r\nX-Class");
    assert_eq!(client.ask(&of_tenant).status(), 200);
}

#[test]
fn a_removed_service_refuses_what_waits_and_finishes_what_is_out() {
    let (go, orders) = waits();
    let stock = Upstream::start(|_| ok("stock"));
    let known = vec![of("orders", "s-1", &orders), of("stock", "s-2", &stock)];
    let both = [service("orders"), service("stock")];
    let routes = [route("", "/orders", "orders"), route("", "/stock", "stock")];
    let node = Node::start(&routed(known.clone(), &both, &routes));
    let mut out = node.client();
    out.send(&get("a", "/orders", "read"));
    orders.request();
    let mut waiting = node.client();
    waiting.send(&get("a", "/orders", "read"));
    thread::sleep(Duration::from_millis(100));
    let mut left = routed(known, &both[1..], &routes[1..]);
    left["discovery"] = json!(node.discovery.address.to_string());
    node.reconfigure(&left.to_string());
    let from = Instant::now();
    node.signal("HUP");
    assert_eq!(waiting.answer().expect("an answer").status(), 503);
    assert!(from.elapsed() < Duration::from_secs(1), "at once, not when its time was up");
    // Asked anew, it has no route any more; the other one is served on.
    let mut client = node.client();
    assert_eq!(client.ask(&get("a", "/orders", "read")).status(), 404);
    assert_eq!(client.ask(&get("a", "/stock", "read")).body, b"stock");
    go.send(()).expect("it waits");
    let answer = out.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"late"[..]));
    assert_eq!(orders.requests_so_far(), 0, "nothing more was sent there");
}

#[test]
fn a_service_that_is_added_is_served_from_the_list_that_names_its_upstreams() {
    let [orders, stock] = ["orders", "stock"].map(|name| Upstream::start(move |_| ok(name)));
    let known = vec![of("orders", "s-1", &orders)];
    let both = [service("orders"), service("stock")];
    let routes = [route("", "/orders", "orders"), route("", "/stock", "stock")];
    let node = Node::start(&routed(known.clone(), &both[..1], &routes[..1]));
    let (asked, _watch) = node.discovery.watch();
    assert!(asked.contains("service=orders") && !asked.contains("stock"), "{asked}");
    let mut more = routed(known, &both, &routes);
    more["discovery"] = json!(node.discovery.address.to_string());
    node.reconfigure(&more.to_string());
    node.signal("HUP");
    // Watches are opened anew, at last one for both services, from the start of the list.
    let mut watch = loop {
        let (asked, watch) = node.discovery.watch();
        if asked.contains("service=stock") {
            assert!(asked.contains("service=orders") && asked.contains("index=0"), "{asked}");
            break watch;
        }
    };
    let members = vec![of("orders", "s-1", &orders), of("stock", "s-2", &stock)];
    let list = json!({"revision": 41, "complete": true, "members": members});
    chunk(&mut watch, &format!("{list}\n"));
    let mut client = node.client();
    assert_eq!(client.ask(&get("a", "/stock", "read")).body, b"stock");
    assert_eq!(client.ask(&get("a", "/orders", "read")).body, b"orders");
}

#[test]
fn what_cannot_be_in_force_is_refused_by_its_key_and_the_old_stays() {
    let orders = Upstream::start(|_| ok("orders"));
    let known = vec![of("orders", "s-1", &orders)];
    let routes = [route("", "/orders", "orders")];
    let sound = routed(known.clone(), &[service("orders")], &routes);
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut config = sound.clone();
        change(&mut config);
        config
    };
    let class =
        |aim: f64| json!([{"Name": "c", "Aim": aim, "Deadline": 9.0, "Effect": "retryable"}]);
    let at_start = [
        ("services", changed(&|c| c["services"] = json!([]))),
        ("services[1].name", changed(&|c| c["services"] = json!([service("a"), service("a")]))),
        ("services[0].name", changed(&|c| c["services"] = json!([service("")]))),
        ("services[0].name", changed(&|c| c["services"] = json!([service("a,b")]))),
        ("services[0].nome", changed(&|c| c["services"] = json!([{"name": "a", "nome": "b"}]))),
        (
            "services[0].settings.Balancers",
            changed(&|c| c["services"][0]["settings"] = json!({"Balancers": 3})),
        ),
        (
            "services[0].settings",
            changed(&|c| c["services"][0]["settings"] = json!({"Services": class(0.0)})),
        ),
        ("routes[0].service", changed(&|c| c["routes"][0]["service"] = json!("none"))),
        ("routes[0].prefix", changed(&|c| c["routes"][0]["prefix"] = json!("orders"))),
        ("routes[0].host", changed(&|c| c["routes"][0]["host"] = json!("a..b"))),
        ("routes[1]", changed(&|c| c["routes"] = json!([routes[0], routes[0]]))),
        (
            "settings.Tenants",
            changed(&|c| c["settings"]["Tenants"] = json!([{"Name": "t", "QuotaRps": 1.0}])),
        ),
        ("routes", changed(&|c| c["services"] = json!(null))),
    ];
    for (key, config) in &at_start {
        let said = refuses_to_start(&mut Command::new(NODE), &config.to_string());
        assert!(said.contains(key), "{key}: {said}");
    }
    let node = Node::start(&sound);
    let reload_only = [
        changed(&|c| {
            c["services"][0]["settings"] = json!({"Services": class(9.0)});
        }),
        config(known),
    ];
    let mut client = node.client();
    for mut config in at_start.map(|(_, config)| config).into_iter().chain(reload_only) {
        config["discovery"] = json!(node.discovery.address.to_string());
        node.reconfigure(&config.to_string());
        node.signal("HUP");
        for _ in 0..5 {
            assert_eq!(client.ask(&get("a", "/orders", "read")).body, b"orders");
            thread::sleep(Duration::from_millis(10));
        }
    }
}
