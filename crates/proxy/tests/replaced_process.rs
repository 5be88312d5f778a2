//! A process that replaces another one has in force what the reloads before it have put in force. It starts with
//! the environment of the first process, which still names the first address of discovery.

mod support;

use serde_json::{Value, json};
use std::sync::Arc;
use support::*;

/// How a process is replaced.
#[derive(Debug, Clone, Copy)]
enum Replacement {
    /// Another process starts, and the first is then told to end.
    Upgrade,
    /// An upgrade of an upgrade.
    SecondUpgrade,
    /// The process is killed and started again.
    Crash,
}

const REPLACEMENTS: [Replacement; 3] = [Replacement::Upgrade, Replacement::SecondUpgrade, Replacement::Crash];

impl Replacement {
    /// Replaces a process by one with this configuration, and returns the new one.
    async fn replace(self, mut process: Proxy, config: &Value) -> Proxy {
        match self {
            Replacement::Upgrade => upgrade(process, config).await,
            Replacement::SecondUpgrade => {
                let second = upgrade(process, config).await;
                upgrade(second, config).await
            }
            Replacement::Crash => {
                process.kill().await;
                process.start_beside(config).await
            }
        }
    }
}

async fn upgrade(mut old: Proxy, config: &Value) -> Proxy {
    let new = old.start_beside(config).await;
    old.terminate().await;
    assert!(old.wait_for_exit().await.success());
    new
}

/// Returns settings with another class, as a new configuration names them.
fn with_added_class(mut settings: Value, name: &str) -> Value {
    let classes = settings["classes"].as_array_mut().expect("a list");
    let mut class = classes.last().expect("a class").clone();
    class["name"] = name.into();
    classes.push(class);
    settings
}

/// Returns the next configuration: another address of discovery, another version, and another class.
fn moved_config(config: &Value, discovery: &Discovery, version: u64) -> Value {
    let settings = with_added_class(config["settings"].clone(), &format!("added{version}"));
    let mut moved = discovery.config(settings);
    moved["management"] = config["management"].clone();
    moved["version"] = json!(version);
    moved
}

/// Expects that a process has the configuration in force, and follows discovery at the address that it names.
async fn expect_in_force(process: &Proxy, discovery: &Discovery, version: u64, case: &str) {
    let in_force = process.admin_json("/v1/settings").await;
    assert_eq!(in_force["version"], json!(version), "{case}");
    let script = Arc::new(BackendScript::default());
    let newest = Backend::start("newest", &script).await;
    discovery.publish(vec![newest.endpoint("SERVING")]).await;
    for class in ["look".to_string(), format!("added{version}")] {
        assert_eq!(process.call(&class).await, (200, "newest".into()), "{case}, {class}");
    }
}

/// Guards against a process that follows the address of discovery in its environment, although a reload has moved
/// discovery since: it would never hear of a drain.
#[tokio::test]
async fn replaced_process_has_what_reloads_have_put_in_force() {
    for replacement in REPLACEMENTS {
        for move_count in 1..=2 {
            let case = format!("{replacement:?} after {move_count} moves");
            let script = Arc::new(BackendScript::default());
            let backend = Backend::start("a", &script).await;
            let mut discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
            let mut config = discovery.config(settings());
            config["management"] = "127.0.0.1:0".into();
            config["version"] = 1.into();
            let mut process = Proxy::start_with_command(&config, "exec \"$0\"").await;
            discovery.wait_until_applied().await;
            // Given: reloads, each of which moves discovery. The address before it refuses connections.
            let mut version = 1;
            for _ in 0..move_count {
                version += 1;
                let next = Discovery::start(vec![backend.endpoint("SERVING")]).await;
                config = moved_config(&config, &next, version);
                process.reload(&config.to_string(), "configuration applied").await;
                next.wait_until_applied().await;
                discovery.set_behavior(DiscoveryBehavior::Refusing).await;
                discovery = next;
            }
            // When: the process is replaced. Then: the new one has the last configuration in force.
            let replaced = replacement.replace(process, &config).await;
            expect_in_force(&replaced, &discovery, version, &case).await;
        }
    }
}
