//! Starts that meet a temporary failure of the configuration file or the addresses, or an early signal.

mod support;

use nix::errno::Errno;
use serde_json::Value;
use std::sync::Arc;
use support::*;

/// Starts a backend and the discovery service that lists it, and returns the configuration of a proxy with an
/// admin API.
async fn start_fixture() -> (Arc<BackendScript>, Backend, Discovery, Value) {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["management"] = "127.0.0.1:0".into();
    (script, a, discovery, config)
}

/// Guards against a start that fails because its configuration is temporarily unreadable.
#[tokio::test]
async fn start_retries_an_unreadable_configuration() {
    for error in [Errno::ENFILE, Errno::EIO, Errno::ENOENT] {
        let (_script, _a, discovery, config) = start_fixture().await;
        // Given: a proxy that cannot read its configuration.
        let failing_calls = FailingCalls::none();
        failing_calls.fail("open", error);
        let mut starting = StartingProxy::spawn(&config, &failing_calls.command());
        starting.wait_for_log_line("reading the file again").await;
        // When: the configuration becomes readable. Then: the proxy starts and serves.
        failing_calls.succeed();
        let proxy = starting.wait_until_listening().await;
        discovery.wait_until_applied().await;
        assert_eq!(proxy.call("look").await, (200, "a".into()), "{error}");
    }
}

/// Guards against a start that fails because its addresses temporarily cannot be bound.
#[tokio::test]
async fn start_retries_addresses_that_cannot_be_bound() {
    for error in [Errno::EADDRINUSE, Errno::ENOBUFS, Errno::ENOMEM] {
        let (_script, _a, discovery, config) = start_fixture().await;
        // Given: a proxy that cannot bind its addresses.
        let failing_calls = FailingCalls::none();
        failing_calls.fail("bind", error);
        let mut starting = StartingProxy::spawn(&config, &failing_calls.command());
        starting.wait_for_log_line("binding it again").await;
        // When: the addresses become available. Then: the proxy starts and serves.
        failing_calls.succeed();
        let proxy = starting.wait_until_listening().await;
        discovery.wait_until_applied().await;
        assert_eq!(proxy.call("look").await, (200, "a".into()), "{error}");
    }
}

/// Guards against a SIGHUP that ends a process which is still starting.
#[tokio::test]
async fn sighup_during_the_start_does_not_end_the_process() {
    let (_script, _a, discovery, config) = start_fixture().await;
    // Given: a proxy that is still starting.
    let failing_calls = FailingCalls::none();
    failing_calls.fail("open", Errno::EIO);
    let mut starting = StartingProxy::spawn(&config, &failing_calls.command());
    starting.wait_for_log_line("reading the file again").await;
    // When: it gets a SIGHUP. Then: it starts and serves.
    starting.send_signal("-HUP").await;
    failing_calls.succeed();
    let proxy = starting.wait_until_listening().await;
    discovery.wait_until_applied().await;
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}
