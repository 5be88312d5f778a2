//! System calls of the started program that fail as a test says, by a library that is preloaded into it.

use super::*;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// The system calls of one process that fail.
pub struct FailingCalls {
    /// Says which calls fail, and how.
    script: PathBuf,
}

impl FailingCalls {
    /// None fails yet.
    pub fn none() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("failing-calls-{}-{}", std::process::id(), NEXT.fetch_add(1, SeqCst));
        let calls = FailingCalls { script: Path::new(env!("CARGO_TARGET_TMPDIR")).join(name) };
        calls.succeed();
        calls
    }

    /// The shell command that starts the program, which is `$0`, with the library.
    pub fn command(&self) -> String {
        let library = library().display();
        let script = self.script.display();
        format!("FAILING_CALLS='{script}' LD_PRELOAD='{library}' exec \"$0\"")
    }

    /// From now on a call fails with an error of the system.
    pub fn fail(&self, call: &str, error: nix::errno::Errno) {
        std::fs::write(&self.script, format!("{call} {}\n", error as i32)).expect("a file");
    }

    /// From now on no call fails.
    pub fn succeed(&self) {
        std::fs::write(&self.script, "").expect("a file");
    }
}

/// The library, compiled once for each test program.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/support/failing_calls.c");
        let name = format!("failing-calls-{}.so", std::process::id());
        let library = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let mut compiler = std::process::Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-Wall", "-Werror", "-O1", "-o"]);
        let status = compiler.arg(&library).arg(&source).arg("-ldl").status().expect("a C compiler");
        assert!(status.success(), "the library compiles");
        library
    })
}
