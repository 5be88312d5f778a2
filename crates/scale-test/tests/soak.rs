//! A short soak of the real proxy program with fixed seeds, which must pass on every run. Long soaks
//! are started by hand.

use foldhitch_scale_test::soak;
use std::path::{Path, PathBuf};

/// Returns the path of the proxy program of the release build.
fn program() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/foldhitch-proxy")
}

async fn assert_rules_hold(seed: u64) {
    let program = program();
    assert!(program.is_file(), "{}: build the release program first", program.display());
    let report = soak::run(seed, &program).await.expect("the soak runs");
    println!("{report}");
    assert!(report.served > 0, "seed {seed}: no request was served");
    assert!(report.broken.is_empty(), "seed {seed}: {report}");
}

/// The seed contains a series of reloads, a drain through the admin API, SIGHUP right before SIGTERM, and a
/// second SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_signals_in_series_holds() {
    assert_rules_hold(12).await;
}

/// The seed contains a crowd that stays during the stop, and outages of discovery.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_a_crowd_holds() {
    assert_rules_hold(106).await;
}

/// The seed contains backends that hang, decline and send endless responses, and a series of reloads.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_faults_of_backends_holds() {
    assert_rules_hold(101).await;
}
