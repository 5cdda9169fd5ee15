//! How `.ci/run` judges a run of the tests by KNOWN-RED.txt.

use std::process::Command;

const LIST: &str =
    "a::one: test\na::two: test\na::twins: test\na::twins: test\nthree: test\nfour: test\n";

/// Whether such a file lets such a run pass, and what is printed.
fn judge(file: Option<&str>, failed: &[&str]) -> (bool, String) {
    let dir = std::env::temp_dir().join(format!(
        "known-red-{}-{:?}",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::create_dir_all(&dir).expect("a folder");
    let output: String = ["a::one", "a::two", "three", "four"]
        .iter()
        .map(|t| format!("test {t} ... {}\n", if failed.contains(t) { "FAILED" } else { "ok" }))
        .collect();
    let path = |name: &str| dir.join(name);
    let _ = std::fs::remove_file(path("file"));
    if let Some(file) = file {
        std::fs::write(path("file"), file).expect("written");
    }
    std::fs::write(path("list"), LIST).expect("written");
    std::fs::write(path("output"), output).expect("written");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let run = Command::new("bash")
        .arg(script)
        .args([path("file"), path("list"), path("output")])
        .output()
        .expect("it runs");
    let _ = std::fs::remove_dir_all(&dir);
    let said = [run.stdout, run.stderr].concat();
    (run.status.success(), String::from_utf8(said).expect("UTF-8"))
}

#[test]
fn only_named_tests_may_fail_and_they_are_printed() {
    assert!(judge(None, &[]).0 && judge(Some(""), &[]).0);
    assert!(!judge(None, &["a::one"]).0, "a failure that nobody named");
    let file = "a::one; the clock of the agent; #25\nthree\tnot known\t26\n";
    let (passed, said) = judge(Some(file), &["a::one"]);
    assert!(passed, "{said}");
    assert!(said.contains("a::one fails") && said.contains("three passes"), "{said}");
    let (passed, said) = judge(Some(file), &["a::one", "four"]);
    assert!(!passed && said.contains("four failed and is not named"), "{said}");
}

#[test]
fn a_file_of_another_form_fails() {
    for (file, why) in [
        ("a::one; why; 1\na::two; why; 1\nthree; why; 1\nfour; why; 1\n", "three at most"),
        ("a::none; why; 1\n", "0 tests are called a::none"),
        ("one; why; 1\n", "0 tests are called one"),
        ("a::twins; why; 1\n", "2 tests are called a::twins"),
        ("a::one; why\n", "no issue's number"),
        ("a::one; ; 1\n", "not 'test; cause; issue'"),
        ("a::one; why; 1; more\n", "not 'test; cause; issue'"),
        ("a::one; why; soon\n", "no issue's number"),
    ] {
        let (passed, said) = judge(Some(file), &["a::one"]);
        assert!(!passed && said.contains(why), "{file:?}: {said}");
    }
}
