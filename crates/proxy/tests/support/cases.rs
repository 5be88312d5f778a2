//! Runs many cases of a test side by side.

use super::*;
use tokio::task::JoinSet;

/// The number of cases, each with a proxy of its own, that run at the same time.
const CONCURRENT_CASES: usize = 8;

/// Runs all cases and returns what they found to be broken.
pub async fn collect_broken<Case>(cases: impl IntoIterator<Item = Case>) -> Vec<String>
where
    Case: Future<Output = Option<String>> + Send + 'static,
{
    let mut running = JoinSet::new();
    let mut broken = Vec::new();
    for case in cases {
        if running.len() == CONCURRENT_CASES {
            broken.extend(running.join_next().await.expect("a case").expect("no panic"));
        }
        running.spawn(case);
    }
    for case in running.join_all().await {
        broken.extend(case);
    }
    broken
}

/// Fails if a case found something to be broken.
pub async fn expect_none_broken<Case>(cases: impl IntoIterator<Item = Case>)
where
    Case: Future<Output = Option<String>> + Send + 'static,
{
    let broken = collect_broken(cases).await;
    assert!(broken.is_empty(), "{}: {broken:#?}", broken.len());
}
