//! Runs an instance: builds its components, starts their tasks and shuts them down on SIGTERM.
//!
//! All tasks of an instance run on one thread.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use sardineshore_core::flow::config::Name;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::attempt::Dispatcher;
use crate::cell::OwnedCells;
use crate::dialect::{Dialect, Table};
use crate::metrics::Metrics;
use crate::peers::{InstanceInfo, Peers};
use crate::request::RequestHandler;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::stages::StageClient;
use crate::state::SharedState;
use crate::store::Store;
use crate::upstream::ConnectionPool;
use crate::watcher::StoreWatcher;
use crate::{caller, monitoring};

/// Longest time for which one call waits for a change of the list of instances.
const INSTANCES_WAIT: Duration = Duration::from_secs(20);
/// Delay after a change of the list, so that one call returns many starts.
const INSTANCES_DELAY: Duration = Duration::from_millis(1200);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// How often connections that were idle for too long are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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
    cells: Rc<OwnedCells>,
    peers: Rc<Peers>,
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
    let connections = Rc::new(ConnectionPool::default());
    let metrics = Rc::new(Metrics::new()?);
    let shutdown = Rc::new(Shutdown::new(settings.bounds.grace));
    let store = Rc::new(Store::new(
        settings.store,
        dialect.clone(),
        connections.clone(),
    ));
    let cells = Rc::new(OwnedCells::new(
        dialect.clone(),
        connections.clone(),
        metrics.clone(),
        log.clone(),
    ));
    let own = InstanceInfo {
        name: settings.instance.clone(),
        address: settings.peer,
        domain: settings.domain.clone(),
        weight: settings.processor_share,
    };
    let peers = Peers::new(own, cells.clone(), log.clone());
    let dispatcher = Dispatcher::new(
        state.clone(),
        connections.clone(),
        peers.clone(),
        dialect.clone(),
        metrics.clone(),
    );
    let stages = StageClient::new(cells.clone(), peers.clone(), log.clone());
    let handler = Rc::new(RequestHandler::new(
        state.clone(),
        dispatcher,
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
        cells,
        peers,
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
    let components = build_components(&settings, &dialect, &log)?;
    info!(log, "start"; "domain" => &*settings.domain, "version" => env!("CARGO_PKG_VERSION"));
    let listener = TcpListener::bind(settings.listen).await?;
    start_watching(&components, &dialect, settings.bounds.drain, &log);
    tokio::task::spawn_local(sync_instances(
        components.peers.clone(),
        components.store.clone(),
        log.clone(),
    ));
    tokio::task::spawn_local(components.peers.clone().hand_over_cells());
    spawn_listener(&log, "peers", components.peers.clone().accept());
    spawn_listener(
        &log,
        "readiness",
        monitoring::serve(settings.ready, readiness_handler(&components, &dialect)),
    );
    let metrics = components.metrics.clone();
    let metrics_handler =
        Rc::new(move |_: &crate::http1::RequestHead| (200, metrics.encode_text()));
    spawn_listener(
        &log,
        "metrics",
        monitoring::serve(settings.metrics, metrics_handler),
    );
    let connections = components.connections.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            connections.evict_idle();
        }
    });
    tokio::task::spawn_local(caller::accept(listener, components.handler.clone()));
    wait_for_termination(&components, &log).await?;
    components.shutdown.wait_drained().await;
    info!(log, "stopped"; "store_calls" => components.store.call_count());
    Ok(())
}

/// Waits for SIGTERM, then begins the shutdown.
async fn wait_for_termination(components: &Components, log: &Logger) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => info!(log, "ignoring SIGHUP; settings are read at the start only"),
        }
    }
    info!(log, "stopping");
    components.shutdown.begin();
    components.cells.close();
    Ok(())
}

/// Starts the tasks that watch the configuration and the servers.
fn start_watching(
    components: &Components,
    dialect: &Rc<dyn Dialect>,
    drain: Duration,
    log: &Logger,
) {
    let (state, cells) = (components.state.clone(), components.cells.clone());
    let on_change = Box::new(move || {
        if let Some(config) = state.config() {
            cells.set_servers(&state.selector.borrow(), &config);
        }
    });
    let watcher = Rc::new(StoreWatcher::new(
        components.store.clone(),
        dialect.clone(),
        components.state.clone(),
        log.clone(),
        drain,
        on_change,
    ));
    let config_watcher = watcher.clone();
    tokio::task::spawn_local(async move { config_watcher.watch_config().await });
    tokio::task::spawn_local(async move { watcher.watch_servers().await });
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

/// Registers this instance in the store, and watches the rows of the others. A row stays when its
/// instance stops, as the next start has the same name and address; it is written only if it has
/// changed.
async fn sync_instances(peers: Rc<Peers>, store: Rc<Store>, log: Logger) {
    let own = peers.this_instance().clone();
    let Ok(value) = postcard::to_stdvec(&own) else {
        return;
    };
    let mut instances: BTreeMap<Name, InstanceInfo> = BTreeMap::new();
    let mut known_version: Option<u64> = None;
    let mut registered = false;
    loop {
        let result = match known_version {
            None => store.read(Table::Instances).await,
            Some(after) => store.watch(Table::Instances, after, INSTANCES_WAIT).await,
        };
        let page = match result {
            Ok(timed) => timed.page,
            Err(error) => {
                info!(log, "can't read the list of instances; retrying"; "fault" => error.to_string());
                known_version = None;
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        if known_version.is_none() {
            instances.clear();
            let own_row = page.rows.iter().find(|row| row.key == own.name);
            registered |= own_row.is_some_and(|row| row.value.as_ref() == Some(&value));
        }
        known_version = Some(page.version);
        for row in &page.rows {
            let info = row.value.as_deref().map(postcard::from_bytes);
            match info {
                Some(Ok(info)) => instances.insert(row.key.clone(), info),
                Some(Err(_)) | None => instances.remove(&row.key),
            };
        }
        peers.set_instances(instances.values().cloned().collect());
        if !page.rows.is_empty() {
            info!(log, "instances"; "listed" => instances.len(), "version" => page.version);
        }
        if !registered {
            registered = store.put(Table::Instances, &own.name, &value).await.is_ok();
        }
        if !page.rows.is_empty() {
            tokio::time::sleep(INSTANCES_DELAY).await;
        }
    }
}
