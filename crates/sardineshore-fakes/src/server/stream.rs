//! Streamed answers of a model engine, as server-sent events.

use std::io;
use std::sync::Arc;

use async_std::task;
use futures::channel::mpsc;
use futures::future::{Either, select};
use futures::{StreamExt, TryStreamExt, pin_mut};
use http_types::{Body, Response};
use sardineshore_wire::backend::StreamItem;
use sardineshore_wire::witness::ExecutionEvent;

use super::FakeServer;
use super::answer::Answer;
use super::attempt::Attempt;
use super::cancel::Registration;
use super::engine::{Engine, Generation, ReaderGone, StreamFaults};
use super::slots::Slot;
use crate::serve::Served;

/// Items between the generation and a slow reader.
const BUFFERED_ITEMS: usize = 16;

/// A streamed attempt that has begun, with all that it holds until it ends.
#[derive(Debug)]
pub(super) struct Streamed {
    /// The attempt.
    pub attempt: Attempt,
    /// Its slot.
    pub slot: Slot,
    /// Its registration for cancellation.
    pub registration: Registration,
    /// Its plan.
    pub generation: Generation,
}

impl FakeServer {
    /// Answers with a stream, which a task generates until it ends or its reader goes.
    pub(super) async fn answer_stream(self: Arc<Self>, streamed: Streamed) -> Served {
        let answer = Answer::ran(&streamed.attempt, Vec::new());
        let earlier = self.hold_back(&answer).await;
        let wrong = self.dice.roll(self.faults().wrong_attempt);
        let shown = earlier.filter(|_| wrong).unwrap_or(answer);
        let shown = shown.service(
            streamed.generation.prefill,
            streamed.generation.cached_tokens,
        );
        let mut res = shown.head(self.load_report());
        let (tx, rx) = mpsc::channel(BUFFERED_ITEMS);
        task::spawn(self.generate_stream(streamed, tx));
        set_events(&mut res, rx);
        res.into()
    }

    async fn generate_stream(
        self: Arc<Self>,
        mut streamed: Streamed,
        mut tx: mpsc::Sender<StreamItem>,
    ) {
        let Some(engine) = &self.engine else { return };
        let ended = self.generate_until(engine, &mut streamed, &mut tx).await;
        let event = match ended {
            Ok(()) => ExecutionEvent::Finished,
            Err(ReaderGone) => ExecutionEvent::Cancelled,
        };
        self.log.write(event, &streamed.attempt);
        drop(streamed.slot);
    }

    async fn generate_until(
        &self,
        engine: &Engine,
        streamed: &mut Streamed,
        tx: &mut mpsc::Sender<StreamItem>,
    ) -> Result<(), ReaderGone> {
        let faults = self.stream_faults();
        let tag = streamed.attempt.tag.clone();
        let stream = engine.stream(streamed.generation, &tag, faults, &self.slots, tx);
        let cancelled = streamed.registration.cancelled();
        pin_mut!(stream, cancelled);
        match select(stream, cancelled).await {
            Either::Left((ended, _)) => ended,
            Either::Right(((), _)) => Err(ReaderGone),
        }
    }

    fn stream_faults(&self) -> StreamFaults {
        let faults = self.faults().clone();
        StreamFaults {
            truncate: self.dice.roll(faults.truncate) || self.dice.roll(faults.fail),
            repeat: self.dice.roll(faults.repeat_answer),
        }
    }
}

fn set_events(res: &mut Response, rx: mpsc::Receiver<StreamItem>) {
    let events = rx.map(|item| io::Result::Ok(event(&item)));
    res.set_body(Body::from_reader(events.into_async_read(), None));
    res.insert_header("content-type", "text/event-stream");
}

fn event(item: &StreamItem) -> String {
    let data = serde_json::to_string(item).expect("a stream item serializes");
    format!("data: {data}\n\n")
}
