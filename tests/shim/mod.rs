//! Builds a preload library (`faults.c`) that injects system call failures into the program.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Path of the library, built once by `cc`, the C compiler that also links Rust programs.
pub fn library() -> &'static str {
    static BUILT: OnceLock<String> = OnceLock::new();
    BUILT.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/faults.c");
        let name = format!("faults-{}.so", std::process::id());
        let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"]);
        let built = compiler.arg(&library).arg(source).arg("-ldl").status();
        assert!(built.expect("a C compiler").success(), "{source}");
        library.to_string_lossy().into_owned()
    })
}

/// Environment variables that make one call in `rate` of these kinds fail in a process.
pub fn faults(kinds: &str, rate: u32, seed: u64) -> [(&'static str, String); 4] {
    [
        ("LD_PRELOAD", library().to_owned()),
        ("FAULTS", kinds.to_owned()),
        ("FAULT_RATE", rate.to_string()),
        ("FAULT_SEED", seed.to_string()),
    ]
}
