//! Joins the parts of an instance, starts and stops them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use sardineshore_core::flow::config::Name;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::{caller, monitoring};
use crate::attempt::Sender;
use crate::cell::OwnedCells;
use crate::dialect::{Dialect, Table};
use crate::metrics::Metrics;
use crate::peers::{InstanceInfo, Peers};
use crate::request::Serving;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::stages::StageClient;
use crate::state::SharedState;
use crate::store::Store;
use crate::upstream::Upstreams;
use crate::watcher::StoreWatcher;

/// Longest wait for a change of the list of instances.
const INSTANCES_WAIT: Duration = Duration::from_secs(20);
/// Pause after a change of the list: many starts come in one answer.
const INSTANCES_PAUSE: Duration = Duration::from_millis(1200);
/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// How often idle connections are swept.
const SWEEP: Duration = Duration::from_secs(1);

/// Runs an instance until it is stopped.
///
/// # Errors
///
/// Fails if an address can't be listened on or the runtime can't start.
pub fn run(settings: Settings, dialect: Rc<dyn Dialect>, log: Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, dialect, log))
}

struct Parts {
    state: Rc<SharedState>,
    store: Rc<Store>,
    upstreams: Rc<Upstreams>,
    cells: Rc<OwnedCells>,
    peers: Rc<Peers>,
    shutdown: Rc<Shutdown>,
    metrics: Rc<Metrics>,
    serving: Rc<Serving>,
}

fn assemble(settings: &Settings, dialect: &Rc<dyn Dialect>, log: &Logger) -> anyhow::Result<Parts> {
    let state = Rc::new(SharedState::new(settings));
    let upstreams = Rc::new(Upstreams::default());
    let metrics = Rc::new(Metrics::new()?);
    let shutdown = Rc::new(Shutdown::new(settings.bounds.grace));
    let store = Rc::new(Store::new(
        settings.store,
        dialect.clone(),
        upstreams.clone(),
    ));
    let cells = Rc::new(OwnedCells::new(
        dialect.clone(),
        upstreams.clone(),
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
    let sender = Sender::new(
        state.clone(),
        upstreams.clone(),
        peers.clone(),
        dialect.clone(),
        metrics.clone(),
    );
    let stages = StageClient::new(cells.clone(), peers.clone(), log.clone());
    let serving = Rc::new(Serving::new(
        state.clone(),
        sender,
        stages,
        dialect.clone(),
        shutdown.clone(),
        metrics.clone(),
        log.clone(),
    ));
    Ok(Parts {
        state,
        store,
        upstreams,
        cells,
        peers,
        shutdown,
        metrics,
        serving,
    })
}

/// The same within a runtime and a [`tokio::task::LocalSet`] of the caller's.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn serve(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    log: Logger,
) -> anyhow::Result<()> {
    let parts = assemble(&settings, &dialect, &log)?;
    info!(log, "start"; "domain" => &*settings.domain, "version" => env!("CARGO_PKG_VERSION"));
    let listener = TcpListener::bind(settings.listen).await?;
    start_watching(&parts, &dialect, settings.bounds.drain, &log);
    tokio::task::spawn_local(keep_membership(
        parts.peers.clone(),
        parts.store.clone(),
        log.clone(),
    ));
    tokio::task::spawn_local(parts.peers.clone().hand_over_cells());
    spawn_checked(&log, "peers", parts.peers.clone().accept());
    spawn_checked(
        &log,
        "readiness",
        monitoring::serve(settings.ready, readiness(&parts, &dialect)),
    );
    let metrics = parts.metrics.clone();
    let answering = Rc::new(move |_: &crate::http1::RequestHead| (200, metrics.encode_text()));
    spawn_checked(
        &log,
        "metrics",
        monitoring::serve(settings.metrics, answering),
    );
    let upstreams = parts.upstreams.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP).await;
            upstreams.sweep();
        }
    });
    tokio::task::spawn_local(caller::accept(listener, parts.serving.clone()));
    wait_for_stop(&parts, &log).await?;
    parts.shutdown.wait_drained().await;
    info!(log, "stopped"; "store_calls" => parts.store.call_count());
    Ok(())
}

async fn wait_for_stop(parts: &Parts, log: &Logger) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => info!(log, "reload: nothing that runs depends on a changed setting"),
        }
    }
    info!(log, "stopping");
    parts.shutdown.begin();
    parts.cells.close();
    Ok(())
}

fn start_watching(parts: &Parts, dialect: &Rc<dyn Dialect>, drain: Duration, log: &Logger) {
    let (state, cells) = (parts.state.clone(), parts.cells.clone());
    let on_change = Box::new(move || {
        if let Some(site) = state.config() {
            cells.set_servers(&state.selector.borrow(), &site);
        }
    });
    let watcher = Rc::new(StoreWatcher::new(
        parts.store.clone(),
        dialect.clone(),
        parts.state.clone(),
        log.clone(),
        drain,
        on_change,
    ));
    let site = watcher.clone();
    tokio::task::spawn_local(async move { site.watch_config().await });
    tokio::task::spawn_local(async move { watcher.watch_servers().await });
}

fn readiness(parts: &Parts, dialect: &Rc<dyn Dialect>) -> monitoring::Handler {
    let (state, shutdown) = (parts.state.clone(), parts.shutdown.clone());
    let path = dialect.readiness_path();
    Rc::new(move |head| {
        if head.target != path {
            return (404, String::new());
        }
        let ready = state.is_ready() && !shutdown.has_begun();
        (if ready { 200 } else { 503 }, String::new())
    })
}

fn spawn_checked(
    log: &Logger,
    what: &'static str,
    task: impl Future<Output = anyhow::Result<()>> + 'static,
) {
    let log = log.clone();
    tokio::task::spawn_local(async move {
        if let Err(fault) = task.await {
            warn!(log, "listener failed"; "what" => what, "fault" => format!("{fault:#}"));
        }
    });
}

/// Writes this instance's row if it has changed and follows those of the others. A row stays when
/// its instance stops: the next start has the same name and address.
async fn keep_membership(peers: Rc<Peers>, store: Rc<Store>, log: Logger) {
    let own = peers.this_instance().clone();
    let Ok(value) = postcard::to_stdvec(&own) else {
        return;
    };
    let mut listed: BTreeMap<Name, InstanceInfo> = BTreeMap::new();
    let mut known: Option<u64> = None;
    let mut written = false;
    loop {
        let read = match known {
            None => store.read(Table::Instances).await,
            Some(after) => store.watch(Table::Instances, after, INSTANCES_WAIT).await,
        };
        let page = match read {
            Ok(read) => read.page,
            Err(fault) => {
                info!(log, "instances can't be read"; "fault" => fault.to_string());
                known = None;
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        if known.is_none() {
            listed.clear();
            let own_row = page.rows.iter().find(|row| row.key == own.name);
            written |= own_row.is_some_and(|row| row.value.as_ref() == Some(&value));
        }
        known = Some(page.version);
        for row in &page.rows {
            let info = row.value.as_deref().map(postcard::from_bytes);
            match info {
                Some(Ok(info)) => listed.insert(row.key.clone(), info),
                Some(Err(_)) | None => listed.remove(&row.key),
            };
        }
        peers.set_instances(listed.values().cloned().collect());
        if !page.rows.is_empty() {
            info!(log, "instances"; "listed" => listed.len(), "version" => page.version);
        }
        if !written {
            written = store.put(Table::Instances, &own.name, &value).await.is_ok();
        }
        if !page.rows.is_empty() {
            tokio::time::sleep(INSTANCES_PAUSE).await;
        }
    }
}
