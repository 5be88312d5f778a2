//! A start that meets a failure which passes: of its configuration, its addresses, and signals that come early.

mod support;

use nix::errno::Errno;
use serde_json::Value;
use std::sync::Arc;
use support::*;

/// A discovery with one backend, and the configuration of a proxy with an admin API.
async fn fixture() -> (Arc<BackendScript>, Backend, Discovery, Value) {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["management"] = "127.0.0.1:0".into();
    (script, a, discovery, config)
}

/// Guards against a start that fails since its configuration could not be read for a moment.
#[tokio::test]
async fn a_start_waits_for_a_configuration_that_cannot_be_read_for_a_moment() {
    for error in [Errno::ENFILE, Errno::EIO, Errno::ENOENT] {
        let (_script, _a, discovery, config) = fixture().await;
        let calls = FailingCalls::none();
        calls.fail("open", error);
        let mut starting = StartingProxy::spawn(&config, &calls.command());
        starting.wait_for_log_line("reading the file again").await;
        calls.succeed();
        let proxy = starting.wait_until_listening().await;
        discovery.wait_until_applied().await;
        assert_eq!(proxy.call("look").await, (200, "a".into()), "{error}");
    }
}

/// Guards against a start that fails since its addresses could not be bound for a moment.
#[tokio::test]
async fn a_start_waits_for_addresses_that_cannot_be_bound_for_a_moment() {
    for error in [Errno::EADDRINUSE, Errno::ENOBUFS, Errno::ENOMEM] {
        let (_script, _a, discovery, config) = fixture().await;
        let calls = FailingCalls::none();
        calls.fail("bind", error);
        let mut starting = StartingProxy::spawn(&config, &calls.command());
        starting.wait_for_log_line("binding it again").await;
        calls.succeed();
        let proxy = starting.wait_until_listening().await;
        discovery.wait_until_applied().await;
        assert_eq!(proxy.call("look").await, (200, "a".into()), "{error}");
    }
}

/// Guards against a new configuration's signal that ends a process which has just begun to start.
#[tokio::test]
async fn a_hangup_during_the_start_does_not_end_the_process() {
    let (_script, _a, discovery, config) = fixture().await;
    let calls = FailingCalls::none();
    calls.fail("open", Errno::EIO);
    let mut starting = StartingProxy::spawn(&config, &calls.command());
    starting.wait_for_log_line("reading the file again").await;
    starting.send_signal("-HUP").await;
    calls.succeed();
    let proxy = starting.wait_until_listening().await;
    discovery.wait_until_applied().await;
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}
