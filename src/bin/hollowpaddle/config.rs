//! The proxy's configuration: environment variables set by the platform, and a JSON file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use hollowpaddle::discovery::member::Message as List;
use hollowpaddle::routing::Route;
use hollowpaddle::services::{Catalog, CatalogError, ServiceEntry};
use hollowpaddle::settings::Facts;
use serde::Deserialize;

use crate::management;
use crate::memory::MemoryBudget;

/// Descriptors for other purposes than client and upstream connections: standard streams, the event queue, the
/// listeners, the watch, signals, and management connections.
const RESERVED_DESCRIPTORS: usize = 24 + management::MAX_CONNECTIONS;
/// Limits that apply if the file sets none.
const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: f64 = 192.0;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("LB_CONFIG is not set")]
    NoFile,
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    #[error("{path}: field `{field}`: {cause}")]
    Malformed { path: String, field: String, cause: String },
    #[error("{name} is not an address: {value:?}")]
    BadAddress { name: &'static str, value: String },
    #[error("{path}: {cause}")]
    Services { path: String, cause: CatalogError },
    #[error("limits.sockets is {0}: too few to serve clients")]
    TooFewSockets(usize),
}

/// The configuration file; unknown keys are ignored.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    management: Option<String>,
    #[serde(default)]
    state_dir: Option<PathBuf>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    known: List,
    settings: Facts,
    /// If set, requests are routed to them by `routes`, and each member of the list belongs to one of them.
    #[serde(default)]
    services: Option<Vec<ServiceEntry>>,
    #[serde(default)]
    routes: Vec<Route>,
    /// Path of the file, for error messages.
    #[serde(skip)]
    path: String,
}

#[derive(Deserialize, Default)]
struct FileLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

impl File {
    fn read() -> Result<Self, ConfigError> {
        Self::read_from(std::env::var("LB_CONFIG").map_err(|_| ConfigError::NoFile)?)
    }

    fn read_from(path: String) -> Result<Self, ConfigError> {
        let text = std::fs::read(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        let mut reader = serde_json::Deserializer::from_slice(&text);
        match serde_path_to_error::deserialize::<_, Self>(&mut reader) {
            Ok(file) => Ok(Self { path, ..file }),
            Err(e) => {
                let field = e.path().to_string();
                Err(ConfigError::Malformed { path, field, cause: e.into_inner().to_string() })
            }
        }
    }

    fn catalog(&self) -> Result<Rc<Catalog>, ConfigError> {
        let catalog = match &self.services {
            Some(services) => Catalog::new(&self.settings, services, &self.routes),
            None if self.routes.is_empty() => Catalog::single(&self.settings),
            None => Err(CatalogError::Invalid {
                key: "routes".into(),
                cause: "routes need services".into(),
            }),
        };
        catalog
            .map(Rc::new)
            .map_err(|cause| ConfigError::Services { path: self.path.clone(), cause })
    }
}

fn address(name: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::BadAddress { name, value })
}

/// Parses the addresses of discovery: one or more instances of the list service, separated by commas.
fn addresses(name: &'static str, value: String) -> Result<Vec<SocketAddr>, ConfigError> {
    value.split(',').map(|one| address(name, one.trim().to_owned())).collect()
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Addresses of the list service's instances; at least one.
    pub discovery: Vec<SocketAddr>,
    /// Address of the management API, if enabled.
    pub management: Option<SocketAddr>,
    /// Directory in which the last list is stored, if any.
    pub state_dir: Option<PathBuf>,
    pub seed: u64,
    pub sockets: usize,
    /// Memory limit of the process in bytes.
    pub memory: usize,
    pub known: List,
    pub facts: Facts,
    /// The services at the start.
    pub catalog: Rc<Catalog>,
}

/// The part of the configuration that is reloaded on SIGHUP.
pub struct ReloadedConfig {
    pub discovery: Vec<SocketAddr>,
    /// `None` if the file defines no services, which then stay unchanged.
    pub catalog: Option<Rc<Catalog>>,
}

impl Config {
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::from_file(File::read()?)
    }

    /// Reads the file at `path`, overridden by the environment, for `check`.
    pub fn from_path(path: &str) -> Result<Self, ConfigError> {
        Self::from_file(File::read_from(path.to_owned())?)
    }

    fn from_file(file: File) -> Result<Self, ConfigError> {
        // The environment takes precedence over the file.
        let env_or = |name: &str, file: String| std::env::var(name).unwrap_or(file);
        let address = |name: &'static str, file: String| address(name, env_or(name, file));
        let catalog = file.catalog()?;
        let sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < 2 * RESERVED_DESCRIPTORS {
            return Err(ConfigError::TooFewSockets(sockets));
        }
        let management = match (std::env::var("LB_MANAGEMENT"), file.management) {
            (Ok(value), _) => Some(self::address("LB_MANAGEMENT", value)?),
            (Err(_), Some(value)) => Some(self::address("management", value)?),
            (Err(_), None) => None,
        };
        let memory_mb = file.limits.memory_mb.filter(|mb| *mb > 0.0).unwrap_or(DEFAULT_MEMORY_MB);
        let seed = file.seed.unwrap_or_default();
        Ok(Self {
            name: env_or("LB_NAME", file.name),
            listen: address("LB_LISTEN", file.listen)?,
            discovery: addresses("LB_DISCOVERY", env_or("LB_DISCOVERY", file.discovery))?,
            management,
            state_dir: std::env::var_os("LB_STATE_DIR").map(PathBuf::from).or(file.state_dir),
            seed: hollowpaddle::settings::key_hash(&seed),
            sockets,
            memory: (memory_mb * f64::from(1 << 20)) as usize,
            known: file.known,
            facts: file.settings,
            catalog,
        })
    }

    /// Reads and validates the complete file again. Only the file counts, since the environment cannot change after the
    /// start.
    pub fn reload() -> Result<ReloadedConfig, ConfigError> {
        let file = File::read()?;
        let catalog = file.services.is_some().then(|| file.catalog()).transpose()?;
        Ok(ReloadedConfig { discovery: addresses("discovery", file.discovery)?, catalog })
    }

    /// Connections to clients and memory for their messages, by the limits of both. Half of the descriptors are for
    /// each side: every attempt belongs to a client's request, so upstream connections never need more than their half as
    /// long as clients are limited to theirs.
    pub fn budget(&self) -> MemoryBudget {
        let half = (self.sockets - RESERVED_DESCRIPTORS) / 2;
        MemoryBudget::new(self.memory, half, self.known.members.len())
    }
}
