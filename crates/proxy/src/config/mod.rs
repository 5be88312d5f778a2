//! What the proxy is told, at its start and with SIGHUP: the environment and the configuration file, checked.

mod error;
pub mod reload;

pub use error::ConfigError;

use foldhitch_balancer::settings_format::{self, ResolvedSettings, SiteSettings};
use foldhitch_discovery_client::DiscoveryResponse;
use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use std::env;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Fewer descriptors than this leave none for work.
const MIN_SOCKETS: usize = 64;
/// Numbers beyond this are not the same for every reader of JSON.
const MAX_VERSION: u64 = 1 << 53;
/// Less memory than this holds no work.
const MIN_MEMORY_MB: usize = 8;

/// What a configuration says.
#[derive(Clone)]
pub struct Config {
    /// The proxy's name, if the file gives it.
    pub name: Option<String>,
    /// Its version; 0 where the file gives none.
    pub version: u64,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call the admin API, if anywhere.
    pub admin: Option<SocketAddr>,
    /// Where discovery, or its agent, answers.
    pub discovery: SocketAddr,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub max_descriptors: usize,
    /// How many bytes of memory it may use.
    pub memory_bytes: usize,
    /// The settings.
    pub settings: ResolvedSettings,
}

/// What only a start can change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FixedConfig {
    name: Option<String>,
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    max_descriptors: usize,
    memory_bytes: usize,
}

#[derive(Deserialize)]
struct ConfigFile<K> {
    name: Option<String>,
    #[serde(default)]
    version: u64,
    listen: Option<String>,
    #[serde(rename = "management")]
    admin: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(rename = "known")]
    known_endpoints: Option<K>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

/// Which of the environment and the file goes before the other.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Precedence {
    Environment,
    File,
}

/// Reads the environment and the file that it names, with the endpoint list as this proxy last had it.
pub fn load() -> Result<(Config, Option<DiscoveryResponse>), ConfigError> {
    read(Precedence::Environment)
}

/// Reads the file again. For discovery it goes before the environment, which still names the old address. The endpoint
/// list in it is for a start: to read it would hold up requests for milliseconds.
pub fn reload() -> Result<Config, ConfigError> {
    let (config, _) = read::<IgnoredAny>(Precedence::File)?;
    Ok(config)
}

impl Config {
    /// What only a start can change.
    pub fn fixed(&self) -> FixedConfig {
        FixedConfig {
            name: self.name.clone(),
            listen: self.listen,
            admin: self.admin,
            max_descriptors: self.max_descriptors,
            memory_bytes: self.memory_bytes,
        }
    }

    /// A hash of what may change while the program runs: the same version is the same content.
    pub fn content_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?}", self.settings).hash(&mut hasher);
        self.discovery.hash(&mut hasher);
        hasher.finish()
    }
}

impl FixedConfig {
    /// Checks that another configuration changes nothing that only a start can change.
    pub fn check_unchanged(&self, other: &FixedConfig) -> Result<(), ConfigError> {
        require_unchanged("name", self.name == other.name)?;
        require_unchanged("listen", self.listen == other.listen)?;
        require_unchanged("management", self.admin == other.admin)?;
        require_unchanged("limits.sockets", self.max_descriptors == other.max_descriptors)?;
        require_unchanged("limits.memory_mb", self.memory_bytes == other.memory_bytes)
    }
}

fn require_unchanged(key: &'static str, is_unchanged: bool) -> Result<(), ConfigError> {
    if is_unchanged { Ok(()) } else { Err(ConfigError::NeedsRestart { key }) }
}

/// The environment's addresses, where given, go before the file's; for discovery `discovery_precedence` says which does.
fn read<K: DeserializeOwned>(discovery_precedence: Precedence) -> Result<(Config, Option<K>), ConfigError> {
    let path = env::var("RELAY_CONFIG").map_err(|_| ConfigError::MissingVariable)?;
    let text = std::fs::read(&path).map_err(|source| ConfigError::Unreadable { path, source })?;
    let mut json = serde_json::Deserializer::from_slice(&text);
    let file: ConfigFile<K> = serde_path_to_error::deserialize(&mut json).map_err(ConfigError::InvalidKey)?;
    let settings = settings_format::read(file.settings)?;
    check_limits(file.version, &file.limits)?;
    check_site(&settings.site)?;
    let discovery = match discovery_precedence {
        Precedence::Environment => environment_variable("RELAY_DISCOVERY").or(file.discovery),
        Precedence::File => file.discovery.or_else(|| environment_variable("RELAY_DISCOVERY")),
    };
    let admin = environment_variable("RELAY_MANAGEMENT").or(file.admin);
    let config = Config {
        name: file.name,
        version: file.version,
        listen: required_address("listen", environment_variable("RELAY_LISTEN").or(file.listen))?,
        admin: admin.map(|text| parse_address("management", text)).transpose()?,
        discovery: required_address("discovery", discovery)?,
        seed: u64::from_str_radix(&file.seed, 16).map_err(ConfigError::InvalidSeed)?,
        max_descriptors: file.limits.sockets,
        memory_bytes: file.limits.memory_mb.saturating_mul(1 << 20),
        settings,
    };
    Ok((config, file.known_endpoints))
}

fn environment_variable(name: &str) -> Option<String> {
    env::var(name).ok()
}

fn check_limits(version: u64, limits: &Limits) -> Result<(), ConfigError> {
    require(version <= MAX_VERSION, "version", "is out of range")?;
    require(limits.sockets >= MIN_SOCKETS, "limits.sockets", "too few to work with")?;
    require(limits.memory_mb >= MIN_MEMORY_MB, "limits.memory_mb", "too little to work with")
}

/// Checks what a proxy on real sockets needs beside what the balancer does.
fn check_site(site: &SiteSettings) -> Result<(), ConfigError> {
    let are_named = |names: &[String]| !names.iter().any(String::is_empty);
    let (no_name, missing) = ("one has no name", "is missing or 0");
    require(are_named(&site.class_names), "settings: classes", no_name)?;
    require(are_named(&site.tenant_names), "settings: tenants", no_name)?;
    require(!site.zone_names.is_empty(), "settings: localities", "is missing or empty")?;
    require(site.max_open_requests > 0, "settings: caps.openCap", missing)?;
    require(site.connection_idle_ms > 0.0, "settings: caps.connIdle", missing)?;
    require(site.connect_timeout_ms > 0.0, "settings: caps.connectTimeout", missing)?;
    require(site.drain_deadline_ms > 0.0, "settings: guarantees.stopSendingWithin", missing)
}

fn require(is_valid: bool, key: &'static str, reason: &'static str) -> Result<(), ConfigError> {
    if is_valid { Ok(()) } else { Err(ConfigError::InvalidValue { key, reason }) }
}

fn required_address(key: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    parse_address(key, text.ok_or(ConfigError::MissingAddress { key })?)
}

fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::InvalidAddress { key, text, source })
}
