//! The main program: starts the components of an instance and shuts them down gracefully.

use std::sync::Arc;

use anyhow::Context;
use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use async_std::task;
use sardineshore_core::event::entry as events;
use sardineshore_core::{Clock, SystemClock};
use sardineshore_wire::logging;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::assembly::Assembly;
use crate::instance::Instance;
use crate::settings::Settings;
use crate::{admission, listener, load};

/// Runs an entry instance until SIGTERM or SIGINT; returns after a graceful shutdown.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let log = logging::root("sardine-entry", &settings.name, &settings.log_level);
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let assembly = Assembly::new(settings, clock, log);
    let instance = assembly.instance.clone();
    let running = assembly.start().await?;
    let listen = &instance.settings.listen;
    let socket = TcpListener::bind(listen)
        .await
        .with_context(|| format!("listen {listen}"))?;
    let accept_task = task::spawn(listener::accept(instance.clone(), socket));
    let expiry_task = task::spawn({
        let instance = instance.clone();
        async move { admission::expire_queued(&instance).await }
    });
    let polling_task = task::spawn({
        let instance = instance.clone();
        async move { load::poll_loads(&instance).await }
    });
    instance.event_log.info(
        &events::STARTED,
        format!("listening for callers at {listen}"),
    );
    instance.shutdown.set_ready();
    wait_for_stop(&instance).await?;
    assembly.config.announce_leaving();
    task::sleep(instance.settings.stop_delay).await;
    accept_task.cancel().await;
    instance.shutdown.close_idle();
    let left = instance.shutdown.drain(instance.settings.stop_limit).await;
    expiry_task.cancel().await;
    polling_task.cancel().await;
    assembly.stop(running).await;
    instance
        .event_log
        .info(&events::STOPPED, format!("{left} requests still in flight"));
    Ok(())
}

/// Waits for the first SIGTERM or SIGINT and starts the shutdown; later signals are ignored.
async fn wait_for_stop(instance: &Instance) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signal handler")?;
    signals.next().await;
    instance.shutdown.begin();
    let Settings {
        stop_delay,
        stop_limit,
        ..
    } = instance.settings;
    let now = instance.clock.now();
    instance.shutdown.set_limits(stop_delay, stop_limit, now);
    instance
        .event_log
        .info(&events::STOPPING, "signal received");
    Ok(())
}
