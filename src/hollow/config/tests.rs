use std::path::Path;

use super::*;

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

const GOOD: &str = "management = \"127.0.0.1:0\"\nbalancers = 2\nupstreams = 4\n";
const LISTS: &str = "[lists]\nlisten = [\"127.0.0.1:1\"]\nmanagement = [\"127.0.0.1:2\"]\n";

#[test]
fn the_example_is_taken() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/hollow.toml");
    let config = HollowConfig::load(Path::new(path)).expect("sound");
    assert_eq!((config.balancers, config.upstreams, config.services.count()), (20, 300, 210));
    assert_eq!(config.settings().expect("sound").balancers, 400);
}

#[test]
fn what_is_left_out_has_a_default() {
    let config = parse(&format!("{GOOD}{LISTS}")).expect("sound");
    assert_eq!((config.first, config.ttl_ms, config.zones.len()), (0, 10_000, 1));
    assert_eq!(config.spread(), Duration::from_millis(3333));
    assert_eq!(config.settings().expect("sound").balancers, 2);
}

#[test]
fn each_bad_value_is_refused_by_its_key() {
    let bad = [
        (format!("{GOOD}beat = 1\n{LISTS}"), "`beat`"),
        (format!("{GOOD}{LISTS}stream = 1\n"), "`lists.stream`"),
        (GOOD.to_owned(), "`.`"),
        (format!("management = \"127.0.0.1:0\"\n{LISTS}"), "`balancers`"),
        (format!("management = \"here\"\nbalancers = 1\n{LISTS}"), "`management`"),
        (format!("{GOOD}ttl_ms = 10\n{LISTS}"), "`ttl_ms`"),
        (format!("{GOOD}zones = []\n{LISTS}"), "`zones`"),
        (format!("{GOOD}services = 0\n{LISTS}"), "`services`"),
        (format!("{GOOD}services = -1\n{LISTS}"), "`services`"),
        (format!("{GOOD}services = []\n{LISTS}"), "`services`"),
        (format!("{GOOD}services = [\"shop\", \"a,b\"]\n{LISTS}"), "`services`"),
        (format!("{GOOD}[lists]\nlisten = [\"127.0.0.1:1\"]\n"), "`lists.management`"),
        (format!("{GOOD}[lists]\nmanagement = [\"127.0.0.1:1\"]\n"), "`lists.listen`"),
        (format!("management = \"127.0.0.1:0\"\nbalancers = 100001\n{LISTS}"), "`balancers`"),
        (format!("management = \"127.0.0.1:0\"\nupstreams = 100001\n{LISTS}"), "`upstreams`"),
    ];
    for (text, key) in bad {
        let error = parse(&text).expect_err(&text);
        assert!(error.contains(key), "{error} names {key}");
    }
}

#[test]
fn the_modules_take_a_proxys_settings_by_its_file() {
    let proxy = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/proxy.json");
    let config = parse(&format!("{GOOD}proxy = \"{proxy}\"\n{LISTS}")).expect("sound");
    assert_eq!(config.settings().expect("sound").classes.len(), 3);
    let config = parse(&format!("{GOOD}proxy = \"/nowhere\"\n{LISTS}")).expect("read later");
    assert!(matches!(config.settings(), Err(ConfigError::Unreadable { .. })));
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/hollow.toml");
    let config = parse(&format!("{GOOD}proxy = \"{file}\"\n{LISTS}")).expect("read later");
    assert!(matches!(config.settings(), Err(ConfigError::Malformed { .. })));
}
