//! Model engine of a fake server: batched generation, a prefix cache and orders.
//!
//! Generation is deterministic: token `N` of an input depends only on the tag of the input
//! ([`tokens`]), so a stream that is resumed on another engine can be compared with an
//! uninterrupted one.

pub mod cache;
pub mod orders;
pub mod tokens;

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::task;
use futures::SinkExt;
use futures::channel::mpsc;
use sardineshore_core::EngineAction;
use sardineshore_wire::backend::{CacheEvent, FencedOrder, OrderReply, StreamItem};
use serde_json::{Map, Value};

use self::cache::{CacheSettings, PrefixCache};
use self::orders::Orders;
use super::attempt::Attempt;
use super::slots::Slots;
use crate::fault_rng::FaultRng;

/// Fraction of the service time that the prefill of an uncached prompt takes.
const PREFILL_SHARE: f64 = 0.4;
/// Fraction of the prefill time that a cached prefix saves.
const CACHE_SAVING: f64 = 0.9;
/// Tokens generated per sleep when the output isn't streamed; the batch size is read before each.
const TOKENS_PER_SLEEP: u64 = 4;

/// Settings that only a model engine has.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Settings of the prefix cache and its events.
    pub cache: CacheSettings,
    /// Relative growth of the time per token with each further attempt in the batch; 0.1 is 10%.
    pub batch_slope: f64,
    /// Time to complete an order.
    pub order_time: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            cache: CacheSettings::default(),
            batch_slope: 0.1,
            order_time: Duration::from_millis(200),
        }
    }
}

/// State of a model engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    cache: Mutex<PrefixCache>,
    orders: Mutex<Orders>,
}

/// Planned times and tokens of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Generation {
    /// Time until the first token.
    pub prefill: Duration,
    /// Time per token in a batch of one.
    pub per_token: Duration,
    /// Sequence number of the first token to send.
    pub first: u64,
    /// Tokens of the whole output, including those before `first`.
    pub total: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

/// Faults to inject into one stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// Ends the stream halfway, without the final item.
    pub truncate: bool,
    /// Sends one token twice.
    pub repeat: bool,
    /// Time for which the stream stops halfway.
    pub pause: Duration,
}

/// The receiver of a stream was dropped, or the attempt was cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamClosed;

impl Engine {
    /// Creates an engine with an empty cache and no orders.
    #[must_use]
    pub fn new(settings: EngineSettings, fencing: bool) -> Self {
        Self {
            cache: Mutex::new(PrefixCache::new(settings.cache.clone())),
            orders: Mutex::new(Orders::new(fencing, settings.order_time)),
            settings,
        }
    }

    /// Looks up the prompt in the cache and plans a generation. `time` is the service time of the
    /// default number of tokens without a cached prefix.
    pub fn plan(
        &self,
        attempt: &Attempt,
        time: Duration,
        fault_rng: &FaultRng,
        now: Instant,
    ) -> Generation {
        let prefix = cache::prefix(attempt.input_text("prompt"));
        let cached_tokens = self.cache().touch(prefix, fault_rng, now);
        let saving = if cached_tokens > 0 { CACHE_SAVING } else { 0.0 };
        let decode = time.mul_f64(1.0 - PREFILL_SHARE);
        let total = tokens::total(&attempt.input);
        Generation {
            prefill: time.mul_f64(PREFILL_SHARE * (1.0 - saving)),
            per_token: decode.div_f64(tokens::DEFAULT_TOTAL as f64),
            first: attempt.resume_from.min(total),
            total,
            cached_tokens,
        }
    }

    /// Spends the time of a generation whose output is returned at once.
    pub async fn generate(&self, generation: Generation, slots: &Slots) {
        task::sleep(generation.prefill).await;
        let mut done = generation.first;
        while done < generation.total {
            let step = TOKENS_PER_SLEEP.min(generation.total - done);
            let time = self.token_time(generation, slots);
            task::sleep(time.mul_f64(step as f64)).await;
            done += step;
        }
    }

    /// Generates the output token by token and sends each token to `tx`.
    pub async fn stream(
        &self,
        generation: Generation,
        tag: &str,
        faults: StreamFaults,
        slots: &Slots,
        tx: &mut mpsc::Sender<StreamItem>,
    ) -> Result<(), StreamClosed> {
        task::sleep(generation.prefill).await;
        let middle = generation.first.midpoint(generation.total);
        for seq in generation.first..generation.total {
            if faults.truncate && seq == middle {
                return Ok(());
            }
            if seq == middle {
                task::sleep(faults.pause).await;
            }
            task::sleep(self.token_time(generation, slots)).await;
            let text = tokens::token(tag, seq);
            let token = StreamItem::Token { seq, text };
            if faults.repeat && seq == middle {
                send(tx, token.clone()).await?;
            }
            send(tx, token).await?;
        }
        let tokens = generation.total;
        send(tx, StreamItem::Done { tokens }).await
    }

    /// Adds the generated text to a stage's output.
    pub fn add_generated_text(&self, attempt: &Attempt, output: &mut Map<String, Value>) {
        let total = tokens::total(&attempt.input);
        let text: String = (0..total)
            .map(|seq| tokens::token(&attempt.tag, seq).to_string())
            .collect();
        output.insert("text".into(), Value::from(text));
        output.insert("tokens".into(), Value::from(total));
    }

    /// Accepts or rejects an order. Loading a model empties the prefix cache.
    pub fn order(&self, order: &FencedOrder, now: Instant) -> OrderReply {
        let known = self.orders().contains(&order.id);
        let reply = self.orders().submit(order, now);
        let begins = !known && reply == OrderReply::InProgress;
        if begins && matches!(order.action, EngineAction::LoadModel { .. }) {
            self.cache().clear();
        }
        reply
    }

    /// Completed orders, oldest first.
    #[must_use]
    pub fn completed(&self, now: Instant) -> Vec<FencedOrder> {
        self.orders().completed(now)
    }

    /// Published cache events with a sequence number above `after`.
    #[must_use]
    pub fn cache_events(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        self.cache().events(after, now)
    }

    fn token_time(&self, generation: Generation, slots: &Slots) -> Duration {
        let others = slots.occupancy().running.saturating_sub(1);
        let factor = 1.0 + self.settings.batch_slope * others as f64;
        generation.per_token.mul_f64(factor)
    }

    fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().expect("cache lock poisoned")
    }

    fn orders(&self) -> MutexGuard<'_, Orders> {
        self.orders.lock().expect("orders lock poisoned")
    }
}

async fn send(tx: &mut mpsc::Sender<StreamItem>, item: StreamItem) -> Result<(), StreamClosed> {
    tx.send(item).await.map_err(|_| StreamClosed)
}
