//! A short soak of the real program: fixed seeds, which are to hold each time. The long run is started by hand.

use foldhitch_scale_test::soak;
use std::path::{Path, PathBuf};

/// The real program as the release build leaves it.
fn program() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/foldhitch-proxy")
}

async fn holds(seed: u64) {
    let program = program();
    assert!(program.is_file(), "{}: build the release program first", program.display());
    let report = soak::run(seed, &program).await.expect("it can be played");
    println!("{report}");
    assert!(report.served > 0, "seed {seed} serves");
    assert!(report.broken.is_empty(), "seed {seed}: {report}");
}

/// Reloads in a row, a drain by the operators, SIGHUP right before SIGTERM, and SIGTERM twice.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_signals_in_series_holds() {
    holds(12).await;
}

/// A crowd that stays during the stop, and discovery that fails.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_a_crowd_holds() {
    holds(106).await;
}

/// Backends that hang, decline and answer without an end, with reloads in a row.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_faults_of_backends_holds() {
    holds(101).await;
}
