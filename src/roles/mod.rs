//! The roles other than the proxy. The binary parses the command line and calls one of these functions, which runs the
//! role to its end on a current-thread runtime.

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::calls::instances::Instances;
use crate::cli::{DiscoveryArgs, ReleaseCommand, Role, RoleArgs, StandInArgs, SweepArgs};
use crate::configuration::ConfigError;
use crate::discovery::config::DiscoveryConfig;
use crate::discovery::list_cache;
use crate::discovery::management::Management;
use crate::discovery::member::{Member, Phase};
use crate::discovery::registration;
use crate::discovery::server::ListService;
use crate::discovery::sweep;
use crate::hollow::config::HollowConfig;
use crate::hollow::driver::{Hollow, HollowError};
use crate::release::control;
use crate::release::controller::{State, Step};
use crate::release::driver::Release;
use crate::release::plan::Plan;
use crate::release::state::StateError;
use crate::replica::host::{Host, HostError, Setup};
use crate::replica::machine::Machine;
use crate::replica::storage::RaftStorage;
use crate::signals::{SignalKind, Signals};
use crate::stand_in::StandInOptions;
use crate::store::Recovery;
use crate::store::log::{self, Contents};
use crate::tasks::AbortOnDrop;

/// How long a stopping instance waits for another instance to become leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a stopping member tries to remove itself from the list.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a role failed to start or ended early.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// The runtime or the signal handlers could not be set up.
    #[error("cannot start: {0}")]
    Start(std::io::Error),
    /// Binding the listen address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The configuration is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The list service instance could not start.
    #[error("{0}")]
    Host(#[from] HostError),
    /// The release's state could not be read or stored.
    #[error("{0}")]
    State(#[from] StateError),
    /// The release was rolled back; the reason.
    #[error("rolled back: {0}")]
    RolledBack(String),
    /// A call or the role's setup was refused, or a release was stopped before its end.
    #[error("{0}")]
    Refused(String),
}

/// Binds `address` and returns the bound address, which has the actual port if port 0 was requested.
async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), RoleError> {
    let refused = |source| RoleError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(refused)?;
    let bound = listener.local_addr().map_err(refused)?;
    Ok((listener, bound))
}

/// Binds `address` as [`bind`] does and logs `listening on ADDRESS`.
async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), RoleError> {
    let (listener, bound) = bind(address).await?;
    tracing::info!("listening on {bound}");
    Ok((listener, bound))
}

/// Runs `role` to its end on a current-thread runtime.
fn run<T>(role: impl Future<Output = Result<T, RoleError>>) -> Result<T, RoleError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(RoleError::Start)?, role)
}

/// Runs `serving` until it ends. On SIGTERM or SIGINT it drops `serving` and returns `None`.
async fn until_stopped<T>(serving: impl Future<Output = T>) -> Result<Option<T>, RoleError> {
    let mut term = Signals::of(SignalKind::Terminate).map_err(RoleError::Start)?;
    let mut interrupt = Signals::of(SignalKind::Interrupt).map_err(RoleError::Start)?;
    tokio::select! {
        ended = serving => return Ok(Some(ended)),
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("stopping");
    Ok(None)
}

/// Runs the `discovery` role: one instance of the list service.
///
/// # Errors
/// [`RoleError`] if it cannot start.
pub fn discovery(args: &DiscoveryArgs) -> Result<(), RoleError> {
    let config = DiscoveryConfig::load(&args.config)?;
    run(async move {
        let descriptors = crate::calls::raise_descriptor_limit();
        tracing::info!(descriptors, "file descriptor limit; each watch needs one descriptor");
        // The stored state is checked before the instance serves anything.
        let recovery = match args.restore_last_good {
            true => Recovery::LastGoodSnapshot,
            false => Recovery::Strict,
        };
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let initial_revision =
            if config.state_dir.is_some() { 0 } else { since_epoch.as_millis() as u64 };
        let host = Host::start(Setup {
            id: config.id,
            peers: config.peers.iter().map(|p| (p.id, p.management)).collect(),
            state_dir: config.state_dir.as_deref(),
            recovery,
            max_log_bytes: config.max_log_bytes,
            snapshot_bytes: config.snapshot_bytes,
            election: Duration::from_millis(config.election_ms),
            history: config.history,
            seed: (config.start_revision.unwrap_or(initial_revision), config.members),
        })?;
        let (members, revision) = host.read(|m| (m.list().len(), m.list().revision()));
        tracing::info!(members, revision, "list loaded");
        let service = ListService::new(host.clone(), Duration::from_millis(config.heartbeat_ms));
        let _management = match config.management {
            Some(address) => {
                let (listener, bound) = bind(address).await?;
                tracing::info!("operators call at {bound}");
                let management = Management::new(host.clone(), service.clone());
                Some(AbortOnDrop(tokio::task::spawn_local(management.serve(listener))))
            }
            None => None,
        };
        let (listener, _) = listen(config.listen).await?;
        until_stopped(service.serve(listener)).await?;
        host.transfer_leadership(LEADERSHIP_TRANSFER_TIMEOUT).await;
        Ok(())
    })
}

/// Runs the `stand-in` role: an upstream with configured behaviour, which keeps itself registered if list service
/// instances are given.
///
/// # Errors
/// [`RoleError`] if it cannot start.
pub fn stand_in(args: StandInArgs) -> Result<(), RoleError> {
    let ttl = Duration::from_millis(args.ttl_ms);
    let options = StandInOptions {
        name: args.name.clone(),
        delay: Duration::from_millis(args.delay_ms),
        error_every: args.error_every,
    };
    run(async move {
        let (listener, bound) = listen(args.listen).await?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let member = Member {
            id: args.name,
            host_port: bound.to_string(),
            locality: String::new(),
            flavor: String::new(),
            cell: 0,
            phase: Phase::Serving,
            size: 1.0,
            up_since_ms: since_epoch.as_millis() as f64,
            service: args.service,
        };
        let serving = crate::stand_in::serve(listener, options);
        let Ok(instances) = Instances::new(args.services) else {
            return until_stopped(serving).await.map(drop);
        };
        // It keeps serving until it has left the list.
        let listed = async {
            until_stopped(registration::keep(&instances, &member, ttl)).await?;
            registration::leave(&instances, &member, LEAVE_TIMEOUT).await;
            Ok(())
        };
        tokio::select! {
            () = serving => Ok(()),
            left = listed => left,
        }
    })
}

/// Runs `check --role hollow`: reads the configuration file and the files that it names, as the role does.
///
/// # Errors
/// [`RoleError::Config`] if one of them is invalid.
pub fn check_hollow(path: &Path) -> Result<(), RoleError> {
    HollowConfig::load(path)?.facts()?;
    Ok(())
}

/// Runs the `hollow` role: simulated balancers and upstreams.
///
/// # Errors
/// [`RoleError`] if it cannot start.
pub fn hollow(args: &RoleArgs) -> Result<(), RoleError> {
    let config = HollowConfig::load(&args.config)?;
    run(async move {
        let descriptors = crate::calls::raise_descriptor_limit();
        tracing::info!(
            descriptors,
            "file descriptor limit; each balancer and each call of an upstream needs one"
        );
        let address = config.management;
        let hollow = Hollow::new(config).map_err(|e| match e {
            HollowError::Config(error) => RoleError::Config(error),
            HollowError::Lists(error) => RoleError::Refused(error.to_string()),
        })?;
        let (listener, _) = listen(address).await?;
        until_stopped(hollow.serve(listener)).await.map(drop)
    })
}

/// Runs the `sweep` role: competes for the duty `sweep` and, while it holds it, removes drained members.
///
/// # Errors
/// [`RoleError`] if it cannot start.
pub fn sweep(args: SweepArgs) -> Result<(), RoleError> {
    let ttl = Duration::from_millis(args.ttl_ms);
    let after = Duration::from_millis(args.after_ms);
    run(async move {
        let instances = Instances::new(args.services);
        let instances = Rc::new(instances.map_err(|e| RoleError::Refused(e.to_string()))?);
        let (listener, _) = listen(args.listen).await?;
        until_stopped(sweep::run(listener, instances, &args.holder, ttl, after)).await.map(drop)
    })
}

/// Runs the `release` role: executes a plan, or sends a command to the process that does.
///
/// # Errors
/// [`RoleError`]; [`RoleError::RolledBack`] if the release ended on the old version.
pub fn release(command: &ReleaseCommand) -> Result<(), RoleError> {
    let plan = Plan::load(command.config())?;
    run(async {
        let action = match command {
            ReleaseCommand::Start(_) => {
                let release = Release::open(plan)?;
                let (listener, _) = listen(release.plan.management).await?;
                let calls = control::serve(listener, release.clone());
                let _calls = AbortOnDrop(tokio::task::spawn_local(calls));
                return match until_stopped(release.run()).await?.transpose()? {
                    Some(Step::RolledBack { why }) => Err(RoleError::RolledBack(why)),
                    Some(_) => Ok(()),
                    None => Err(RoleError::Refused("stopped; start it again to continue".into())),
                };
            }
            ReleaseCommand::Status(_) => None,
            ReleaseCommand::Halt(_) => Some("halt"),
            ReleaseCommand::Resume(_) => Some("resume"),
            ReleaseCommand::Rollback(_) => Some("rollback"),
        };
        let status = match action {
            None => control::fetch_status(&plan).await,
            Some(action) => control::send_command(&plan, action).await,
        };
        print!("{}", control::format_status(&status.map_err(RoleError::Refused)?));
        Ok(())
    })
}

/// Runs `check --state-dir`: verifies every record of a role's state directory without changing it, and returns a
/// one-line summary of its contents.
///
/// # Errors
/// A description of the fault, with the file and the offset.
pub fn check_state(role: Role, dir: &Path) -> Result<String, String> {
    if matches!(role, Role::Proxy | Role::Hollow) {
        let list = list_cache::read(dir).map_err(|e| e.to_string())?;
        return Ok(match list {
            Some(list) => {
                format!("a list of {} members at revision {}", list.members.len(), list.revision)
            }
            None => "no list was kept yet".into(),
        });
    }
    let Contents { base, snapshot, records, log_bytes, torn } =
        log::inspect(dir).map_err(|e| e.to_string())?;
    let files = format!(
        "snapshot after record {base} ({} bytes), {} records after it ({log_bytes} bytes, {torn} of them torn)",
        snapshot.as_ref().map_or(0, Vec::len),
        records.len(),
    );
    if role == Role::Release {
        let last = records.last().or(snapshot.as_ref());
        let state = last.map(|s| postcard::from_bytes::<State>(s)).transpose();
        let state = state.map_err(|e| e.to_string())?;
        return Ok(format!("{files}; release state {state:?}"));
    }
    let storage =
        RaftStorage::restore(vec![], snapshot.as_deref(), &records).map_err(|e| e.to_string())?;
    let state = storage.hard_state();
    let (applied, machine) = storage.state();
    let machine = (applied > 0).then(|| postcard::from_bytes::<Machine>(machine)).transpose();
    let machine = machine.map_err(|e| e.to_string())?.unwrap_or_else(|| Machine::new(1));
    Ok(format!(
        "{files}; of instances {:?}; term {}, commit {}, last entry {}; snapshot at entry {applied}: {} members at revision {}, \
         last token {}",
        storage.voters(),
        state.term,
        state.commit,
        storage.last(),
        machine.list().len(),
        machine.list().revision(),
        machine.leases().last_token()
    ))
}
