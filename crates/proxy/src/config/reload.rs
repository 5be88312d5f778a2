//! SIGHUP: the configuration file is read again, and what it says is put in force in one turn, or not at all.

use crate::config::{self, Config};
use crate::dispatcher::{Engine, millis};
use crate::log::log;
use crate::upstream::Pool;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// What became of the configurations that were read, for the operators' eyes.
pub struct Record {
    /// When the one in force was put so, Unix time in milliseconds.
    applied_ms: Cell<u64>,
    /// When the last one that was refused came, and why it was.
    refused: RefCell<Option<(u64, String)>>,
}

impl Record {
    /// Of a start.
    pub fn new() -> Self {
        Record { applied_ms: Cell::new(unix_ms()), refused: RefCell::default() }
    }

    /// The record beside the version in force here and those of the processes that act as this proxy.
    pub fn shown(&self, version: u64, processes: &BTreeMap<u32, Option<u64>>) -> Value {
        let refused = self.refused.borrow();
        let refused = refused.as_ref().map(|(at_ms, why)| json!({"at_ms": at_ms, "why": why}));
        let processes: Vec<Value> =
            processes.iter().map(|(pid, version)| json!({"pid": pid, "version": version})).collect();
        json!({"version": version, "applied_ms": self.applied_ms.get(), "refused": refused, "processes": processes})
    }
}

/// Reads the configuration again.
pub struct Reload {
    engine: Rc<Engine>,
    pool: Rc<Pool>,
    record: Rc<Record>,
    /// What only a start can change, as it was then.
    fixed: Vec<(&'static str, String)>,
    /// Where discovery is.
    discovery: Cell<SocketAddr>,
}

impl Reload {
    /// Goes on from the configuration of a start, whose number counts from here.
    pub fn new(
        config: &Config,
        engine: Rc<Engine>,
        pool: Rc<Pool>,
        record: Rc<Record>,
    ) -> Result<Self, String> {
        let first = engine.configure(config.facts.clone(), config.version, config.content());
        first.map_err(|e| e.to_string())?;
        let (fixed, discovery) = (config.fixed(), Cell::new(config.discovery));
        Ok(Reload { engine, pool, record, fixed, discovery })
    }

    /// Reads the file and puts it in force; the address of discovery, where its watch is to begin anew. Of a file
    /// that can't be put in force nothing is, and the one before holds.
    pub fn again(&self) -> Option<SocketAddr> {
        match config::reload().and_then(|config| self.apply(config)) {
            Ok(moved) => moved,
            Err(e) => {
                log!("configuration kept: {e}");
                self.record.refused.replace(Some((unix_ms(), e)));
                None
            }
        }
    }

    fn apply(&self, config: Config) -> Result<Option<SocketAddr>, String> {
        let now = config.fixed();
        if let Some((_, (key, _))) = self.fixed.iter().zip(&now).find(|(old, new)| old != new) {
            return Err(format!("config: {key}: needs a restart"));
        }
        let (old, address, content) = (self.engine.facts(), config.discovery, config.content());
        // Backends are known by the places of their zones.
        if !config.facts.site.zone_names.starts_with(&old.site.zone_names) {
            return Err("config: settings: localities: needs a restart, unless some are added".to_string());
        }
        let before = self.engine.version();
        let version = self.engine.configure(config.facts, config.version, content);
        let version = version.map_err(|e| format!("config: {e}"))?;
        // Nothing fails from here on.
        let site = &self.engine.facts().site;
        self.pool.keep_to(
            millis(site.connect_timeout_ms),
            millis(site.connection_idle_ms),
            millis(site.drain_deadline_ms),
        );
        if version != before {
            self.record.applied_ms.set(unix_ms());
        }
        log!("configuration read again, version {version}, discovery at {address}");
        // How long its watch waits follows from the grace of a drain.
        let moved = self.discovery.replace(address) != address
            || site.drain_deadline_ms != old.site.drain_deadline_ms;
        Ok(moved.then_some(address))
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
