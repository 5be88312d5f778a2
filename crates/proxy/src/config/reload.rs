//! SIGHUP: the configuration file is read again, and what it says is put in force in one turn, or not at all.

use super::{Config, ConfigError, FixedConfig};
use crate::dispatcher::{Dispatcher, duration_from_ms};
use crate::log::log;
use crate::upstream::ConnectionPool;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// What became of the configurations that were read.
pub struct ReloadStatus {
    /// When the one in force was put so, Unix time in milliseconds.
    applied_at_ms: Cell<u64>,
    last_rejection: RefCell<Option<Rejection>>,
}

/// A configuration that was rejected, as the admin API answers with it.
#[derive(Debug, Clone, Serialize)]
struct Rejection {
    /// When it came, Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    rejected_at_ms: u64,
    #[serde(rename = "why")]
    reason: String,
}

/// The status as the admin API answers with it.
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
    /// Of a start.
    pub fn new() -> Self {
        ReloadStatus { applied_at_ms: Cell::new(unix_ms()), last_rejection: RefCell::default() }
    }

    /// The status as JSON, with the version in force here and those of the processes that act as this proxy.
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

/// What became of a configuration that was read again.
pub enum ReloadOutcome {
    /// It is in force.
    Applied {
        /// The address of discovery, where its watch is to begin anew.
        discovery: Option<SocketAddr>,
    },
    /// It can't be put in force.
    Rejected,
    /// It could not be read or was not whole, and is still to be put in force.
    TryAgain,
}

/// Reads the configuration again.
pub struct Reloader {
    dispatcher: Rc<Dispatcher>,
    pool: Rc<ConnectionPool>,
    status: Rc<ReloadStatus>,
    /// What only a start can change, as it was then.
    fixed: FixedConfig,
    discovery: Cell<SocketAddr>,
    /// Why the file was rejected, as logged last since the last signal.
    last_logged_reason: RefCell<Option<String>>,
}

impl Reloader {
    /// Continues from the configuration of a start, whose version counts from here.
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

    /// Reads the file and puts it in force. Of a file that can't be put in force nothing is, and the one before holds.
    pub fn reload(&self) -> ReloadOutcome {
        match super::reload().and_then(|config| self.apply(config)) {
            Ok(discovery) => ReloadOutcome::Applied { discovery },
            Err(error) => {
                self.reject(&error);
                if error.is_transient() { ReloadOutcome::TryAgain } else { ReloadOutcome::Rejected }
            }
        }
    }

    /// Notes why the file was not put in force, and logs it unless it is what the last read since the signal met.
    fn reject(&self, error: &ConfigError) {
        let reason = error.to_string();
        let logged = self.last_logged_reason.replace(Some(reason.clone()));
        if logged.as_ref() != Some(&reason) {
            let suffix = if error.is_transient() { "; it is read again until it is whole" } else { "" };
            log!("configuration rejected: {reason}{suffix}");
        }
        self.status.last_rejection.replace(Some(Rejection { rejected_at_ms: unix_ms(), reason }));
    }

    /// Notes that a signal asks for the file.
    pub fn on_signal(&self) {
        self.last_logged_reason.take();
        log!("SIGHUP: the file that RELAY_CONFIG names is read again");
    }

    fn apply(&self, config: Config) -> Result<Option<SocketAddr>, ConfigError> {
        self.fixed.check_unchanged(&config.fixed())?;
        let old = self.dispatcher.settings();
        // Backends are known by the places of their zones.
        if !config.settings.site.zone_names.starts_with(&old.site.zone_names) {
            return Err(ConfigError::InvalidValue {
                key: "settings: localities",
                reason: "needs a restart, unless some are added",
            });
        }
        let (address, content_hash) = (config.discovery, config.content_hash());
        let old_version = self.dispatcher.settings_version();
        let version = self.dispatcher.configure(config.settings, config.version, content_hash)?;
        // Nothing fails from here on.
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
        // How long its watch waits follows from the drain deadline.
        let has_drain_deadline_changed = site.drain_deadline_ms != old.site.drain_deadline_ms;
        let has_address_changed = self.discovery.replace(address) != address;
        Ok((has_address_changed || has_drain_deadline_changed).then_some(address))
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
