//! Streamed responses of a model engine, as server-sent events.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::channel::mpsc;
use futures::future::{Either, select};
use futures::{StreamExt, TryStreamExt, pin_mut};
use http_types::{Body, Response};
use sardineshore_wire::audit_log::ExecutionEvent;
use sardineshore_wire::backend::StreamItem;

use super::FakeServer;
use super::attempt::Attempt;
use super::cancel::Registration;
use super::engine::{Engine, Generation, StreamClosed, StreamFaults};
use super::response::AttemptResponse;
use super::slots::Slot;
use crate::serve::HandlerOutcome;

/// Stream items buffered between the generation and a slow client.
const BUFFERED_ITEMS: usize = 16;

/// A streamed attempt that has begun, with the resources that it holds until it ends.
#[derive(Debug)]
pub(super) struct StreamedAttempt {
    /// The attempt to generate.
    pub attempt: Attempt,
    /// Slot that the attempt occupies.
    pub slot: Slot,
    /// Registration through which the attempt can be cancelled.
    pub registration: Registration,
    /// Planned times and tokens.
    pub generation: Generation,
}

impl FakeServer {
    /// Responds with a stream that a task generates until it ends or the client disconnects.
    pub(super) async fn respond_with_stream(
        self: Arc<Self>,
        streamed: StreamedAttempt,
    ) -> HandlerOutcome {
        let response = AttemptResponse::ran(&streamed.attempt, Vec::new());
        let earlier = self.delay_response(&response).await;
        let wrong = self.fault_rng.random_bool(self.faults().wrong_attempt);
        let shown = earlier.filter(|_| wrong).unwrap_or(response);
        let shown = shown.service_time(
            streamed.generation.prefill,
            streamed.generation.cached_tokens,
        );
        let mut res = shown.head(self.load_report());
        let (tx, rx) = mpsc::channel(BUFFERED_ITEMS);
        task::spawn(self.generate_stream(streamed, tx));
        set_event_body(&mut res, rx);
        res.into()
    }

    async fn generate_stream(
        self: Arc<Self>,
        mut streamed: StreamedAttempt,
        mut tx: mpsc::Sender<StreamItem>,
    ) {
        let Some(engine) = &self.engine else { return };
        let ended = self
            .generate_until_cancelled(engine, &mut streamed, &mut tx)
            .await;
        let event = match ended {
            Ok(()) => ExecutionEvent::Finished,
            Err(StreamClosed) => ExecutionEvent::Cancelled,
        };
        self.log.write(event, &streamed.attempt);
        drop(streamed.slot);
    }

    async fn generate_until_cancelled(
        &self,
        engine: &Engine,
        streamed: &mut StreamedAttempt,
        tx: &mut mpsc::Sender<StreamItem>,
    ) -> Result<(), StreamClosed> {
        let faults = self.stream_faults();
        let tag = streamed.attempt.tag.clone();
        let stream = engine.stream(streamed.generation, &tag, faults, &self.slots, tx);
        let cancelled = streamed.registration.cancelled();
        pin_mut!(stream, cancelled);
        match select(stream, cancelled).await {
            Either::Left((ended, _)) => ended,
            Either::Right(((), _)) => Err(StreamClosed),
        }
    }

    fn stream_faults(&self) -> StreamFaults {
        let faults = self.faults().clone();
        StreamFaults {
            truncate: self.fault_rng.random_bool(faults.truncate)
                || self.fault_rng.random_bool(faults.fail),
            repeat: self.fault_rng.random_bool(faults.repeat_answer),
            pause: Duration::from_millis(faults.stream_pause_ms),
        }
    }
}

fn set_event_body(res: &mut Response, rx: mpsc::Receiver<StreamItem>) {
    let events = rx.map(|item| io::Result::Ok(event(&item)));
    res.set_body(Body::from_reader(events.into_async_read(), None));
    res.insert_header("content-type", "text/event-stream");
}

fn event(item: &StreamItem) -> String {
    let data = serde_json::to_string(item).expect("a stream item serializes");
    format!("data: {data}\n\n")
}
