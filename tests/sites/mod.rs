//! Runs the program with the settings of other customers (`deploy/sites/`). Classes, effects, windows, tenants, zones,
//! limits and the list mode are read from each site's file, and the tests check each of them; no names are built in.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stubs::*;

struct Site {
    name: String,
    config: Value,
    classes: Vec<Class>,
    tenants: Vec<String>,
}

#[derive(Clone)]
struct Class {
    name: String,
    effect: String,
    group: String,
    deadline_ms: u64,
}

/// A number of the site file, or the mean of a range.
fn number_or_mean(table: &toml::Value, key: &str) -> f64 {
    let number = |v: &toml::Value| v.as_float().or(v.as_integer().map(|n| n as f64));
    let value = table.get(key).unwrap_or_else(|| panic!("no {key}"));
    match value.as_array() {
        Some(range) => range.iter().filter_map(number).sum::<f64>() / range.len() as f64,
        None => number(value).expect("value is a number"),
    }
}

fn string_list<'a>(table: &'a toml::Value, key: &str) -> Vec<&'a str> {
    table[key].as_array().expect("value is a list").iter().filter_map(toml::Value::as_str).collect()
}

fn text(table: &toml::Value, key: &str, default: &str) -> String {
    table.get(key).and_then(toml::Value::as_str).unwrap_or(default).to_owned()
}

/// Translates a site file into the configuration of a proxy.
fn read_site(path: &std::path::Path) -> Site {
    let file = std::fs::read_to_string(path).expect("site file is readable");
    let site: toml::Value = toml::from_str(&file).expect("site file is valid TOML");
    let effect = |word: &str| match word {
        "safe" => "retryable",
        "keyed" => "dedup",
        _ => "fragile",
    };
    let tables = |key: &str| site.get(key).and_then(toml::Value::as_array).cloned();
    let classes = tables("class").expect("site has classes");
    let services: Vec<Value> = classes
        .iter()
        .map(|c| {
            json!({"Name": c["name"].as_str(), "Aim": number_or_mean(c, "aim_ms"), "Deadline": number_or_mean(c, "deadline_ms"),
                "Effect": effect(c["effect"].as_str().expect("class has an effect")), "Group": text(c, "group", "all"),
                "Importance": number_or_mean(c, "worth"), "LateValue": number_or_mean(c, "late_worth"),
                "Window": c.get("window_ms").map_or(5000.0, |_| number_or_mean(c, "window_ms"))})
        })
        .collect();
    let tenants = tables("tenant").unwrap_or_default();
    let tenant_settings = |t: &toml::Value| json!({"Name": text(t, "name", ""), "QuotaRps": 50.0, "Share": number_or_mean(t, "share")});
    let (tier, allow, rules) = (&site["tier"][0], &site["allow"], &site["rules"]);
    let subscribes = text(&site["discovery"], "mode", "push") == "ask";
    let settings = json!({
        "Balancers": 1, "Position": 0, "Zone": 0, "Zones": string_list(&site["net"], "zones"),
        "MachineTypes": ["std", "lite"], "Tick": 1.0,
        "RegistryMode": if subscribes { "subscribe" } else { "automatic" },
        "Services": services,
        "Tenants": tenants.iter().map(tenant_settings).collect::<Vec<_>>(),
        "PolicyLimits": {"MaxAttempts": number_or_mean(allow, "max_attempts") as u64,
            "SecondCopies": allow["second_copies"].as_bool(), "Cancelling": allow["cancel"].as_bool(),
            "ConnectTimeout": number_or_mean(&tier["conn"], "connect_timeout_ms"),
            "Keepalive": number_or_mean(&tier["conn"], "idle_s") * 1000.0, "StreamsPerConn": 1},
        "Safety": {"Cold": 9000.0, "ColdFrom": 0.3, "FallMultiple": number_or_mean(rules, "fall_multiple"),
            "TipAfter": number_or_mean(rules, "fall_ms"), "DrainGrace": number_or_mean(rules, "drain_grace_ms"),
            "AnswerSlack": 20.0, "AskEvery": 10_000.0},
        "Stats": {"How": "piggyback", "Names": string_list(&tier["report"], "fields")},
    });
    let class = |c: &toml::Value| Class {
        name: text(c, "name", ""),
        effect: text(c, "effect", ""),
        group: text(c, "group", "all"),
        deadline_ms: number_or_mean(c, "deadline_ms") as u64,
    };
    Site {
        name: text(&site, "name", ""),
        config: json!({"seed": "1", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": settings}),
        classes: classes.iter().map(class).collect(),
        tenants: tenants.iter().map(|t| text(t, "name", "")).collect(),
    }
}

fn sites() -> Vec<Site> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/sites");
    let folders = std::fs::read_dir(folder)
        .expect("sites folder is readable")
        .map(|f| f.expect("folder entry is readable").path());
    let file = |folder: std::path::PathBuf| {
        let name = folder.file_name().expect("folder has a name").to_string_lossy().into_owned();
        read_site(&folder.join(format!("{name}.toml")))
    };
    let sites: Vec<Site> = folders.map(file).collect();
    assert!(sites.len() >= 2, "at least two other customers");
    sites
}

impl Site {
    fn node(&self, upstreams: &[&Upstream]) -> Node {
        let mut config = self.config.clone();
        let known = members(upstreams);
        config["known"] = json!({"revision": 41, "complete": true, "members": known});
        Node::start(&config)
    }

    /// An HTTP request of this class with the headers that its effect requires.
    fn request(&self, class: &Class, id: &str, deadline_ms: u64) -> String {
        let (method, body) = if class.effect == "safe" { ("GET", "") } else { ("POST", "x") };
        let key = if class.effect == "keyed" {
            format!("Idempotency-Key: k-{id}\r\n")
        } else {
            String::new()
        };
        let tenant = self.tenants.first().map(|t| format!("X-Tenant: {t}\r\n")).unwrap_or_default();
        let length =
            if body.is_empty() { String::new() } else { "Content-Length: 1\r\n".to_owned() };
        format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {}\r\n\
             {key}{tenant}X-Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}",
            class.name
        )
    }
}

#[test]
fn each_site_serves_only_its_own_classes_methods_and_tenants() {
    let sites = sites();
    for site in &sites {
        let upstream = Upstream::start(|_| ok("ok"));
        let node = site.node(&[&upstream]);
        for class in &site.classes {
            let valid = site.request(class, "r", class.deadline_ms);
            let what = format!("{} of {}", class.name, site.name);
            assert_eq!(node.client().ask(&valid).status(), 200, "{what}");
            // Rejected: the methods of other effects, and a missing or unknown tenant.
            let mut invalid: Vec<String> = ["safe", "keyed", "unsafe"]
                .into_iter()
                .filter(|effect| *effect != class.effect)
                .map(|effect| Class { effect: effect.to_owned(), ..class.clone() })
                .map(|other| site.request(&other, "r", class.deadline_ms))
                .collect();
            if let Some(tenant) = site.tenants.first() {
                let line = format!("X-Tenant: {tenant}\r\n");
                invalid.extend([valid.replace(&line, ""), valid.replace(tenant, "nobody")]);
            }
            for text in invalid {
                assert_eq!(node.client().ask(&text).status(), 400, "{what}: {text}");
            }
        }
        // Classes of every other site, and the class stock-check, are unknown here.
        let others = sites.iter().filter(|s| s.name != site.name).flat_map(|s| s.classes.clone());
        let stock = Class {
            name: "stock-check".into(),
            effect: "safe".into(),
            group: "all".into(),
            deadline_ms: 1,
        };
        for unknown in others.chain([stock]) {
            let text = site.request(&unknown, "r", 1000);
            assert_eq!(node.client().ask(&text).status(), 400, "{} at {}", unknown.name, site.name);
        }
    }
}

#[test]
fn retries_follow_each_class_effect() {
    for site in sites() {
        for class in &site.classes {
            // The upstream that gets the first request closes the connection without an answer; both are in one cell.
            let request_count = Arc::new(AtomicUsize::new(0));
            let start = || {
                let request_count = request_count.clone();
                Upstream::start(move |_| match request_count.fetch_add(1, Ordering::SeqCst) {
                    0 => Does::Ends(String::new()),
                    _ => ok("second"),
                })
            };
            let pair = [start(), start()];
            let node = site.node(&[&pair[0], &pair[1]]);
            let answer = node.client().ask(&site.request(class, "r", class.deadline_ms));
            let expected = if class.effect == "unsafe" { (502, 1) } else { (200, 2) };
            let what =
                format!("{} of {}, {} in {}", class.name, site.name, class.effect, class.group);
            assert_eq!((answer.status(), request_count.load(Ordering::SeqCst)), expected, "{what}");
        }
    }
}

#[test]
fn each_deadline_is_kept_when_an_upstream_hangs() {
    for site in sites() {
        let hanging = Upstream::start(|_| Does::Hangs);
        let node = site.node(&[&hanging]);
        for class in &site.classes {
            // Shorter than any aim, so that the client's own deadline applies.
            let deadline = 200.min(class.deadline_ms);
            let started = Instant::now();
            let answer = node.client().ask(&site.request(class, "r", deadline));
            let what = format!("{} of {}", class.name, site.name);
            assert!(matches!(answer.status(), 503 | 504), "{what}: {}", answer.status());
            assert!(
                started.elapsed() < Duration::from_millis(deadline + 50),
                "{what}: {:?}",
                started.elapsed()
            );
        }
    }
}

#[test]
fn list_updates_are_followed_at_each_site() {
    for site in sites() {
        let upstream = Upstream::start(|_| ok("ok"));
        let node = site.node(&[]);
        let (call, mut watch) = node.discovery.watch();
        assert!(call.starts_with("GET /api/targets?stream=1&index=41 "), "{call}");
        let list = json!({"revision": 42, "complete": true, "members": members(&[&upstream])});
        chunk(&mut watch, &format!("{list}\n"));
        let class = &site.classes[0];
        let text = site.request(class, "r", class.deadline_ms);
        assert_eq!(node.client().ask(&text).status(), 200, "{}", site.name);
        let gone = json!({"revision": 43, "complete": true, "members": []});
        chunk(&mut watch, &format!("{gone}\n"));
        let started = Instant::now();
        while node.client().ask("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200 {
            assert!(started.elapsed() < SOON, "still ready with no upstream left");
        }
    }
}
