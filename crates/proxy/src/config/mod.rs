//! What the proxy is told, at its start and with SIGHUP: the environment and the configuration file, checked.

pub mod reload;

use foldhitch_balancer::settings_format::{self, ResolvedSettings};
use foldhitch_discovery_client::Page;
use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use std::env;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// All that a start needs.
pub struct Config {
    /// The proxy's name, if the file tells it.
    pub name: Option<String>,
    /// Its number; 0 where the file tells none.
    pub version: u64,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// Where discovery, or its agent, answers.
    pub discovery: SocketAddr,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub sockets: usize,
    /// How many bytes of memory it may use.
    pub memory: usize,
    /// The list of backends as this proxy last had it.
    pub known: Option<Page>,
    /// The settings.
    pub facts: ResolvedSettings,
}

#[derive(Deserialize)]
struct File<K> {
    name: Option<String>,
    #[serde(default)]
    version: u64,
    listen: Option<String>,
    management: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    known: Option<K>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

/// Fewer descriptors than this leave no room for work.
const MIN_SOCKETS: usize = 64;
/// Numbers beyond this are not the same for every reader of JSON.
const MAX_VERSION: u64 = 1 << 53;
/// Less memory than this holds no work.
const MIN_MEMORY_MB: usize = 8;

/// Reads the environment and the file that it names.
pub fn load() -> Result<Config, String> {
    let (config, known) = read(|told, file| told.or(file))?;
    Ok(Config { known, ..config })
}

/// Reads the file again. For discovery it goes before the environment, which still names the old address. The list in
/// it is for a start: to read it would hold up what is in work for milliseconds.
pub fn reload() -> Result<Config, String> {
    read::<IgnoredAny>(|told, file| file.or(told)).map(|(config, _)| config)
}

impl Config {
    /// What only a start can change, with the keys.
    pub fn fixed(&self) -> Vec<(&'static str, String)> {
        vec![
            ("name", format!("{:?}", self.name)),
            ("listen", self.listen.to_string()),
            ("management", format!("{:?}", self.management)),
            ("limits.sockets", self.sockets.to_string()),
            ("limits.memory_mb", self.memory.to_string()),
        ]
    }

    /// Stands for what may change while the program runs: the same number is the same content.
    pub fn content(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (format!("{:?}", self.facts), self.discovery).hash(&mut hasher);
        hasher.finish()
    }
}

/// The environment's addresses, where given, go before the file's; for discovery `first` says which does.
fn read<K: DeserializeOwned>(
    first: fn(Option<String>, Option<String>) -> Option<String>,
) -> Result<(Config, Option<K>), String> {
    let path = env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG is not set".to_string())?;
    let text = &std::fs::read(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
    let told = |name| env::var(name).ok();
    let (listen, management) = (told("RELAY_LISTEN"), told("RELAY_MANAGEMENT"));
    let json = &mut serde_json::Deserializer::from_slice(text);
    let file: File<K> = serde_path_to_error::deserialize(json).map_err(|e| format!("config: {e}"))?;
    let facts = settings_format::read(file.settings).map_err(|e| format!("config: {e}"))?;
    let site = &facts.site;
    let wrong = [
        (file.version > MAX_VERSION, "version: is out of range"),
        (file.limits.sockets < MIN_SOCKETS, "limits.sockets: too few to work with"),
        (file.limits.memory_mb < MIN_MEMORY_MB, "limits.memory_mb: too little to work with"),
        (site.class_names.iter().any(String::is_empty), "settings: classes: one has no name"),
        (site.tenant_names.iter().any(String::is_empty), "settings: tenants: one has no name"),
        (site.zone_names.is_empty(), "settings: localities: is missing or empty"),
        (site.max_open_requests == 0, "settings: caps.openCap: is missing or 0"),
        (site.connection_idle_ms <= 0.0, "settings: caps.connIdle: is missing or 0"),
        (site.connect_timeout_ms <= 0.0, "settings: caps.connectTimeout: is missing or 0"),
        (site.drain_deadline_ms <= 0.0, "settings: guarantees.stopSendingWithin: is missing or 0"),
    ];
    if let Some((_, what)) = wrong.iter().find(|(bad, _)| *bad) {
        return Err(format!("config: {what}"));
    }
    let config = Config {
        name: file.name,
        version: file.version,
        listen: address("listen", listen.or(file.listen))?,
        management: management.or(file.management).map(|m| address("management", Some(m))).transpose()?,
        discovery: address("discovery", first(told("RELAY_DISCOVERY"), file.discovery))?,
        seed: u64::from_str_radix(&file.seed, 16).map_err(|e| format!("config: seed: {e}"))?,
        sockets: file.limits.sockets,
        memory: file.limits.memory_mb.saturating_mul(1 << 20),
        known: None,
        facts,
    };
    Ok((config, file.known))
}

fn address(name: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("config: {name}: is missing"))?;
    text.parse().map_err(|e| format!("config: {name}: {text}: {e}"))
}
