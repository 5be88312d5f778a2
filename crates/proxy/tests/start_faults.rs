//! A start that meets a failure which passes: of its configuration, its addresses, and signals that come early.

mod support;

use nix::errno::Errno;
use serde_json::Value;
use std::sync::Arc;
use support::*;

/// A discovery with one backend, and the configuration of a proxy with an admin API.
async fn start_fixture() -> (Arc<BackendScript>, Backend, Discovery, Value) {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["management"] = "127.0.0.1:0".into();
    (script, a, discovery, config)
}

/// Guards against a start that fails since its configuration could not be read for a moment.
#[tokio::test]
async fn start_retries_an_unreadable_configuration() {
    for error in [Errno::ENFILE, Errno::EIO, Errno::ENOENT] {
        let (_script, _a, discovery, config) = start_fixture().await;
        let failing_calls = FailingCalls::none();
        failing_calls.fail("open", error);
        let mut starting = StartingProxy::spawn(&config, &failing_calls.command());
        starting.logged("read again").await;
        failing_calls.succeed();
        let proxy = starting.listening().await;
        discovery.wait_until_applied().await;
        assert_eq!(proxy.call("look").await, (200, "a".into()), "{error}");
    }
}

/// Guards against a start that fails since its addresses could not be bound for a moment.
#[tokio::test]
async fn start_retries_addresses_that_cannot_be_bound() {
    for error in [Errno::EADDRINUSE, Errno::ENOBUFS, Errno::ENOMEM] {
        let (_script, _a, discovery, config) = start_fixture().await;
        let failing_calls = FailingCalls::none();
        failing_calls.fail("bind", error);
        let mut starting = StartingProxy::spawn(&config, &failing_calls.command());
        starting.logged("bound again").await;
        failing_calls.succeed();
        let proxy = starting.listening().await;
        discovery.wait_until_applied().await;
        assert_eq!(proxy.call("look").await, (200, "a".into()), "{error}");
    }
}

/// Guards against a new configuration's signal that ends a process which has just begun to start.
#[tokio::test]
async fn sighup_during_the_start_does_not_end_the_process() {
    let (_script, _a, discovery, config) = start_fixture().await;
    let failing_calls = FailingCalls::none();
    failing_calls.fail("open", Errno::EIO);
    let mut starting = StartingProxy::spawn(&config, &failing_calls.command());
    starting.logged("read again").await;
    starting.kill("-HUP").await;
    failing_calls.succeed();
    let proxy = starting.listening().await;
    discovery.wait_until_applied().await;
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}
