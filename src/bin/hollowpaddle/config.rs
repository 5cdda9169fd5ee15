//! What the platform tells a balancer: four environment variables and a JSON file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use hollowpaddle::discovery::member::Message as List;
use hollowpaddle::routing::Route;
use hollowpaddle::services::{Catalog, CatalogError, ServiceEntry};
use hollowpaddle::settings::Facts;
use serde::Deserialize;

use crate::management;

/// Descriptors that are neither a client's nor an upstream's: standard streams, the event queue, the
/// listeners, the watch, signals; and the calls of operators.
const RESERVED_DESCRIPTORS: usize = 24 + management::SHARE;
/// Where the platform states no limit.
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
    #[error("the limit of {0} sockets leaves no room to serve")]
    TooFewSockets(usize),
}

/// The file; what it holds beyond this is for others.
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
    /// Where there are some, requests go to them by `routes`, and the list's members belong to them.
    #[serde(default)]
    services: Option<Vec<ServiceEntry>>,
    #[serde(default)]
    routes: Vec<Route>,
    /// Where it was read from.
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
                cause: "lead nowhere without services".into(),
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

/// Discovery is one address, or several with commas between them: instances of one list service.
fn addresses(name: &'static str, value: String) -> Result<Vec<SocketAddr>, ConfigError> {
    value.split(',').map(|one| address(name, one.trim().to_owned())).collect()
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the list is to be had; at least one.
    pub discovery: Vec<SocketAddr>,
    /// Where operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// Where the last list is kept, if anywhere.
    pub state_dir: Option<PathBuf>,
    pub seed: u64,
    pub sockets: usize,
    /// Bytes that the process may use.
    pub memory: usize,
    pub known: List,
    pub facts: Facts,
    /// The services that there are at the start.
    pub catalog: Rc<Catalog>,
}

/// What SIGHUP takes from the file.
pub struct ReloadedConfig {
    pub discovery: Vec<SocketAddr>,
    /// Only the services of a file that names some are read anew.
    pub catalog: Option<Rc<Catalog>>,
}

/// How many connections each side may have.
pub struct Budget {
    pub clients: usize,
    pub upstreams: usize,
}

impl Config {
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::from_file(File::read()?)
    }

    /// The file at `path` with the environment over it, as `check` reads it.
    pub fn from_path(path: &str) -> Result<Self, ConfigError> {
        Self::from_file(File::read_from(path.to_owned())?)
    }

    fn from_file(file: File) -> Result<Self, ConfigError> {
        // The environment and the file say the same; the environment is the platform's first word.
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

    /// What the file says by now of discovery and services, checked whole. The environment can't change after the
    /// start, so only the file counts.
    pub fn reload() -> Result<ReloadedConfig, ConfigError> {
        let file = File::read()?;
        let catalog = file.services.is_some().then(|| file.catalog()).transpose()?;
        Ok(ReloadedConfig { discovery: addresses("discovery", file.discovery)?, catalog })
    }

    /// Half the descriptors for each side. Every attempt belongs to a client's request, so while clients
    /// keep to their half, upstreams can never need more than theirs.
    pub fn budget(&self) -> Budget {
        let half = (self.sockets - RESERVED_DESCRIPTORS) / 2;
        Budget { clients: half, upstreams: half }
    }
}
