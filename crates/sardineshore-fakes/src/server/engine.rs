//! What a model engine adds: batched generation, a prefix cache, orders.
//!
//! Generation is deterministic: token `N` of an input follows from the input's tag alone
//! ([`tokens`]), so a stream that is resumed on another engine can be compared with the whole.

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
use crate::dice::Dice;

/// Share of the service time that goes into reading an uncached prompt.
const PREFILL_SHARE: f64 = 0.4;
/// Share of the prefill that a cached prefix saves.
const CACHE_SAVING: f64 = 0.9;
/// Tokens of a whole answer that are generated between two looks at the batch.
const TOKENS_PER_STEP: u64 = 4;

/// Settings of a model engine beside those of every server.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Prefix cache and its events.
    pub cache: CacheSettings,
    /// Growth of the time per token with each further attempt in the batch.
    pub batch_slope: f64,
    /// Time that an order takes.
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

/// The engine's part of a server.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    cache: Mutex<PrefixCache>,
    orders: Mutex<Orders>,
}

/// Times and tokens of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Generation {
    /// Time until the first token.
    pub prefill: Duration,
    /// Time of one token in a batch of one.
    pub per_token: Duration,
    /// First token to send.
    pub first: u64,
    /// Tokens of the whole answer.
    pub total: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

/// Faults of one stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// Ends the stream without its last half and without its end.
    pub truncate: bool,
    /// Sends one token twice.
    pub repeat: bool,
}

/// The reader of a stream has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderGone;

impl Engine {
    /// Starts an engine with an empty cache.
    #[must_use]
    pub fn new(settings: EngineSettings, fencing: bool) -> Self {
        Self {
            cache: Mutex::new(PrefixCache::new(settings.cache.clone())),
            orders: Mutex::new(Orders::new(fencing, settings.order_time)),
            settings,
        }
    }

    /// Looks the prompt up in the cache and plans a generation.
    pub fn plan(&self, attempt: &Attempt, time: Duration, dice: &Dice, now: Instant) -> Generation {
        let prefix = cache::prefix(attempt.input_text("prompt"));
        let cached_tokens = self.cache().touch(prefix, dice, now);
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

    /// Generates a whole answer.
    pub async fn generate(&self, generation: Generation, slots: &Slots) {
        task::sleep(generation.prefill).await;
        let mut done = generation.first;
        while done < generation.total {
            let step = TOKENS_PER_STEP.min(generation.total - done);
            let time = self.token_time(generation, slots);
            task::sleep(time.mul_f64(step as f64)).await;
            done += step;
        }
    }

    /// Generates a streamed answer.
    pub async fn stream(
        &self,
        generation: Generation,
        tag: &str,
        faults: StreamFaults,
        slots: &Slots,
        tx: &mut mpsc::Sender<StreamItem>,
    ) -> Result<(), ReaderGone> {
        task::sleep(generation.prefill).await;
        let middle = generation.first.midpoint(generation.total);
        for seq in generation.first..generation.total {
            if faults.truncate && seq == middle {
                return Ok(());
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
    pub fn complete(&self, attempt: &Attempt, output: &mut Map<String, Value>) {
        let total = tokens::total(&attempt.input);
        let text: String = (0..total)
            .map(|seq| tokens::token(&attempt.tag, seq).to_string())
            .collect();
        output.insert("text".into(), Value::from(text));
        output.insert("tokens".into(), Value::from(total));
    }

    /// Takes an order. Loading a model empties the prefix cache.
    pub fn order(&self, order: &FencedOrder, now: Instant) -> OrderReply {
        let known = self.orders().knows(&order.id);
        let reply = self.orders().submit(order, now);
        let begins = !known && reply == OrderReply::InProgress;
        if begins && matches!(order.action, EngineAction::LoadModel { .. }) {
            self.cache().clear();
        }
        reply
    }

    /// Orders carried out so far, in order.
    #[must_use]
    pub fn carried_out(&self, now: Instant) -> Vec<FencedOrder> {
        self.orders().carried_out(now)
    }

    /// Cache events after a number, as far as they are published.
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

async fn send(tx: &mut mpsc::Sender<StreamItem>, item: StreamItem) -> Result<(), ReaderGone> {
    tx.send(item).await.map_err(|_| ReaderGone)
}
