use std::path::Path;

use super::*;
use crate::interface::{Class, Settings, Span};
use crate::settings::Tenant;

fn parse(text: &str) -> Result<HollowConfig, String> {
    let path = std::env::temp_dir().join(format!(
        "hollow-config-{}-{:x}.toml",
        std::process::id(),
        crate::settings::stable_hash(text)
    ));
    std::fs::write(&path, text).expect("a temporary file");
    let loaded = HollowConfig::load(&path).map_err(|e| e.to_string());
    let _ = std::fs::remove_file(&path);
    loaded
}

const BASE: &str = "management = \"127.0.0.1:0\"\nbalancers = 2\nupstreams = 4\n";
const LISTS: &str = "[lists]\nlisten = [\"127.0.0.1:1\"]\nmanagement = [\"127.0.0.1:2\"]\n";

#[test]
fn example_file_is_accepted() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/hollow.toml");
    let config = HollowConfig::load(Path::new(path)).expect("sound");
    assert_eq!((config.balancers, config.upstreams, config.services.count()), (20, 300, 210));
    let facts = config.facts().expect("sound");
    assert_eq!((facts.settings().balancers, facts.settings().zones), (400, 5));
    let catalog = config.catalog(&facts, 7).expect("sound");
    let of_all = catalog.services.iter().map(|s| s.facts.settings());
    assert!(of_all.clone().all(|s| (s.position, s.zone, s.zones) == (7, 2, 5)));
    assert_eq!(of_all.count(), 210);
}

#[test]
fn omitted_settings_have_defaults() {
    let config = parse(&format!("{BASE}{LISTS}")).expect("sound");
    assert_eq!((config.first, config.ttl_ms, config.zones.len()), (0, 10_000, 1));
    assert_eq!(config.start_spread(), Duration::from_millis(3333));
    let facts = config.facts().expect("sound");
    let class = Class::safe(Span(2_000_000), Span(6_000_000));
    let basic = Settings { balancers: 2, ..Settings::basic(vec![class]) };
    assert_eq!(format!("{:?}", facts.settings()), format!("{basic:?}"));
    assert!(
        config.catalog(&facts, 0).expect("sound").is_single(),
        "a single service accepts every upstream"
    );
}

#[test]
fn each_named_service_gets_the_tenants_of_the_settings() {
    let named = |names: &str| {
        let config = parse(&format!("{BASE}services = {names}\n{LISTS}")).expect("sound");
        let mut facts = config.facts().expect("sound");
        facts.tenants = vec![Tenant { name: "t".into(), quota_rps: 1.0, share: 1.0 }];
        config.catalog(&facts, 1).expect("sound")
    };
    let two = named("[\"shop\", \"till\"]");
    assert_eq!(two.names(), Some(vec!["shop".to_owned(), "till".to_owned()]));
    assert!(two.services.iter().all(|s| s.tenant("t") == Some(0) && s.tenant("u").is_none()));
    assert_eq!(named("[\"shop\"]").names(), Some(vec!["shop".to_owned()]));
    assert!(named("[\"\"]").is_single());
}

#[test]
fn errors_name_the_key_of_the_invalid_value() {
    let bad = [
        (format!("{BASE}beat = 1\n{LISTS}"), "`beat`"),
        (format!("{BASE}{LISTS}stream = 1\n"), "`lists.stream`"),
        (BASE.to_owned(), "`.`"),
        (format!("management = \"127.0.0.1:0\"\n{LISTS}"), "`balancers`"),
        (format!("management = \"here\"\nbalancers = 1\n{LISTS}"), "`management`"),
        (format!("{BASE}ttl_ms = 10\n{LISTS}"), "`ttl_ms`"),
        (format!("{BASE}zones = []\n{LISTS}"), "`zones`"),
        (format!("{BASE}services = 0\n{LISTS}"), "`services`"),
        (format!("{BASE}services = -1\n{LISTS}"), "`services`"),
        (format!("{BASE}services = []\n{LISTS}"), "`services`"),
        (format!("{BASE}services = [\"shop\", \"a,b\"]\n{LISTS}"), "`services`"),
        (format!("{BASE}services = [\"shop\", \"shop\"]\n{LISTS}"), "`services`"),
        (format!("{BASE}services = [\"shop\", \"\"]\n{LISTS}"), "`services`"),
        (format!("{BASE}[lists]\nlisten = [\"127.0.0.1:1\"]\n"), "`lists.management`"),
        (format!("{BASE}[lists]\nmanagement = [\"127.0.0.1:1\"]\n"), "`lists.listen`"),
        (format!("management = \"127.0.0.1:0\"\nbalancers = 100001\n{LISTS}"), "`balancers`"),
        (format!("management = \"127.0.0.1:0\"\nupstreams = 100001\n{LISTS}"), "`upstreams`"),
    ];
    for (text, key) in bad {
        let error = parse(&text).expect_err(&text);
        assert!(error.contains(key), "{error} names {key}");
    }
}

#[test]
fn settings_are_read_from_a_proxy_configuration_file() {
    let proxy = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/proxy.json");
    let config = parse(&format!("{BASE}proxy = \"{proxy}\"\n{LISTS}")).expect("sound");
    assert_eq!(config.facts().expect("sound").settings().classes.len(), 3);
    let config = parse(&format!("{BASE}proxy = \"/nowhere\"\n{LISTS}")).expect("read later");
    assert!(matches!(config.facts(), Err(ConfigError::Unreadable { .. })));
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/hollow.toml");
    let config = parse(&format!("{BASE}proxy = \"{file}\"\n{LISTS}")).expect("read later");
    assert!(matches!(config.facts(), Err(ConfigError::Malformed { .. })));
}
