//! Tests several services behind one proxy: routes by host and path prefix, each service with its own upstreams,
//! classes and queue, and services that are added and removed on SIGHUP.

use std::process::Command;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stubs::*;

/// Creates a serving list member that belongs to `service`.
fn service_member(service: &str, id: &str, upstream: &Upstream) -> Value {
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

fn routed_config(known: Vec<Value>, services: &[Value], routes: &[Value]) -> Value {
    let mut config = config(known);
    config["services"] = json!(services);
    config["routes"] = json!(routes);
    config
}

/// Builds a retryable request to this host and path.
fn get_request(host: &str, path: &str, class: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: r\r\nX-Class: {class}\r\n\
         X-Deadline-Ms: 5000\r\n\r\n"
    )
}

/// Starts an upstream that answers one request for each message on the returned channel.
fn start_waiting_upstream() -> (std::sync::mpsc::Sender<()>, Upstream) {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    (release, Upstream::start(move |_| Does::Waits(released.clone())))
}

#[test]
fn requests_reach_the_service_named_by_their_route() {
    let [orders, stock] = ["orders", "stock"].map(|name| Upstream::start(move |_| ok(name)));
    let unrelated = Upstream::start(|_| ok("stranger"));
    let known = vec![
        service_member("orders", "s-1", &orders),
        service_member("stock", "s-2", &stock),
        service_member("other", "s-3", &unrelated),
        member("s-4", unrelated.address, "SERVING"),
    ];
    let routes = [
        route("shop.example", "/v1", "orders"),
        route("shop.example", "/v1/stock", "stock"),
        route("*.stock.example", "", "stock"),
    ];
    let node = Node::start(&routed_config(known, &[service("orders"), service("stock")], &routes));
    let expect = [
        ("shop.example", "/v1", "orders"),
        ("SHOP.example:8080", "/v1/x?y=/v1/stock", "orders"),
        ("shop.example", "/v1/stock/7", "stock"),
        ("shop.example", "/v1/stocks", "orders"),
        ("a.stock.example", "/any", "stock"),
    ];
    let mut client = node.client();
    for (host, path, body) in expect.iter().cycle().take(20) {
        let answer = client.ask(&get_request(host, path, "read"));
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, body.as_bytes()),
            "{host}{path}"
        );
    }
    for (host, path) in [("shop.example", "/v2"), ("stock.example", "/"), ("shop.example", "/api")]
    {
        let answer = client.ask(&get_request(host, path, "read"));
        let text = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status(), 404, "{host}{path}");
        assert!(text.contains("no route") && text.contains(host) && text.contains(path), "{text}");
    }
    // The host of an absolute-form target takes precedence over the Host header.
    let absolute = get_request("other.example", "http://shop.example/v1/stock", "read");
    assert_eq!(client.ask(&absolute).body, b"stock");
    assert_eq!(
        unrelated.requests_so_far(),
        0,
        "an upstream of no configured service got a request"
    );
}

#[test]
fn service_without_upstreams_refuses_and_delays_no_other() {
    let orders = Upstream::start(|_| ok("orders"));
    let known = vec![service_member("orders", "s-1", &orders)];
    let routes = [route("", "/orders", "orders"), route("", "/empty", "empty")];
    let node = Node::start(&routed_config(known, &[service("orders"), service("empty")], &routes));
    let mut waiting = node.client();
    waiting.send(&get_request("a", "/empty", "read"));
    let mut client = node.client();
    for _ in 0..20 {
        assert_eq!(client.ask(&get_request("a", "/orders", "read")).status(), 200);
    }
    let answer = waiting.answer().expect("no answer");
    assert_eq!(answer.status(), 503, "must be refused as safe to retry");
}

#[test]
fn each_service_has_its_own_classes_and_tenants() {
    let [orders, stock] = ["orders", "stock"].map(|name| Upstream::start(move |_| ok(name)));
    let known =
        vec![service_member("orders", "s-1", &orders), service_member("stock", "s-2", &stock)];
    let own = json!({
        "Services": [{"Name": "check", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "retryable"}],
        "Tenants": [{"Name": "t-1", "QuotaRps": 100.0, "Share": 1.0}],
    });
    let services = [service("orders"), json!({"name": "stock", "settings": own})];
    let routes = [route("", "/orders", "orders"), route("", "/stock", "stock")];
    let node = Node::start(&routed_config(known, &services, &routes));
    let mut client = node.client();
    assert_eq!(client.ask(&get_request("a", "/orders", "read")).status(), 200);
    assert_eq!(client.ask(&get_request("a", "/orders", "check")).status(), 400);
    assert_eq!(client.ask(&get_request("a", "/stock", "read")).status(), 400);
    assert_eq!(
        client.ask(&get_request("a", "/stock", "check")).status(),
        400,
        "the request names no tenant"
    );
    let of_tenant =
        get_request("a", "/stock", "check").replace("X-Class", "X-Tenant: t-1\r\nX-Class");
    assert_eq!(client.ask(&of_tenant).status(), 200);
}

#[test]
fn removed_service_refuses_queued_and_finishes_in_flight_requests() {
    let (release, orders) = start_waiting_upstream();
    let stock = Upstream::start(|_| ok("stock"));
    let known =
        vec![service_member("orders", "s-1", &orders), service_member("stock", "s-2", &stock)];
    let both = [service("orders"), service("stock")];
    let routes = [route("", "/orders", "orders"), route("", "/stock", "stock")];
    let node = Node::start(&routed_config(known.clone(), &both, &routes));
    let mut in_flight = node.client();
    in_flight.send(&get_request("a", "/orders", "read"));
    orders.request();
    let mut waiting = node.client();
    waiting.send(&get_request("a", "/orders", "read"));
    thread::sleep(Duration::from_millis(100));
    let mut reduced = routed_config(known, &both[1..], &routes[1..]);
    reduced["discovery"] = json!(node.discovery.address.to_string());
    node.reconfigure(&reduced.to_string());
    let start = Instant::now();
    node.signal("HUP");
    assert_eq!(waiting.answer().expect("no answer").status(), 503);
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "must be refused at once, not at its deadline"
    );
    // New requests to the removed service match no route; the other service is still served.
    let mut client = node.client();
    assert_eq!(client.ask(&get_request("a", "/orders", "read")).status(), 404);
    assert_eq!(client.ask(&get_request("a", "/stock", "read")).body, b"stock");
    release.send(()).expect("the upstream is not waiting");
    let answer = in_flight.answer().expect("no answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"late"[..]));
    assert_eq!(orders.requests_so_far(), 0, "another request was sent to the removed service");
}

#[test]
fn added_service_is_served_once_the_list_names_its_upstreams() {
    let [orders, stock] = ["orders", "stock"].map(|name| Upstream::start(move |_| ok(name)));
    let known = vec![service_member("orders", "s-1", &orders)];
    let both = [service("orders"), service("stock")];
    let routes = [route("", "/orders", "orders"), route("", "/stock", "stock")];
    let node = Node::start(&routed_config(known.clone(), &both[..1], &routes[..1]));
    let (request_line, _watch) = node.discovery.watch();
    assert!(
        request_line.contains("service=orders") && !request_line.contains("stock"),
        "{request_line}"
    );
    let mut extended = routed_config(known, &both, &routes);
    extended["discovery"] = json!(node.discovery.address.to_string());
    node.reconfigure(&extended.to_string());
    node.signal("HUP");
    // After the reload, the proxy opens new watches. The last one is for both services, from the start of the list.
    let mut watch = loop {
        let (request_line, watch) = node.discovery.watch();
        if request_line.contains("service=stock") {
            assert!(
                request_line.contains("service=orders") && request_line.contains("index=0"),
                "{request_line}"
            );
            break watch;
        }
    };
    let members =
        vec![service_member("orders", "s-1", &orders), service_member("stock", "s-2", &stock)];
    let list = json!({"revision": 41, "complete": true, "members": members});
    chunk(&mut watch, &format!("{list}\n"));
    let mut client = node.client();
    assert_eq!(client.ask(&get_request("a", "/stock", "read")).body, b"stock");
    assert_eq!(client.ask(&get_request("a", "/orders", "read")).body, b"orders");
}

#[test]
fn invalid_configuration_is_refused_by_key_and_the_old_one_stays() {
    let orders = Upstream::start(|_| ok("orders"));
    let known = vec![service_member("orders", "s-1", &orders)];
    let routes = [route("", "/orders", "orders")];
    let valid = routed_config(known.clone(), &[service("orders")], &routes);
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut config = valid.clone();
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
        let stderr = refuses_to_start(&mut Command::new(NODE), &config.to_string());
        assert!(stderr.contains(key), "{key}: {stderr}");
    }
    let node = Node::start(&valid);
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
            assert_eq!(client.ask(&get_request("a", "/orders", "read")).body, b"orders");
            thread::sleep(Duration::from_millis(10));
        }
    }
}
