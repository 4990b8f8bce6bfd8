//! One logical request: sends it, verifies the answer, and retries after an uncertain outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardineshore_core::clock::{Clock, unix_ms};
use sardineshore_wire::audit_log::CallRecord;
use serde::Serialize;
use uuid::{Builder, Uuid};

use crate::balancer::Balancer;
use crate::schedule::Arrival;
use crate::sender::{SendOutcome, SendRequest};
use crate::verify::{Verification, verify};
use crate::workload::{PipelineLoad, Workload};

/// Delay before the first retry; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How callers behave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// Largest number of retries of a request after an uncertain outcome.
    pub max_retries: u32,
    /// How long a caller waits for a reply after the deadline.
    pub grace: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            max_retries: 3,
            grace: Duration::from_secs(2),
        }
    }
}

/// Body of a request, sent as JSON.
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
    /// Pipelines and customers that the requests are for.
    pub workload: Workload,
    /// Chooses the entry instance of each send.
    pub balancer: Balancer,
    /// How callers behave.
    pub settings: CallerSettings,
    /// Clock for idempotency keys and for the times in the call log.
    pub clock: Arc<dyn Clock>,
}

impl Callers {
    /// Sends one logical request that was due at `due`. Retries until its outcome is certain or no
    /// retries are left, if it is not idempotent or crashes servers.
    pub async fn call(&self, arrival: &Arrival, due: Instant) -> CallRecord {
        let pipeline = &self.workload.pipelines[arrival.pipeline];
        let due_ms = self.unix_ms_of(due);
        let mut send = self.first_send(arrival, pipeline, due);
        let may_retry = !pipeline.is_idempotent() || arrival.poison;
        let max_retries = if may_retry {
            self.settings.max_retries
        } else {
            0
        };
        let mut outcome = self.balancer.send(&send).await;
        let mut sends = 1;
        let mut delay = FIRST_RETRY_DELAY;
        while is_uncertain(&outcome) && sends <= max_retries {
            async_std::task::sleep(delay).await;
            delay *= 2;
            send.deadline = pipeline.deadline();
            send.timeout = pipeline.deadline() + self.settings.grace;
            outcome = merge(outcome, self.balancer.send(&send).await);
            sends += 1;
        }
        let latency = self.clock.now().saturating_duration_since(due);
        let verification = verify_outcome(&outcome, pipeline);
        CallRecord {
            due_ms,
            latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
            customer: send.customer,
            pipeline: send.pipeline,
            entry: outcome.entry,
            request: outcome.request,
            tag: arrival.tag.clone(),
            key: send.key,
            in_time: verification.complete && latency <= pipeline.deadline(),
            outcome: outcome.outcome,
            reason: outcome.reason,
            answer_tag: verification.tag,
            whole: verification.complete,
            sends,
        }
    }

    /// The first send of a request, whose deadline counts from when the request was due.
    fn first_send(&self, arrival: &Arrival, pipeline: &PipelineLoad, due: Instant) -> SendRequest {
        let lag = self.clock.now().saturating_duration_since(due);
        let remaining = pipeline.deadline().saturating_sub(lag);
        let deadline = remaining.max(Duration::from_millis(1));
        let key = if pipeline.is_idempotent() {
            "".into()
        } else {
            self.new_key()
        };
        SendRequest {
            customer: self.workload.customers[arrival.customer].name.clone(),
            pipeline: pipeline.name.clone(),
            deadline,
            key,
            streamed: arrival.streamed,
            body: body(arrival, pipeline).into(),
            timeout: deadline + self.settings.grace,
        }
    }

    /// A version 7 UUID: the timestamp in it decides how long the key is kept.
    fn new_key(&self) -> Arc<str> {
        let random: [u8; 16] = rand::random();
        let tail = random.first_chunk::<10>().expect("10 of 16 bytes");
        let key: Uuid =
            Builder::from_unix_timestamp_millis(unix_ms(self.clock.wall_time()), tail).into_uuid();
        key.to_string().into()
    }

    fn unix_ms_of(&self, at: Instant) -> u64 {
        let ago = self.clock.now().saturating_duration_since(at);
        unix_ms(self.clock.wall_time() - ago)
    }
}

/// Whether the request may have run although no answer came.
fn is_uncertain(outcome: &SendOutcome) -> bool {
    matches!(&*outcome.outcome, "unknown" | "no-reply")
}

/// Combines the outcome of a retry with that of the sends before it: a retry that was not run does
/// not tell whether an earlier send ran.
fn merge(earlier: SendOutcome, retry: SendOutcome) -> SendOutcome {
    match &*retry.outcome {
        "not-run" => earlier,
        _ => retry,
    }
}

fn verify_outcome(outcome: &SendOutcome, pipeline: &PipelineLoad) -> Verification {
    let answer = outcome.answer.as_ref();
    answer.map_or_else(Verification::default, |answer| verify(answer, pipeline))
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

/// A prompt of `bytes` bytes whose first three quarters are the same for all requests with the same
/// prefix, so that servers can reuse their prefix cache.
fn prompt(prefix: u32, tag: &str, bytes: usize) -> String {
    let shared = bytes / 4 * 3;
    let word = format!("prefix {prefix} ");
    let mut prompt: String = word.chars().cycle().take(shared).collect();
    prompt.extend(format!("{tag} ").chars().cycle().take(bytes - shared));
    prompt
}
