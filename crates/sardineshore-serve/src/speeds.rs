//! Exchange of servers' speeds between instances, beside the messages about jobs, and their log lines.
//!
//! The decisions are in [`sardineshore_core::flow::speed`].

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::speed::{ServerSpeeds, SpeedChange, SpeedDigest, SpeedLink};
use slog::{Logger, info};

use crate::metrics::Metrics;
use crate::peers::Message;
use crate::state::SharedState;

/// How often changes are logged and the metrics are updated.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Tells other instances about speeds and takes what they tell.
#[derive(Debug)]
pub struct SpeedExchange {
    state: Rc<SharedState>,
    metrics: Rc<Metrics>,
    log: Logger,
}

/// The exchange over one link.
#[derive(Debug)]
pub struct LinkSpeeds {
    exchange: Rc<SpeedExchange>,
    link: RefCell<SpeedLink>,
}

impl LinkSpeeds {
    /// What is to follow a message to an owner of cells, if anything.
    #[must_use]
    pub fn samples(&self) -> Option<Message> {
        self.next_message(ServerSpeeds::samples)
    }

    /// What is to follow a message to an instance that submits jobs, if anything.
    #[must_use]
    pub fn estimates(&self) -> Option<Message> {
        self.next_message(ServerSpeeds::estimates)
    }

    fn next_message(
        &self,
        next: impl FnOnce(&mut ServerSpeeds, &mut SpeedLink, Instant) -> Option<SpeedDigest>,
    ) -> Option<Message> {
        // A change of the servers may end jobs while it holds the selector.
        let mut selector = self.exchange.state.selector.try_borrow_mut().ok()?;
        let mut link = self.link.borrow_mut();
        let digest = next(selector.speeds_mut(), &mut link, Instant::now())?;
        Some(self.exchange.message(digest))
    }
}

impl SpeedExchange {
    /// Creates an exchange of the speeds in `state`.
    #[must_use]
    pub fn new(state: Rc<SharedState>, metrics: Rc<Metrics>, log: Logger) -> Rc<Self> {
        Rc::new(Self {
            state,
            metrics,
            log,
        })
    }

    /// The exchange over a new link.
    #[must_use]
    pub fn link(self: &Rc<Self>) -> LinkSpeeds {
        LinkSpeeds {
            exchange: self.clone(),
            link: RefCell::default(),
        }
    }

    /// What an instance gets that begins to follow this one; it may have just started.
    #[must_use]
    pub fn snapshot(&self) -> Option<Message> {
        let selector = self.state.selector.try_borrow().ok()?;
        let digest = selector.speeds().snapshot(Instant::now())?;
        Some(self.message(digest))
    }

    fn message(&self, digest: SpeedDigest) -> Message {
        let bytes = digest.encoded_bytes();
        self.metrics
            .speed
            .bytes
            .inc_by(u64::try_from(bytes).unwrap_or(0));
        Message::Speeds(digest)
    }

    /// Takes what another instance tells.
    pub fn receive(&self, digest: &SpeedDigest) {
        if let Ok(mut selector) = self.state.selector.try_borrow_mut() {
            selector.speeds_mut().receive(digest, Instant::now());
        }
    }

    /// Logs changes and updates the metrics, forever.
    pub async fn report(self: Rc<Self>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let (changes, unlogged) = {
                let mut selector = self.state.selector.borrow_mut();
                let speeds = selector.speeds_mut();
                speeds.refresh_if_due(Instant::now());
                let count = i64::try_from(speeds.evident_servers()).unwrap_or(i64::MAX);
                self.metrics.speed.unusual_servers.set(count);
                speeds.take_changes()
            };
            for change in changes {
                self.log_change(change);
            }
            if unlogged > 0 {
                info!(self.log, "further speeds of servers changed"; "count" => unlogged);
            }
        }
    }

    fn log_change(&self, change: SpeedChange) {
        match change {
            SpeedChange::Server {
                id,
                slowness,
                weight,
                samples,
            } => {
                info!(self.log, "speed of a server"; "server" => &*id, "slowness" => slowness, "weight" => weight, "samples" => samples);
            }
            SpeedChange::Prefill { pool, token_time } => {
                let token_ns = u64::try_from(token_time.as_nanos()).unwrap_or(u64::MAX);
                info!(self.log, "prefill time of a pool"; "pool" => &*pool, "token_ns" => token_ns);
            }
            SpeedChange::Trust { pool, trust } => {
                info!(self.log, "trust in load figures of a pool"; "pool" => &*pool, "trust" => trust);
            }
        }
    }
}
