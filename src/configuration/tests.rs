use super::*;

#[derive(Debug, serde::Deserialize)]
#[allow(dead_code)]
struct Outer {
    listen: String,
    #[serde(default)]
    inner: Vec<Inner>,
}

#[derive(Debug, serde::Deserialize)]
#[allow(dead_code)]
struct Inner {
    id: String,
    size: f64,
}

fn error(text: &str) -> String {
    parse::<Outer>(Path::new("x.toml"), text).expect_err("refused").to_string()
}

#[test]
fn an_invalid_key_is_reported_by_its_path() {
    let message = error("listen = \"a\"\n[[inner]]\nid = \"s\"\nsize = \"big\"\n");
    assert!(message.starts_with("x.toml: key `inner[0].size`:"), "{message}");
    let message = error("listen = \"a\"\n[[inner]]\nid = \"s\"\nsize = 1.0\nsizes = 2\n");
    assert_eq!(message, "x.toml: key `inner.0.sizes`: no such key");
    assert!(error("listen = [").starts_with("x.toml: key `.`:"));
    assert!(error("").contains("listen"), "a missing key is named");
}
