//! The load balancer process, and the entry point of the program's other roles.
//!
//! The proxy runs on one thread. I/O tasks report events to the [`engine`] and carry out its actions; the policy
//! (decision module) makes all decisions and is called by the engine alone.
#![forbid(unsafe_code)]

mod bodies;
mod client_connection;
mod clients;
mod config;
mod deadlines;
mod engine;
mod guard;
mod lateness;
mod lifecycle;
mod management;
mod memory;
mod succession;
mod upstreams;

use std::process::ExitCode;
use std::rc::Rc;

use clap::Parser;
use hollowpaddle::cli::{CheckArgs, Cli, Command, EXIT_CONFIG, EXIT_ROLLED_BACK, Role};
use hollowpaddle::discovery::config::DiscoveryConfig;
use hollowpaddle::discovery::list_cache::ListCache;
use hollowpaddle::figures::Figures;
use hollowpaddle::release::plan::Plan;
use hollowpaddle::roles::{self, RoleError};
use hollowpaddle::signals::{SignalKind, Signals};

use tokio::task::LocalSet;

use clients::ClientServer;
use config::{Config, ReloadedConfig};
use engine::{Engine, Handle};
use lifecycle::Lifecycle;
use management::Management;
use memory::MessageMemory;
use succession::{ProcessRegistration, listen};
use upstreams::Pool;

/// Why the program failed: an invalid configuration, or an error at run time.
enum Failure {
    Config(String),
    Role(RoleError),
    Run(String),
}

impl From<RoleError> for Failure {
    fn from(error: RoleError) -> Self {
        match error {
            RoleError::Config(error) => Self::Config(error.to_string()),
            error => Self::Role(error),
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let role = Command::role(cli.command.as_ref());
    let process = std::env::var("LB_NAME").unwrap_or_else(|_| role.to_owned());
    let _process = hollowpaddle::logging::init(cli.log_format, cli.log_level, &process, role);
    let ended = match cli.command {
        None | Some(Command::Proxy) => start(),
        Some(Command::Discovery(args)) => roles::discovery(&args).map_err(Failure::from),
        Some(Command::Release(command)) => roles::release(&command).map_err(Failure::from),
        Some(Command::Sweep(args)) => roles::sweep(args).map_err(Failure::from),
        Some(Command::StandIn(args)) => roles::stand_in(args).map_err(Failure::from),
        Some(Command::Hollow(args)) => roles::hollow(&args).map_err(Failure::from),
        Some(Command::Check(args)) => check(&args),
    };
    let (message, code) = match ended {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Config(message)) => (message, EXIT_CONFIG),
        Err(Failure::Role(error @ RoleError::RolledBack(_))) => {
            (error.to_string(), EXIT_ROLLED_BACK)
        }
        Err(Failure::Role(error)) => (error.to_string(), 1),
        Err(Failure::Run(message)) => (message, 1),
    };
    eprintln!("hollowpaddle: {message}");
    ExitCode::from(code)
}

/// `check`: reads the configuration file as its role would, or the state directory, and prints the result.
fn check(args: &CheckArgs) -> Result<(), Failure> {
    if let Some(dir) = &args.state_dir {
        let found = roles::check_state(args.role, dir).map_err(Failure::Config)?;
        println!("{}: {found}", dir.display());
        return Ok(());
    }
    let Some(config) = &args.config else { return Ok(()) };
    match args.role {
        Role::Proxy => {
            let path = config.to_string_lossy();
            Config::from_path(&path).map_err(|e| Failure::Config(e.to_string()))?;
        }
        Role::Discovery => drop(DiscoveryConfig::load(config).map_err(RoleError::from)?),
        Role::Release => drop(Plan::load(config).map_err(RoleError::from)?),
        Role::Hollow => roles::check_hollow(config)?,
    }
    println!("{}: ok", config.display());
    Ok(())
}

fn start() -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Failure::Run(format!("runtime: {e}")))?;
    LocalSet::new().block_on(&runtime, async {
        // Registered before the file is read, which may take long: an unhandled SIGHUP ends the program.
        let hangup = Signals::of(SignalKind::Hangup);
        let hangup = hangup.map_err(|e| Failure::Run(format!("SIGHUP: {e}")))?;
        let config = Config::from_env().map_err(|e| Failure::Config(e.to_string()))?;
        run(config, hangup).await.map_err(Failure::Run)
    })
}

async fn run(mut config: Config, hangup: Signals) -> Result<(), String> {
    let mut term = Signals::of(SignalKind::Terminate).map_err(|e| format!("SIGTERM: {e}"))?;
    let open = |address| listen(address).map_err(|e| format!("listen on {address}: {e}"));
    let listener = open(config.listen)?;
    let management_listener = config.management.map(open).transpose()?;
    let budget = config.budget();
    let figures = Figures::new(config.management.is_some());
    for (service, classes) in engine::service_classes(&config.catalog) {
        figures.register_service(service, classes);
    }
    let keeper = config.state_dir.as_deref().map(ListCache::open).transpose();
    let keeper = keeper.map_err(|e| format!("state_dir: {e}"))?;
    tracing::info!(
        connections = budget.connections,
        piece_bytes = budget.piece_bytes,
        buffer_bytes = budget.buffer_bytes,
        "limits"
    );
    let memory = MessageMemory::new(budget);
    let pool = Pool::new(&config, &figures, memory.clone());
    // Not kept in the configuration, since a long list takes much memory.
    let known = std::mem::take(&mut config.known);
    let (engine, handle) = Engine::new(&config, known, pool, figures.clone(), keeper)
        .map_err(|e| format!("settings: {e}"))?;
    let engine = tokio::task::spawn_local(engine.run());
    tokio::task::spawn_local(reconfigure(hangup, handle.clone()));
    let lifecycle = Rc::new(Lifecycle::new());
    if let Some(management_listener) = management_listener {
        let at =
            management_listener.local_addr().map_err(|e| format!("management address: {e}"))?;
        tracing::info!("operators call at {at}");
        let management = Management::new(handle.clone(), lifecycle.clone(), figures.clone());
        tokio::task::spawn_local(management.serve(management_listener));
    }
    // Logs the bound address rather than the configured one, which may have port 0.
    let bound = listener.local_addr().map_err(|e| format!("listen on {}: {e}", config.listen))?;
    tracing::info!(name = config.name, "listening on {bound}");
    let server = Rc::new(ClientServer::new(handle, lifecycle, figures, memory));
    let registration = ProcessRegistration::register(bound, &listener);
    let serve = server.serve(listener, registration, async move {
        if let Err(cause) = term.recv().await {
            tracing::error!(%cause, "cannot receive SIGTERM any more");
        }
    });
    tokio::select! {
        () = serve => Ok(()),
        // Without the engine no request can be served; the process exits to be restarted.
        _ = engine => Err("the engine stopped unexpectedly".to_string()),
    }
}

/// On SIGHUP, reads the addresses of discovery, the services and the routes from the file again. An unhandled SIGHUP
/// would end the program.
async fn reconfigure(mut hangup: Signals, engine: Handle) {
    while hangup.recv().await.is_ok() {
        match Config::reload() {
            Ok(ReloadedConfig { discovery, catalog }) => {
                tracing::info!(addresses = ?discovery, "discovery addresses reloaded");
                engine.discovery_moved(discovery);
                engine.reload(catalog);
            }
            // The current configuration stays in force; exiting on an invalid file would interrupt service.
            Err(cause) => {
                tracing::warn!(%cause, "cannot reload the configuration; keeping the current one")
            }
        }
    }
}
