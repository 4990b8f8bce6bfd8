//! Runs an instance: builds its components, starts their tasks and shuts them down on SIGTERM.
//!
//! All tasks of an instance run on one thread.

use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::attempt::Dispatcher;
use crate::budget::ReceiveBudget;
use crate::cell::OwnedCells;
use crate::cold::ColdReporter;
use crate::crashes::CrashMonitor;
use crate::dialect::Dialect;
use crate::limits::LimitExchange;
use crate::metrics::Metrics;
use crate::notices::NoticeReader;
use crate::peers::{InstanceInfo, Peers};
use crate::relay::StoreRelay;
use crate::request::RequestHandler;
use crate::settings::{Bounds, Settings};
use crate::shutdown::Shutdown;
use crate::speeds::SpeedExchange;
use crate::stages::StageClient;
use crate::state::SharedState;
use crate::store::Store;
use crate::stream_versions::VersionRecords;
use crate::upstream::ConnectionPool;
use crate::watcher::StoreWatcher;
use crate::zones::ZoneExchange;
use crate::{caller, monitoring};

/// How often connections that were idle for too long are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the memory that large responses of servers may use together.
const RECEIVE_MEMORY_DIVISOR: usize = 8;

/// Runs an instance until SIGTERM has shut it down.
///
/// # Errors
///
/// Fails if the runtime can't start, a metric can't be registered, or the instance can't listen for
/// callers or signals.
pub fn run(settings: Settings, dialect: Rc<dyn Dialect>, log: Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, dialect, log))
}

/// Components that the tasks of an instance share.
struct Components {
    state: Rc<SharedState>,
    store: Rc<Store>,
    connections: Rc<ConnectionPool>,
    store_connections: Rc<ConnectionPool>,
    cells: Rc<OwnedCells>,
    peers: Rc<Peers>,
    dispatcher: Rc<Dispatcher>,
    notices: Rc<NoticeReader>,
    cold: Rc<ColdReporter>,
    speeds: Rc<SpeedExchange>,
    shutdown: Rc<Shutdown>,
    metrics: Rc<Metrics>,
    handler: Rc<RequestHandler>,
}

fn build_components(
    settings: &Settings,
    dialect: &Rc<dyn Dialect>,
    log: &Logger,
) -> anyhow::Result<Components> {
    let state = Rc::new(SharedState::new(settings));
    let budget = ReceiveBudget::new(settings.memory / RECEIVE_MEMORY_DIVISOR);
    let connections = Rc::new(ConnectionPool::with_budget(Rc::new(budget)));
    // The store must be followed while servers use up their budget.
    let store_connections = Rc::new(ConnectionPool::default());
    let metrics = Rc::new(Metrics::new()?);
    let shutdown = Rc::new(Shutdown::new(settings.bounds.grace));
    let store = Rc::new(Store::new(
        settings.store,
        dialect.clone(),
        store_connections.clone(),
    ));
    let notices = NoticeReader::new(state.clone(), dialect.clone(), log.clone());
    let notices = Rc::new(notices);
    let cold = ColdReporter::new(state.clone(), metrics.clone(), log.clone());
    let zones = Rc::new(ZoneExchange::new(
        settings.domain.clone(),
        settings.prices,
        metrics.clone(),
        log.clone(),
    ));
    let cells = Rc::new(OwnedCells::new(
        dialect.clone(),
        connections.clone(),
        notices.clone(),
        zones,
        metrics.clone(),
        log.clone(),
    ));
    let own = InstanceInfo {
        name: settings.instance.clone(),
        address: settings.peer,
        domain: settings.domain.clone(),
        weight: settings.processor_share,
    };
    let relay = Rc::new(StoreRelay::new(settings.bounds.revoke, log.clone()));
    let peers = Peers::new(own, cells.clone(), relay, log.clone());
    let speeds = SpeedExchange::new(state.clone(), metrics.clone(), log.clone());
    peers.set_speeds(speeds.clone());
    let crashes = CrashMonitor::new(
        state.clone(),
        connections.clone(),
        store.clone(),
        peers.clone(),
        metrics.clone(),
        log.clone(),
    );
    let limits = LimitExchange::new(state.clone(), peers.clone(), store.clone(), log.clone());
    let versions = VersionRecords::new(
        settings.is_first_start,
        state.clone(),
        peers.clone(),
        store.clone(),
        log.clone(),
    );
    peers.set_stream_holder(&versions);
    let dispatcher = Rc::new(Dispatcher::new(
        state.clone(),
        connections.clone(),
        peers.clone(),
        crashes,
        limits,
        notices.clone(),
        versions,
        dialect.clone(),
        metrics.clone(),
        log.clone(),
    ));
    let stages = StageClient::new(cells.clone(), peers.clone(), log.clone());
    let handler = Rc::new(RequestHandler::new(
        state.clone(),
        dispatcher.clone(),
        stages,
        dialect.clone(),
        shutdown.clone(),
        metrics.clone(),
        log.clone(),
    ));
    Ok(Components {
        state,
        store,
        connections,
        store_connections,
        cells,
        peers,
        dispatcher,
        notices,
        cold: Rc::new(cold),
        speeds,
        shutdown,
        metrics,
        handler,
    })
}

/// Runs an instance like [`run`], within the caller's runtime and [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Fails if a metric can't be registered or the instance can't listen for callers or signals.
pub async fn serve(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    log: Logger,
) -> anyhow::Result<()> {
    let terminated = wait_for_termination(log.clone())?;
    serve_until(settings, dialect, log, terminated).await
}

/// Runs an instance like [`serve`], but shuts it down when `stopped` completes.
///
/// # Errors
///
/// Fails if a metric can't be registered or the instance can't listen for callers.
pub async fn serve_until(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    log: Logger,
    stopped: impl Future<Output = ()>,
) -> anyhow::Result<()> {
    let components = build_components(&settings, &dialect, &log)?;
    info!(log, "start"; "domain" => &*settings.domain, "version" => env!("CARGO_PKG_VERSION"));
    let listener = TcpListener::bind(settings.listen).await?;
    start_watching(&components, &settings.bounds, &log);
    tokio::task::spawn_local(components.peers.clone().hand_over_cells());
    let crashes = components.dispatcher.crashes();
    tokio::task::spawn_local(crashes.clone().share_evidence());
    tokio::task::spawn_local(crashes.clone().receive_evidence());
    tokio::task::spawn_local(components.dispatcher.limits().clone().share());
    tokio::task::spawn_local(components.speeds.clone().report());
    let versions = components.dispatcher.versions();
    tokio::task::spawn_local(versions.clone().write_records());
    tokio::task::spawn_local(versions.clone().state_life());
    tokio::task::spawn_local(versions.clone().maintain());
    tokio::task::spawn_local(versions.clone().sweep());
    tokio::task::spawn_local(versions.clone().send_copies());
    spawn_listener(&log, "peers", components.peers.clone().accept());
    spawn_listener(
        &log,
        "readiness",
        monitoring::serve(settings.ready, readiness_handler(&components, &dialect)),
    );
    let (metrics, state) = (components.metrics.clone(), components.state.clone());
    let metrics_handler = Rc::new(move |_: &crate::http1::RequestHead| {
        metrics.evacuation.set(&state.evacuated_domains());
        (200, metrics.encode_text())
    });
    spawn_listener(
        &log,
        "metrics",
        monitoring::serve(settings.metrics, metrics_handler),
    );
    let cold = components.cold.clone();
    let (zones, state) = (components.cells.zones().clone(), components.state.clone());
    let pools = [&components.connections, &components.store_connections].map(Rc::clone);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            for pool in &pools {
                pool.evict_idle();
            }
            // No entry arrives when a server turns warm as its time is over.
            cold.report();
            let mut selector = state.selector.borrow_mut();
            selector.set_round_trips(zones.round_trips());
        }
    });
    tokio::task::spawn_local(caller::accept(listener, components.handler.clone()));
    stopped.await;
    info!(log, "stopping");
    components.shutdown.begin();
    components.cells.close();
    components.shutdown.wait_drained().await;
    info!(log, "stopped"; "store_calls" => components.store.call_count());
    Ok(())
}

/// Waits for SIGTERM.
fn wait_for_termination(log: Logger) -> std::io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = hangup.recv() => info!(log, "ignoring SIGHUP; settings are read at the start only"),
            }
        }
    })
}

/// Starts the tasks that watch the store.
fn start_watching(components: &Components, bounds: &Bounds, log: &Logger) {
    let (state, cells) = (components.state.clone(), components.cells.clone());
    let versions = components.dispatcher.versions().clone();
    let cold = components.cold.clone();
    let update_cells = Rc::new(move || {
        cold.report();
        versions.update();
        if let Some(config) = state.config() {
            cells.set_servers(&state.selector.borrow(), &config);
        }
    });
    let (notices, on_notice) = (components.notices.clone(), update_cells.clone());
    tokio::task::spawn_local(async move {
        loop {
            notices.wait_for_news().await;
            on_notice();
        }
    });
    let watcher = Rc::new(StoreWatcher::new(
        components.store.clone(),
        components.state.clone(),
        components.peers.clone(),
        &components.dispatcher,
        log.clone(),
        bounds,
        Box::new(move || update_cells()),
    ));
    watcher.start();
}

fn readiness_handler(components: &Components, dialect: &Rc<dyn Dialect>) -> monitoring::Handler {
    let (state, shutdown) = (components.state.clone(), components.shutdown.clone());
    let path = dialect.readiness_path();
    Rc::new(move |head| {
        if head.target != path {
            return (404, String::new());
        }
        let ready = state.is_ready() && !shutdown.has_begun();
        (if ready { 200 } else { 503 }, String::new())
    })
}

/// Starts the task of a listener and logs its error if it fails.
fn spawn_listener(
    log: &Logger,
    name: &'static str,
    task: impl Future<Output = anyhow::Result<()>> + 'static,
) {
    let log = log.clone();
    tokio::task::spawn_local(async move {
        if let Err(error) = task.await {
            warn!(log, "listener failed"; "what" => name, "fault" => format!("{error:#}"));
        }
    });
}
