//! System calls of the proxy program that a test makes fail, with a library that is preloaded into the
//! program.

use super::*;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// The system calls of one process that fail.
pub struct FailingCalls {
    /// The file that lists the failing calls and their errors.
    script: PathBuf,
}

impl FailingCalls {
    /// Creates the list of failing calls, which is empty at first.
    pub fn none() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("failing-calls-{}-{}", std::process::id(), NEXT.fetch_add(1, SeqCst));
        let calls = FailingCalls { script: Path::new(env!("CARGO_TARGET_TMPDIR")).join(name) };
        calls.succeed();
        calls
    }

    /// Returns the shell command that starts the program, which is `$0`, with the library preloaded.
    pub fn command(&self) -> String {
        let library = library().display();
        let script = self.script.display();
        format!("FAILING_CALLS='{script}' LD_PRELOAD='{library}' exec \"$0\"")
    }

    /// Makes a call fail with an error of the operating system from now on.
    pub fn fail(&self, call: &str, error: nix::errno::Errno) {
        std::fs::write(&self.script, format!("{call} {}\n", error as i32)).expect("write the file");
    }

    /// Makes all calls succeed from now on.
    pub fn succeed(&self) {
        std::fs::write(&self.script, "").expect("write the file");
    }
}

/// Returns the path of the library, which is compiled once for each test program.
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
