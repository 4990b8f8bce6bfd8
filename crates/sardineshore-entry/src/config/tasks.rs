//! Background tasks that run the steps of the configuration service repeatedly.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use rand::Rng;
use sardineshore_core::membership::per_member_interval;

use super::ConfigService;

/// Fraction by which intervals vary at random, so that instances do not call simultaneously.
const JITTER: f64 = 0.2;
/// Maximum time between two reads of the log head while the store fails.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time between two checks of the fencing state and of the age of the confirmation.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time until fencing below which an instance contacts its peers more often.
const URGENT_BELOW: Duration = Duration::from_millis(1_200);
/// Maximum ratio of a random wait to its mean.
const MAX_WAIT_FACTOR: f64 = 5.0;

/// Tasks that run until they are cancelled.
#[derive(Debug)]
pub struct ConfigTasks {
    tasks: Vec<JoinHandle<()>>,
}

impl ConfigTasks {
    /// Cancels all tasks.
    pub async fn cancel(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

/// Starts the tasks that poll the platform and exchange with peers.
#[must_use]
pub fn start(service: &Arc<ConfigService>) -> ConfigTasks {
    let tasks = vec![
        spawn(service, follow_list),
        spawn(service, follow_head),
        spawn(service, exchange),
        spawn(service, announce_updates),
        spawn(service, watch),
    ];
    ConfigTasks { tasks }
}

fn spawn<F>(
    service: &Arc<ConfigService>,
    task: impl FnOnce(Arc<ConfigService>) -> F,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    task::spawn(task(service.clone()))
}

async fn follow_list(service: Arc<ConfigService>) {
    let settings = &service.settings;
    loop {
        if service.poll_list().await.is_ok() {
            service
                .wait_for_share(
                    settings.list_reads_per_second,
                    settings.min_list_interval,
                    || false,
                )
                .await;
        } else {
            task::sleep(jittered(settings.min_list_interval)).await;
        }
    }
}

/// Reads the log head at this instance's share of the rate, and earlier when the confirmation gets
/// old.
async fn follow_head(service: Arc<ConfigService>) {
    let settings = &service.settings;
    let mut backoff = settings.min_head_interval;
    loop {
        if service.poll_head().await.is_ok() {
            backoff = settings.min_head_interval;
            service.wait_until_due().await;
        } else {
            task::sleep(jittered(backoff)).await;
            backoff = (2 * backoff).min(MAX_BACKOFF);
        }
    }
}

async fn exchange(service: Arc<ConfigService>) {
    loop {
        task::sleep(jittered(service.exchange_wait())).await;
        let service = service.clone();
        task::spawn(async move { service.exchange_next().await });
    }
}

async fn announce_updates(service: Arc<ConfigService>) {
    while service.update_signal.1.recv().await.is_ok() {
        service.exchange_with_random().await;
        service.replicate_to_remaining().await;
    }
}

async fn watch(service: Arc<ConfigService>) {
    loop {
        service.log_fencing_change();
        service.update_gauges();
        task::sleep(WATCH_INTERVAL).await;
    }
}

impl ConfigService {
    fn members(&self) -> usize {
        self.state().membership.len()
    }

    /// Time until the next exchange; halved if the confirmation of this instance expires soon.
    fn exchange_wait(&self) -> Duration {
        let left = self.state().quorum.time_to_fence(self.now());
        let interval = self.settings.exchange_interval;
        if left < URGENT_BELOW {
            interval / 2
        } else {
            interval
        }
    }

    /// Waits until this instance's next read of the log head is due or its confirmation is old.
    async fn wait_until_due(&self) {
        let settings = &self.settings;
        task::sleep(jittered(settings.min_head_interval)).await;
        let old = || {
            let age = self.state().quorum.confirmation_age(self.now());
            age.is_none_or(|age| age >= settings.confirmation_refresh_age)
        };
        self.wait_for_share(settings.head_reads_per_second, Duration::ZERO, old)
            .await;
    }

    /// Waits for a random time so that all instances together make `budget` calls per second. The
    /// times are random so that the calls stay evenly distributed even if all instances were
    /// started together. Returns early when `due` returns true.
    async fn wait_for_share(&self, budget: f64, min_wait: Duration, due: impl Fn() -> bool) {
        let started = self.now();
        let factor = -rand::rng().random_range(f64::MIN_POSITIVE..1.0).ln();
        let factor = factor.min(MAX_WAIT_FACTOR);
        loop {
            let wait = per_member_interval(self.members(), budget, min_wait).mul_f64(factor);
            if due() || self.now() >= started + wait.max(min_wait) {
                return;
            }
            task::sleep(WATCH_INTERVAL).await;
        }
    }
}

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(1.0 - JITTER..=1.0 + JITTER))
}
