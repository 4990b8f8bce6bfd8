//! One logical request: sent, verified and, after an outcome in doubt, repeated.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardineshore_core::clock::{Clock, unix_ms};
use sardineshore_wire::audit_log::CallRecord;
use serde::Serialize;
use uuid::{Builder, Uuid};

use crate::balancer::Balancer;
use crate::schedule::Arrival;
use crate::sender::{Send, Sent};
use crate::verify::{Verified, verify};
use crate::workload::{PipelineLoad, Workload};

/// Pause before the first repeat; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// How callers behave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// How often a request is repeated after an outcome in doubt.
    pub repeats: u32,
    /// How long a caller waits for a reply beyond the deadline.
    pub grace: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            repeats: 3,
            grace: Duration::from_secs(2),
        }
    }
}

/// The JSON document that callers send.
#[derive(Debug, Serialize)]
struct Input<'a> {
    tag: &'a str,
    prompt: &'a str,
    #[serde(skip_serializing_if = "is_zero")]
    max_tokens: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    poison: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Callers that share a balancer.
#[derive(Debug)]
pub struct Callers {
    /// What is asked.
    pub workload: Workload,
    /// Where it is sent.
    pub balancer: Balancer,
    /// How callers behave.
    pub settings: CallerSettings,
    /// Source of keys' times and of the log's times.
    pub clock: Arc<dyn Clock>,
}

impl Callers {
    /// Sends one logical request that was due at `due` until its outcome is known or the repeats
    /// are used up.
    pub async fn call(&self, arrival: &Arrival, due: Instant) -> CallRecord {
        let pipeline = &self.workload.pipelines[arrival.pipeline];
        let due_ms = self.wall_ms_of(due);
        let mut send = self.first_send(arrival, pipeline, due);
        let may_repeat = !pipeline.idempotent() || arrival.poison;
        let repeats = if may_repeat { self.settings.repeats } else { 0 };
        let mut sent = self.balancer.send(&send).await;
        let mut sends = 1;
        let mut pause = FIRST_PAUSE;
        while is_in_doubt(&sent) && sends <= repeats {
            async_std::task::sleep(pause).await;
            pause *= 2;
            send.deadline = pipeline.deadline();
            send.patience = pipeline.deadline() + self.settings.grace;
            sent = merge(sent, self.balancer.send(&send).await);
            sends += 1;
        }
        let latency = self.clock.now().saturating_duration_since(due);
        let verified = verified(&sent, pipeline);
        CallRecord {
            due_ms,
            latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
            customer: send.customer,
            pipeline: send.pipeline,
            entry: sent.entry,
            request: sent.request,
            tag: arrival.tag.clone(),
            key: send.key,
            in_time: verified.whole && latency <= pipeline.deadline(),
            outcome: sent.outcome,
            reason: sent.reason,
            answer_tag: verified.tag,
            whole: verified.whole,
            sends,
        }
    }

    fn first_send(&self, arrival: &Arrival, pipeline: &PipelineLoad, due: Instant) -> Send {
        let lag = self.clock.now().saturating_duration_since(due);
        let left = pipeline.deadline().saturating_sub(lag);
        let deadline = left.max(Duration::from_millis(1));
        let key = if pipeline.idempotent() {
            "".into()
        } else {
            self.new_key()
        };
        Send {
            customer: self.workload.customers[arrival.customer].name.clone(),
            pipeline: pipeline.name.clone(),
            deadline,
            key,
            streamed: arrival.streamed,
            body: body(arrival, pipeline).into(),
            patience: deadline + self.settings.grace,
        }
    }

    /// A version 7 UUID, whose own time decides how long the key is kept.
    fn new_key(&self) -> Arc<str> {
        let random: [u8; 16] = rand::random();
        let tail = random.first_chunk::<10>().expect("10 of 16 bytes");
        let key: Uuid =
            Builder::from_unix_timestamp_millis(unix_ms(self.clock.wall_time()), tail).into_uuid();
        key.to_string().into()
    }

    fn wall_ms_of(&self, at: Instant) -> u64 {
        let ago = self.clock.now().saturating_duration_since(at);
        unix_ms(self.clock.wall_time() - ago)
    }
}

fn is_in_doubt(sent: &Sent) -> bool {
    matches!(&*sent.outcome, "unknown" | "no-reply")
}

/// Joins the outcome of a repeat with that of the sends before it: a repeat that was not run says
/// nothing of an earlier send that may have been.
fn merge(earlier: Sent, repeat: Sent) -> Sent {
    match &*repeat.outcome {
        "not-run" => earlier,
        _ => repeat,
    }
}

fn verified(sent: &Sent, pipeline: &PipelineLoad) -> Verified {
    let answer = sent.answer.as_ref();
    answer.map_or_else(Verified::default, |answer| verify(answer, pipeline))
}

fn body(arrival: &Arrival, pipeline: &PipelineLoad) -> Vec<u8> {
    let prompt = prompt(arrival.prefix, &arrival.tag, pipeline.prompt_bytes);
    let input = Input {
        tag: &arrival.tag,
        prompt: &prompt,
        max_tokens: pipeline.max_tokens,
        poison: arrival.poison,
    };
    serde_json::to_vec(&input).expect("an input serializes")
}

/// A prompt whose first three quarters are shared by all requests of the same prefix.
fn prompt(prefix: u32, tag: &str, bytes: usize) -> String {
    let shared = bytes / 4 * 3;
    let word = format!("prefix {prefix} ");
    let mut prompt: String = word.chars().cycle().take(shared).collect();
    prompt.extend(format!("{tag} ").chars().cycle().take(bytes - shared));
    prompt
}
