//! Reloads that change the discovery address, from a file that is unreadable or incomplete at the time of
//! SIGHUP.

mod support;

use nix::errno::Errno;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::time::{Instant, sleep, timeout_at};

/// The time from SIGHUP after which the state that a new configuration leads to counts as notified to the
/// proxy.
const NOTIFIED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The time from SIGHUP until the file is complete or the system call succeeds again.
const FAULT_DURATION: Duration = Duration::from_millis(500);

/// A proxy whose discovery service has just moved to a new address, where backend `a` is draining.
struct Fixture {
    script: Arc<BackendScript>,
    new_discovery: Discovery,
    proxy: Proxy,
    /// The configuration with the new address.
    config: Value,
    failing_calls: FailingCalls,
    _old_discovery: Discovery,
    _backends: [Backend; 2],
}

async fn start_fixture() -> Fixture {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let old_discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let failing_calls = FailingCalls::none();
    let proxy = Proxy::start_with_command(&old_discovery.config(settings()), &failing_calls.command()).await;
    old_discovery.wait_until_applied().await;
    let new_discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    new_discovery.replace_list(vec![a.endpoint("DRAINING"), b.endpoint("SERVING")]);
    old_discovery.set_behavior(DiscoveryBehavior::Refusing).await;
    let config = new_discovery.config(settings());
    Fixture {
        script,
        new_discovery,
        proxy,
        config,
        failing_calls,
        _old_discovery: old_discovery,
        _backends: [a, b],
    }
}

impl Fixture {
    /// Checks that no new request goes to the draining backend once its drain counts as notified.
    async fn assert_drain_is_respected(&self, signalled_at: Instant, case: &str) {
        let applied =
            timeout_at(signalled_at + NOTIFIED_AFTER_RELOAD, self.new_discovery.wait_until_applied()).await;
        assert!(applied.is_ok(), "{case}: the new address is not in use");
        let requests_before = self.script.requests_at("a");
        for _ in 0..20 {
            assert_eq!(self.proxy.call("look").await, (200, "b".into()), "{case}");
        }
        assert_eq!(self.script.requests_at("a"), requests_before, "{case}");
    }
}

/// Guards against new requests to draining backends after a change of the discovery address whose file was
/// incomplete at the time of SIGHUP.
#[tokio::test]
async fn discovery_move_is_applied_after_a_partly_written_file() {
    for written_fraction in [0.0, 0.1, 0.5, 0.99] {
        let mut fixture = start_fixture().await;
        let text = fixture.config.to_string();
        let written_bytes = (text.len() as f64 * written_fraction) as usize;
        // When: SIGHUP arrives before the whole file is written.
        let signalled_at = Instant::now();
        fixture.proxy.reload(&text[..written_bytes], "configuration rejected").await;
        sleep(FAULT_DURATION).await;
        std::fs::write(&fixture.proxy.config, &text).expect("the file is written");
        // Then: the new discovery address is in use in time.
        fixture
            .assert_drain_is_respected(signalled_at, &format!("{written_bytes} bytes of {}", text.len()))
            .await;
    }
}

/// Guards against new requests to draining backends after a change of the discovery address whose file could
/// not be read at the time of SIGHUP.
#[tokio::test]
async fn discovery_move_is_applied_after_a_read_error() {
    for error in [Errno::ENFILE, Errno::EMFILE, Errno::EIO, Errno::ENOMEM, Errno::EACCES] {
        let mut fixture = start_fixture().await;
        // Given: a new configuration that cannot be read.
        fixture.failing_calls.fail("open", error);
        std::fs::write(&fixture.proxy.config, fixture.config.to_string()).expect("the file is written");
        // When: SIGHUP arrives before it is readable again.
        let signalled_at = Instant::now();
        fixture.proxy.reload_without_writing("configuration rejected").await;
        sleep(FAULT_DURATION).await;
        fixture.failing_calls.succeed();
        // Then: the new discovery address is in use in time.
        fixture.assert_drain_is_respected(signalled_at, &error.to_string()).await;
    }
}

/// Guards against the same if the file is missing for a short time, as between a removal and a rename.
#[tokio::test]
async fn discovery_move_is_applied_after_a_missing_file() {
    let mut fixture = start_fixture().await;
    std::fs::remove_file(&fixture.proxy.config).expect("the file exists");
    // When: SIGHUP arrives before the new file exists.
    let signalled_at = Instant::now();
    fixture.proxy.reload_without_writing("configuration rejected").await;
    sleep(FAULT_DURATION).await;
    std::fs::write(&fixture.proxy.config, fixture.config.to_string()).expect("the file is written");
    // Then: the new discovery address is in use in time.
    fixture.assert_drain_is_respected(signalled_at, "missing").await;
}

/// Guards against flooding the log while the configuration file stays broken.
#[tokio::test]
async fn broken_file_is_logged_once() {
    const BROKEN_DURATION: Duration = Duration::from_secs(2);
    let mut fixture = start_fixture().await;
    let text = fixture.config.to_string();
    // When: the file stays incomplete for some time after SIGHUP.
    fixture.proxy.reload(&text[..text.len() / 2], "configuration rejected").await;
    sleep(BROKEN_DURATION).await;
    std::fs::write(&fixture.proxy.config, &text).expect("the file is written");
    // Then: no further rejection is logged until the file is complete and applied.
    let log = fixture.proxy.log.as_mut().expect("the log is not taken");
    loop {
        let line = in_time(log.next_line()).await.expect("readable").expect("the log goes on");
        assert!(!line.contains("configuration rejected"), "{line}");
        if line.contains("configuration applied") {
            return;
        }
    }
}
