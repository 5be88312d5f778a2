//! The configuration: reads and validates the environment and the configuration file, at the start and on
//! SIGHUP.

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

/// Minimum number of descriptors. Fewer leave none for client and backend connections.
const MIN_SOCKETS: usize = 64;
/// Maximum version. Not every JSON parser represents larger integers exactly.
const MAX_VERSION: u64 = 1 << 53;
/// Minimum memory in MB. Less leaves none for requests.
const MIN_MEMORY_MB: usize = 8;

/// A validated configuration.
#[derive(Clone)]
pub struct Config {
    /// The proxy's name, if the file states one.
    pub name: Option<String>,
    /// The version of the configuration; 0 if the file states none.
    pub version: u64,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the admin API, if there is one.
    pub admin: Option<SocketAddr>,
    /// The address of discovery or of its agent.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The maximum number of descriptors, over all processes of the proxy.
    pub max_descriptors: usize,
    /// The maximum memory in bytes, over all processes of the proxy.
    pub memory_bytes: usize,
    /// The parsed settings.
    pub settings: ResolvedSettings,
}

/// The values that only a restart can change.
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

/// Reads the environment and the file that it names, including the endpoint list in the file, which is the
/// last one that this proxy had.
pub fn load() -> Result<(Config, Option<DiscoveryResponse>), ConfigError> {
    read()
}

/// Reads the file again. The endpoint list in the file is used only at a start; parsing it here would block
/// requests for milliseconds.
pub fn reload() -> Result<Config, ConfigError> {
    let (config, _) = read::<IgnoredAny>()?;
    Ok(config)
}

impl Config {
    /// Returns the values that only a restart can change.
    pub fn fixed(&self) -> FixedConfig {
        FixedConfig {
            name: self.name.clone(),
            listen: self.listen,
            admin: self.admin,
            max_descriptors: self.max_descriptors,
            memory_bytes: self.memory_bytes,
        }
    }

    /// Returns a hash of the values that a reload may change. It is used to check that a version always has
    /// the same content.
    pub fn content_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?}", self.settings).hash(&mut hasher);
        self.discovery.hash(&mut hasher);
        hasher.finish()
    }
}

impl FixedConfig {
    /// Checks that another configuration has the same values.
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

/// Reads the environment and the file.
///
/// What a reload can change comes from the file, at a start as well as on SIGHUP: a process may start with the
/// environment of the first one, long after the file was replaced. The environment names the discovery address
/// only where the file does not. What belongs to one process, its own addresses, comes from the environment
/// first.
fn read<K: DeserializeOwned>() -> Result<(Config, Option<K>), ConfigError> {
    let path = env::var("RELAY_CONFIG").map_err(|_| ConfigError::MissingVariable)?;
    let text = std::fs::read(&path).map_err(|source| ConfigError::Unreadable { path, source })?;
    let mut json = serde_json::Deserializer::from_slice(&text);
    let file: ConfigFile<K> = serde_path_to_error::deserialize(&mut json).map_err(ConfigError::InvalidKey)?;
    let settings = settings_format::read(file.settings)?;
    check_limits(file.version, &file.limits)?;
    check_site(&settings.site)?;
    let discovery = file.discovery.or_else(|| environment_variable("RELAY_DISCOVERY"));
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

/// Checks the version and the limits. The messages repeat the values of the constants.
fn check_limits(version: u64, limits: &Limits) -> Result<(), ConfigError> {
    require(version <= MAX_VERSION, "version", "is above the maximum of 9007199254740992")?;
    require(limits.sockets >= MIN_SOCKETS, "limits.sockets", "is below the minimum of 64")?;
    require(limits.memory_mb >= MIN_MEMORY_MB, "limits.memory_mb", "is below the minimum of 8")
}

/// Checks the settings that the proxy requires in addition to the balancer's requirements.
fn check_site(site: &SiteSettings) -> Result<(), ConfigError> {
    let are_named = |names: &[String]| !names.iter().any(String::is_empty);
    let (no_name, missing) = ("contains an empty name", "is missing or 0");
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
