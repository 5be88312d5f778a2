//! Reloads the configuration file on SIGHUP. A configuration is applied completely and in one step, or not at
//! all.

use super::{Config, ConfigError, FixedConfig};
use crate::dispatcher::Dispatcher;
use crate::log::log;
use crate::milliseconds::duration_from_ms;
use crate::upstream::ConnectionPool;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// When the configuration in force was applied, and the last one that was rejected.
pub struct ReloadStatus {
    /// When the version in force was applied, in milliseconds of Unix time.
    applied_at_ms: Cell<u64>,
    last_rejection: RefCell<Option<Rejection>>,
}

/// A rejected configuration, as the admin API returns it.
#[derive(Debug, Clone, Serialize)]
struct Rejection {
    /// When the configuration was rejected, in milliseconds of Unix time.
    #[serde(rename = "at_ms")]
    rejected_at_ms: u64,
    #[serde(rename = "why")]
    reason: String,
}

/// The reload status, as the admin API returns it.
#[derive(Debug, Serialize)]
struct StatusResponse {
    #[serde(rename = "applied_ms")]
    applied_at_ms: u64,
    processes: Vec<ProcessStatus>,
    #[serde(rename = "refused")]
    last_rejection: Option<Rejection>,
    version: u64,
}

#[derive(Debug, Serialize)]
struct ProcessStatus {
    pid: u32,
    version: Option<u64>,
}

impl ReloadStatus {
    /// Creates the status after a start.
    pub fn new() -> Self {
        ReloadStatus { applied_at_ms: Cell::new(unix_ms()), last_rejection: RefCell::default() }
    }

    /// Returns the status as JSON. `version` is the one in force in this process, `processes` those of the
    /// proxy's processes by their ids.
    pub fn to_json(
        &self,
        version: u64,
        processes: &BTreeMap<u32, Option<u64>>,
    ) -> Result<String, serde_json::Error> {
        let processes = processes.iter().map(|(&pid, &version)| ProcessStatus { pid, version });
        serde_json::to_string(&StatusResponse {
            applied_at_ms: self.applied_at_ms.get(),
            processes: processes.collect(),
            last_rejection: self.last_rejection.borrow().clone(),
            version,
        })
    }
}

/// The result of a reload.
pub enum ReloadOutcome {
    /// The configuration is in force.
    Applied {
        /// The address of discovery if the watch is to be restarted, otherwise `None`.
        discovery: Option<SocketAddr>,
    },
    /// The configuration is invalid or can't be applied.
    Rejected,
    /// The file could not be read or is incomplete, and is to be read again.
    TryAgain,
}

/// Reads and applies changed configurations.
pub struct Reloader {
    dispatcher: Rc<Dispatcher>,
    pool: Rc<ConnectionPool>,
    status: Rc<ReloadStatus>,
    /// The values that only a restart can change, as of the start.
    fixed: FixedConfig,
    discovery: Cell<SocketAddr>,
    /// The last logged reason for a rejection since the last signal.
    last_logged_reason: RefCell<Option<String>>,
}

impl Reloader {
    /// Creates a reloader that continues from the configuration of the start, and passes that one's version
    /// to the dispatcher.
    pub fn new(
        config: &Config,
        dispatcher: Rc<Dispatcher>,
        pool: Rc<ConnectionPool>,
        status: Rc<ReloadStatus>,
    ) -> Result<Self, ConfigError> {
        dispatcher.configure(config.settings.clone(), config.version, config.content_hash())?;
        let (fixed, discovery) = (config.fixed(), Cell::new(config.discovery));
        Ok(Reloader { dispatcher, pool, status, fixed, discovery, last_logged_reason: RefCell::default() })
    }

    /// Reads the file and applies it. If that is not possible, nothing of it is applied and the configuration
    /// before it stays in force.
    pub fn reload(&self) -> ReloadOutcome {
        match super::reload().and_then(|config| self.apply(config)) {
            Ok(discovery) => ReloadOutcome::Applied { discovery },
            Err(error) => {
                self.reject(&error);
                if error.is_transient() { ReloadOutcome::TryAgain } else { ReloadOutcome::Rejected }
            }
        }
    }

    /// Records why the file was rejected, and logs the reason unless it is the last one logged since the
    /// signal.
    fn reject(&self, error: &ConfigError) {
        let reason = error.to_string();
        let logged = self.last_logged_reason.replace(Some(reason.clone()));
        if logged.as_ref() != Some(&reason) {
            let suffix =
                if error.is_transient() { "; retrying until the file is readable and complete" } else { "" };
            log!("configuration rejected: {reason}{suffix}");
        }
        self.status.last_rejection.replace(Some(Rejection { rejected_at_ms: unix_ms(), reason }));
    }

    /// Records that a signal has requested a reload.
    pub fn on_signal(&self) {
        self.last_logged_reason.take();
        log!("SIGHUP: reloading the file named by RELAY_CONFIG");
    }

    fn apply(&self, config: Config) -> Result<Option<SocketAddr>, ConfigError> {
        self.fixed.check_unchanged(&config.fixed())?;
        let old = self.dispatcher.settings();
        // Backends refer to their zones by index.
        if !config.settings.site.zone_names.starts_with(&old.site.zone_names) {
            return Err(ConfigError::InvalidValue {
                key: "settings: localities",
                reason: "needs a restart, unless zones are only added at the end",
            });
        }
        let (address, content_hash) = (config.discovery, config.content_hash());
        let old_version = self.dispatcher.settings_version();
        let version = self.dispatcher.configure(config.settings, config.version, content_hash)?;
        // No step fails from here on.
        let site = &self.dispatcher.settings().site;
        self.pool.set_timeouts(
            duration_from_ms(site.connect_timeout_ms),
            duration_from_ms(site.connection_idle_ms),
            duration_from_ms(site.drain_deadline_ms),
        );
        if version != old_version {
            self.status.applied_at_ms.set(unix_ms());
        }
        log!("configuration applied, version {version}, discovery at {address}");
        // The timeouts of the watch depend on the drain deadline.
        let has_drain_deadline_changed = site.drain_deadline_ms != old.site.drain_deadline_ms;
        let has_address_changed = self.discovery.replace(address) != address;
        Ok((has_address_changed || has_drain_deadline_changed).then_some(address))
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
