//! Hands the store's rows on between instances, so that only a few instances read the store.
//!
//! As a reader, an instance sends what it reads to its subscribers, over the links that they opened.
//! As a follower, it takes what its reader sends, with the store's own versions and times, and makes
//! no calls itself. [`StoreFollower`] decides which instance it follows, if any; the tables' loops
//! in [`crate::watcher`] read the store whenever there is none.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::readers::{FollowerConfig, ReaderAction, StoreFollower, rank_readers};
use sardineshore_core::flow::replica::TableChanges;
use sardineshore_core::flow::zones::SendIntervals;
use serde::{Deserialize, Serialize};
use slog::{Logger, info};
use tokio::sync::{Notify, mpsc};

use crate::dialect::{StoreVersion, Table};
use crate::peers::{Message, Peers};
use crate::state::boot_time;
use crate::zones::{SentFigures, ZoneExchange};

/// Longest time between two checks which instances may be followed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// When the store produced what is handed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Reading of the store's clock, in milliseconds.
    pub store_time_ms: u64,
    /// Time since then when it was sent, by the clock of the sender.
    pub age: Duration,
}

/// What a reader tells its subscribers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReaderMessage {
    /// Changes of a table.
    Changes {
        /// The table.
        table: Table,
        /// Its changes.
        changes: TableChanges,
        /// When the store confirmed that there were no others; only for the configuration.
        stamp: Option<Stamp>,
        /// Whether a call to the store failed before, so that entries may have lapsed.
        after_outage: bool,
    },
    /// The reader can't reach the store.
    StoreFailed,
}

/// Versions up to which a subscriber knows the tables, in the order of [`Table::ALL`].
pub type KnownVersions = [Option<StoreVersion>; Table::ALL.len()];

/// An event of a link to a reader.
#[derive(Debug)]
pub enum LinkEvent {
    /// A message arrived at this time, as [`boot_time`].
    Received(ReaderMessage, Duration),
    /// The link was lost.
    Lost,
}

/// An instance that gets what this one reads.
#[derive(Debug)]
struct Subscriber {
    id: u64,
    tx: mpsc::UnboundedSender<Bytes>,
    known: KnownVersions,
}

/// The readers that this instance follows, and the subscribers that follow it.
#[derive(Debug)]
pub struct StoreRelay {
    follower: RefCell<StoreFollower>,
    subscribers: RefCell<Vec<Subscriber>>,
    next_id: Cell<u64>,
    lost_readers: Cell<u64>,
    /// Subscribers that have not got what is known already.
    new_subscribers: RefCell<Vec<Subscriber>>,
    /// Whether enough is known to choose a reader.
    is_decidable: Cell<bool>,
    /// Whether it was decided if another instance is followed.
    is_decided: Cell<bool>,
    /// Notified when the list of instances was read.
    check: Notify,
    /// Notified when [`StoreRelay::must_read`] changes or a subscriber is added.
    changed: Notify,
    events_tx: mpsc::UnboundedSender<(Name, LinkEvent)>,
    events_rx: RefCell<Option<mpsc::UnboundedReceiver<(Name, LinkEvent)>>>,
    /// Loads of cells, which go along with what is handed on.
    zones: OnceCell<Rc<ZoneExchange>>,
    sent_figures: SentFigures,
    log: Logger,
}

impl StoreRelay {
    /// Follows nobody at first. `revocation_bound` is the longest time for which a revoked key may
    /// be accepted.
    #[must_use]
    pub fn new(revocation_bound: Duration, log: Logger) -> Self {
        let config = FollowerConfig::for_revocation_bound(revocation_bound);
        let (events_tx, events_rx) = mpsc::unbounded_channel();
        Self {
            follower: RefCell::new(StoreFollower::new(config)),
            subscribers: RefCell::default(),
            next_id: Cell::new(0),
            lost_readers: Cell::new(0),
            new_subscribers: RefCell::default(),
            is_decidable: Cell::new(false),
            is_decided: Cell::new(false),
            check: Notify::new(),
            changed: Notify::new(),
            events_tx,
            events_rx: RefCell::new(Some(events_rx)),
            zones: OnceCell::new(),
            sent_figures: SentFigures::new(SendIntervals::FROM_READER),
            log,
        }
    }

    /// Number of times that this instance has stopped following a reader.
    #[must_use]
    pub fn lost_reader_count(&self) -> u64 {
        self.lost_readers.get()
    }

    /// Whether this instance has to read the store itself.
    #[must_use]
    pub fn must_read(&self) -> bool {
        self.has_subscribers() || self.follower.borrow().reader().is_none()
    }

    /// Whether other instances follow this one.
    #[must_use]
    pub fn has_subscribers(&self) -> bool {
        !self.subscribers.borrow().is_empty() || !self.new_subscribers.borrow().is_empty()
    }

    /// Whether another instance will hand on the store's next response.
    #[must_use]
    pub fn is_subscribed(&self) -> bool {
        self.follower.borrow().is_subscribed()
    }

    /// Waits until [`StoreRelay::must_read`] returns `expected`.
    pub async fn wait_must_read(&self, expected: bool) {
        loop {
            let changed = self.changed.notified();
            if self.must_read() == expected {
                return;
            }
            changed.await;
        }
    }

    /// Waits until another instance follows this one.
    pub async fn wait_for_subscriber(&self) {
        loop {
            let changed = self.changed.notified();
            if self.has_subscribers() {
                return;
            }
            changed.await;
        }
    }

    /// Waits while a reader is expected to be followed soon.
    pub async fn wait_for_expected_reader(&self) {
        loop {
            let changed = self.changed.notified();
            let expected = !self.is_decided.get() || self.follower.borrow().expects_reader();
            if !self.must_read() || !expected {
                return;
            }
            changed.await;
        }
    }

    /// Makes [`StoreRelay::follow`] consider the list of instances, as it was read or has changed.
    pub fn handle_instances(&self) {
        self.is_decidable.set(true);
        self.check.notify_one();
    }

    /// Adds a subscriber, to which messages are sent on `tx`. Returns an id for
    /// [`StoreRelay::unsubscribe`].
    pub fn subscribe(&self, tx: mpsc::UnboundedSender<Bytes>, known: KnownVersions) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let subscriber = Subscriber { id, tx, known };
        self.new_subscribers.borrow_mut().push(subscriber);
        self.changed.notify_waiters();
        id
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&self, id: u64) {
        self.subscribers.borrow_mut().retain(|s| s.id != id);
        self.new_subscribers.borrow_mut().retain(|s| s.id != id);
        self.changed.notify_waiters();
    }

    /// Waits for new subscribers and returns them, each with the versions that it knows.
    pub async fn take_new_subscribers(&self) -> Vec<(mpsc::UnboundedSender<Bytes>, KnownVersions)> {
        loop {
            let changed = self.changed.notified();
            let new = std::mem::take(&mut *self.new_subscribers.borrow_mut());
            if !new.is_empty() {
                let greeted = new.iter().map(|s| (s.tx.clone(), s.known)).collect();
                self.subscribers.borrow_mut().extend(new);
                return greeted;
            }
            changed.await;
        }
    }

    /// Sends a message to one subscriber.
    pub fn send(tx: &mpsc::UnboundedSender<Bytes>, message: ReaderMessage) {
        let _closed = tx.send(Message::Store(message).encode());
    }

    /// Sends the loads of cells along with what is handed on. Only the first call has an effect.
    pub fn set_zones(&self, zones: Rc<ZoneExchange>) {
        let _set_before = self.zones.set(zones);
    }

    /// Sends a message to all subscribers that already got what is known.
    pub fn publish(&self, message: ReaderMessage) {
        let subscribers = self.subscribers.borrow();
        if subscribers.is_empty() {
            return;
        }
        let zones = self.zones.get();
        let figures = zones.and_then(|zones| zones.due_message(&self.sent_figures));
        if let Some(figures) = figures {
            let encoded = figures.encode();
            for subscriber in subscribers.iter() {
                let _closed = subscriber.tx.send(encoded.clone());
            }
        }
        let encoded = Message::Store(message).encode();
        for subscriber in subscribers.iter() {
            let _closed = subscriber.tx.send(encoded.clone());
        }
    }

    /// Passes an event of the link to a reader on to [`StoreRelay::follow`].
    pub fn handle_link_event(&self, reader: &Name, event: LinkEvent) {
        let _stopped = self.events_tx.send((reader.clone(), event));
    }

    /// Follows the readers of this instance's domain forever. `apply` applies what they hand on and
    /// returns the time from which it confirms the configuration, or whether something is missing.
    pub async fn follow(
        &self,
        peers: Rc<Peers>,
        known: impl Fn() -> KnownVersions,
        apply: impl Fn(ReaderMessage, Duration) -> Applied,
    ) {
        let Some(mut events) = self.events_rx.borrow_mut().take() else {
            return;
        };
        let own = peers.this_instance().clone();
        loop {
            let decidable = self.is_decidable.get();
            let readers = if decidable {
                rank_readers(&own.name, &own.domain, &peers.candidates())
            } else {
                Vec::new()
            };
            let was_followed = self.follower.borrow().reader().cloned();
            let actions = self.follower.borrow_mut().update(&readers, boot_time());
            for action in actions {
                self.perform(action, &peers, known()).await;
            }
            self.is_decided.set(decidable);
            self.finish_change(was_followed.as_ref());
            let next = self.follower.borrow().next_update();
            let left = next.map_or(CHECK_INTERVAL, |at| at.saturating_sub(boot_time()));
            let event = tokio::select! {
                event = events.recv() => event,
                () = self.check.notified() => None,
                () = tokio::time::sleep(left.min(CHECK_INTERVAL)) => None,
            };
            let Some((reader, event)) = event else {
                continue;
            };
            let was_followed = self.follower.borrow().reader().cloned();
            match event {
                LinkEvent::Lost => {
                    let mut follower = self.follower.borrow_mut();
                    follower.record_lost_link(&reader, boot_time());
                }
                LinkEvent::Received(ReaderMessage::StoreFailed, _) => {
                    self.follower.borrow_mut().record_store_failure(&reader);
                }
                LinkEvent::Received(message, at) => match apply(message, at) {
                    Applied::Confirmed(at) => {
                        let mut follower = self.follower.borrow_mut();
                        follower.record_confirmation(&reader, at, boot_time());
                    }
                    Applied::Unconfirmed => {}
                    Applied::Gap => {
                        let action = ReaderAction::Subscribe(reader);
                        self.perform(action, &peers, known()).await;
                    }
                },
            }
            self.finish_change(was_followed.as_ref());
        }
    }

    /// Records a change of the reader, and wakes the tables' loops.
    fn finish_change(&self, before: Option<&Name>) {
        let follower = self.follower.borrow();
        let reader = follower.reader();
        if reader != before {
            if reader.is_none() {
                self.lost_readers.set(self.lost_readers.get() + 1);
            }
            info!(self.log, "reader of the store"; "followed" => reader.map_or("none", |name| name), "before" => before.map_or("none", |name| name));
        }
        self.changed.notify_waiters();
    }

    async fn perform(&self, action: ReaderAction, peers: &Rc<Peers>, known: KnownVersions) {
        match action {
            ReaderAction::Subscribe(name) => {
                if let Some(link) = peers.link(&name).await {
                    link.send(&Message::Subscribe { known });
                } else {
                    let mut follower = self.follower.borrow_mut();
                    follower.record_lost_link(&name, boot_time());
                }
            }
            ReaderAction::Unsubscribe(name) => {
                if let Some(link) = peers.open_link(&name) {
                    link.send(&Message::Unsubscribe);
                }
            }
        }
    }
}

/// Effect of a message of a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The configuration is confirmed as of this time.
    Confirmed(Duration),
    /// Nothing is confirmed.
    Unconfirmed,
    /// Changes before these are missing.
    Gap,
}
