//! A configuration that moves discovery, and a file that can't be read or is not whole when its signal comes.

mod support;

use nix::errno::Errno;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::time::{Instant, sleep, timeout_at};

/// What a new configuration brings counts as notified so long after its signal.
const NOTIFIED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// A file is whole, or a call succeeds again, so long after the signal.
const FAULT: Duration = Duration::from_millis(500);

/// A proxy whose discovery has just moved: at the new address backend `a` drains.
struct Fixture {
    script: Arc<BackendScript>,
    moved: Discovery,
    proxy: Proxy,
    /// The configuration that names the new address.
    config: Value,
    calls: FailingCalls,
    _old: Discovery,
    _backends: [Backend; 2],
}

async fn fixture() -> Fixture {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let old = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let calls = FailingCalls::none();
    let proxy = Proxy::start_with_command(&old.config(settings()), &calls.command()).await;
    old.wait_until_applied().await;
    let moved = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    moved.replace_list(vec![a.endpoint("DRAINING"), b.endpoint("SERVING")]);
    old.set_behavior(DiscoveryBehavior::Refusing).await;
    let config = moved.config(settings());
    Fixture { script, moved, proxy, config, calls, _old: old, _backends: [a, b] }
}

impl Fixture {
    /// No new work goes to the draining backend from the time on that its drain counts as notified.
    async fn check_drain_is_kept(&self, signalled_at: Instant, case: &str) {
        let applied = timeout_at(signalled_at + NOTIFIED_AFTER_RELOAD, self.moved.wait_until_applied()).await;
        assert!(applied.is_ok(), "{case}: the new address is not followed");
        let before = self.script.requests_at("a");
        for _ in 0..20 {
            assert_eq!(self.proxy.call("look").await, (200, "b".into()), "{case}");
        }
        assert_eq!(self.script.requests_at("a"), before, "{case}");
    }
}

/// Guards against new work at draining backends after a move of discovery whose file was half written at its signal.
#[tokio::test]
async fn a_move_of_discovery_is_followed_though_its_file_was_not_whole_at_the_signal() {
    for share_of_the_file in [0.0, 0.1, 0.5, 0.99] {
        let mut fixture = fixture().await;
        let text = fixture.config.to_string();
        let written = (text.len() as f64 * share_of_the_file) as usize;
        let signalled_at = Instant::now();
        fixture.proxy.reload(&text[..written], "configuration rejected").await;
        sleep(FAULT).await;
        std::fs::write(&fixture.proxy.config, &text).expect("it is written");
        fixture.check_drain_is_kept(signalled_at, &format!("{written} bytes of {}", text.len())).await;
    }
}

/// Guards against new work at draining backends after a move of discovery whose file could not be read at its signal.
#[tokio::test]
async fn a_move_of_discovery_is_followed_though_its_file_could_not_be_read_at_the_signal() {
    for error in [Errno::ENFILE, Errno::EMFILE, Errno::EIO, Errno::ENOMEM, Errno::EACCES] {
        let mut fixture = fixture().await;
        fixture.calls.fail("open", error);
        std::fs::write(&fixture.proxy.config, fixture.config.to_string()).expect("it is written");
        let signalled_at = Instant::now();
        fixture.proxy.reload_without_writing("configuration rejected").await;
        sleep(FAULT).await;
        fixture.calls.succeed();
        fixture.check_drain_is_kept(signalled_at, &error.to_string()).await;
    }
}

/// Guards against the same where the file is missing for a moment, as between a removal and a rename.
#[tokio::test]
async fn a_move_of_discovery_is_followed_though_its_file_was_missing_at_the_signal() {
    let mut fixture = fixture().await;
    std::fs::remove_file(&fixture.proxy.config).expect("it is there");
    let signalled_at = Instant::now();
    fixture.proxy.reload_without_writing("configuration rejected").await;
    sleep(FAULT).await;
    std::fs::write(&fixture.proxy.config, fixture.config.to_string()).expect("it is written");
    fixture.check_drain_is_kept(signalled_at, "missing").await;
}

/// Guards against a log that is flooded by a file that stays broken.
#[tokio::test]
async fn a_file_that_stays_broken_is_logged_once() {
    const STAYS_BROKEN: Duration = Duration::from_secs(2);
    let mut fixture = fixture().await;
    let text = fixture.config.to_string();
    fixture.proxy.reload(&text[..text.len() / 2], "configuration rejected").await;
    sleep(STAYS_BROKEN).await;
    std::fs::write(&fixture.proxy.config, &text).expect("it is written");
    let log = fixture.proxy.log.as_mut().expect("it is read");
    loop {
        let line = in_time(log.next_line()).await.expect("readable").expect("it goes on");
        assert!(!line.contains("configuration rejected"), "{line}");
        if line.contains("configuration applied") {
            return;
        }
    }
}
