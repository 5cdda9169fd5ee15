//! The roles other than the proxy, each run to its end on a current-thread runtime: the binary parses the
//! command line and calls one of these.

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
use crate::stand_in::Manner;
use crate::store::Recovery;
use crate::store::log::{self, Contents};
use crate::tasks::AbortOnDrop;

/// How long an instance that stops waits for another to lead.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a member that stops tries to leave the list.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a role ended before it was told to.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// The runtime or the signal handlers could not be set up.
    #[error("start: {0}")]
    Start(std::io::Error),
    /// The address was refused.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The configuration was refused.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The list service's instance did not start.
    #[error("{0}")]
    Host(#[from] HostError),
    /// The release's state can't be had or kept.
    #[error("{0}")]
    State(#[from] StateError),
    /// The release has ended where it began.
    #[error("rolled back: {0}")]
    RolledBack(String),
    /// A call was refused.
    #[error("{0}")]
    Refused(String),
}

/// Binds `address`; the address bound tells the port where 0 was asked for.
async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), RoleError> {
    let refused = |source| RoleError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(refused)?;
    let bound = listener.local_addr().map_err(refused)?;
    Ok((listener, bound))
}

/// [`bind`], and logs `listening on ADDRESS`.
async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), RoleError> {
    let (listener, bound) = bind(address).await?;
    tracing::info!("listening on {bound}");
    Ok((listener, bound))
}

/// Runs `role` on a current-thread runtime to its end.
fn run<T>(role: impl Future<Output = Result<T, RoleError>>) -> Result<T, RoleError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(RoleError::Start)?, role)
}

/// Runs `serving` until it ends, or until SIGTERM or SIGINT; then it is dropped, and `None` returned.
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

/// `discovery`: one instance of the list service.
///
/// # Errors
/// [`RoleError`] where it can't start.
pub fn discovery(args: &DiscoveryArgs) -> Result<(), RoleError> {
    let config = DiscoveryConfig::load(&args.config)?;
    run(async move {
        let descriptors = crate::calls::raise_descriptor_limit();
        tracing::info!(descriptors, "one is needed for each watch");
        // Nothing is served before the state has been checked.
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

/// `stand-in`: an upstream that answers by its manner, and keeps itself in the list where it is told to.
///
/// # Errors
/// [`RoleError`] where it can't start.
pub fn stand_in(args: StandInArgs) -> Result<(), RoleError> {
    let ttl = Duration::from_millis(args.ttl_ms);
    let manner = Manner {
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
        let serving = crate::stand_in::serve(listener, manner);
        let Ok(instances) = Instances::new(args.services) else {
            return until_stopped(serving).await.map(drop);
        };
        // It serves until it is out of the list.
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

/// `check --role hollow`: reads the file, and what it names, as the role would.
///
/// # Errors
/// [`RoleError::Config`].
pub fn check_hollow(path: &Path) -> Result<(), RoleError> {
    HollowConfig::load(path)?.facts()?;
    Ok(())
}

/// `hollow`: hollow balancers and upstreams.
///
/// # Errors
/// [`RoleError`] where it can't start.
pub fn hollow(args: &RoleArgs) -> Result<(), RoleError> {
    let config = HollowConfig::load(&args.config)?;
    run(async move {
        let descriptors = crate::calls::raise_descriptor_limit();
        tracing::info!(descriptors, "each balancer takes one, and each call of an upstream");
        let address = config.management;
        let hollow = Hollow::new(config).map_err(|e| match e {
            HollowError::Config(error) => RoleError::Config(error),
            HollowError::Lists(error) => RoleError::Refused(error.to_string()),
        })?;
        let (listener, _) = listen(address).await?;
        until_stopped(hollow.serve(listener)).await.map(drop)
    })
}

/// `sweep`: the duty of that name, and what it is for.
///
/// # Errors
/// [`RoleError`] where it can't start.
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

/// `release`: carries a plan out, or talks to the process that does.
///
/// # Errors
/// [`RoleError`]; [`RoleError::RolledBack`] where the release has ended on the old version.
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
                    None => Err(RoleError::Refused("stopped; started again, it goes on".into())),
                };
            }
            ReleaseCommand::Status(_) => None,
            ReleaseCommand::Halt(_) => Some("halt"),
            ReleaseCommand::Resume(_) => Some("resume"),
            ReleaseCommand::Rollback(_) => Some("rollback"),
        };
        let status = match action {
            None => control::look(&plan).await,
            Some(action) => control::tell(&plan, action).await,
        };
        print!("{}", control::lines(&status.map_err(RoleError::Refused)?));
        Ok(())
    })
}

/// `check --state-dir`: verifies every record of a role's state directory, changes nothing, and says in a line what
/// it holds.
///
/// # Errors
/// What is wrong with it, with the file and the offset.
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
