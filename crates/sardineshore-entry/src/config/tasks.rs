//! Repeats the steps of the configuration service.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use rand::Rng;
use sardineshore_core::membership::per_member_interval;

use super::ConfigService;

/// Share by which periods vary at random, so that instances do not call at the same moment.
const JITTER: f64 = 0.2;
/// Longest time between two reads of the head while the store fails.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time between two looks at the fence and at the age of the confirmation.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time left until the fence below which an instance asks its peers more often.
const HURRY_BELOW: Duration = Duration::from_millis(1_200);
/// Largest multiple of its mean that a random wait may reach.
const MAX_FACTOR: f64 = 5.0;

/// Tasks that run until they are cancelled.
#[derive(Debug)]
pub struct ConfigTasks {
    tasks: Vec<JoinHandle<()>>,
}

impl ConfigTasks {
    /// Ends all tasks.
    pub async fn cancel(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

/// Starts to follow the platform and to exchange with peers.
#[must_use]
pub fn start(service: &Arc<ConfigService>) -> ConfigTasks {
    let tasks = vec![
        spawn(service, follow_list),
        spawn(service, follow_head),
        spawn(service, exchange),
        spawn(service, tell_news),
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
                .wait_for_share(settings.list_budget, settings.list_period, || false)
                .await;
        } else {
            task::sleep(jittered(settings.list_period)).await;
        }
    }
}

/// Reads the head in its share of the budget, and at once when the confirmation grows old.
async fn follow_head(service: Arc<ConfigService>) {
    let settings = &service.settings;
    let mut backoff = settings.head_period;
    loop {
        if service.poll_head().await.is_ok() {
            backoff = settings.head_period;
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

async fn tell_news(service: Arc<ConfigService>) {
    while service.news.1.recv().await.is_ok() {
        service.exchange_with_some().await;
        service.spread_rest().await;
    }
}

async fn watch(service: Arc<ConfigService>) {
    loop {
        service.watch_fence();
        service.update_gauges();
        task::sleep(WATCH_PERIOD).await;
    }
}

impl ConfigService {
    fn members(&self) -> usize {
        self.state().membership.len()
    }

    /// Instances whose confirmation runs out soon ask twice as often.
    fn exchange_wait(&self) -> Duration {
        let left = self.state().quorum.time_to_fence(self.now());
        let period = self.settings.exchange_period;
        if left < HURRY_BELOW {
            period / 2
        } else {
            period
        }
    }

    /// Waits until this instance's share of the reads of the head is due, or its confirmation is
    /// old.
    async fn wait_until_due(&self) {
        let settings = &self.settings;
        task::sleep(jittered(settings.head_period)).await;
        let old = || {
            let age = self.state().quorum.confirmation_age(self.now());
            age.is_none_or(|age| age >= settings.renew_after)
        };
        self.wait_for_share(settings.head_budget, Duration::ZERO, old)
            .await;
    }

    /// Waits for a random time, whose mean is this instance's share of a budget of calls a second,
    /// so that all instances together call at even times even if they were started together.
    /// Ends early when `due` says so.
    async fn wait_for_share(&self, budget: f64, shortest: Duration, due: impl Fn() -> bool) {
        let began = self.now();
        let factor = -rand::rng().random_range(f64::MIN_POSITIVE..1.0).ln();
        let factor = factor.min(MAX_FACTOR);
        loop {
            let wait = per_member_interval(self.members(), budget, shortest).mul_f64(factor);
            if due() || self.now() >= began + wait.max(shortest) {
                return;
            }
            task::sleep(WATCH_PERIOD).await;
        }
    }
}

fn jittered(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(1.0 - JITTER..=1.0 + JITTER))
}
