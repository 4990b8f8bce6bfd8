//! Estimated costs of a request at a server. Costs are durations; the constants weigh their terms.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::request::SelectionRequest;
use super::server::ServerState;
use crate::flow::config::Server;
use crate::flow::speed::{SpeedView, TOKEN_PREFILL_TIME};

/// Cost of each request that waits at the server.
const WAITING_REQUEST_COST: Duration = Duration::from_millis(40);
/// Cost of full utilization (as many running requests as slots) at a server with prompts to
/// prefill; proportional to the utilization.
const FULL_LOAD_COST: Duration = Duration::from_millis(120);
/// Cost of a utilization (running requests per slot) that is 1 above 0.9, at a server with prompts
/// to prefill; proportionally less below that and 0 up to 0.9.
const OVERLOAD_COST: Duration = Duration::from_secs(5);
/// Largest pseudo-random cost. Instances don't see each other's latest sends, so this spreads
/// requests over servers that are equal otherwise. It is less than what another failure domain
/// costs while there is room at home (`flow/zones/pool.rs`), so that it never outweighs the domain.
const SPREADING_COST: Duration = Duration::from_millis(6);
/// What is taken off the cost of a cold server in this instance's turn. Turns are rare, and cold servers
/// would get next to nothing if they were chosen in them like any other. It is a third of
/// [`SPREADING_COST`], so about two in five of the requests that find all else equal go to the cold server.
pub(super) const COLD_TURN_BENEFIT: Duration = Duration::from_millis(2);
/// Cost of each running request, this one included, at a server that has no prompts to prefill;
/// divided by the server's slots, of which at most 4 count.
const PLAIN_REQUEST_COST: Duration = Duration::from_millis(15);
/// Cost of an error rate of 1; proportional to the error rate.
const ERROR_RATE_COST: Duration = Duration::from_millis(500);
/// Cost of prefilling a token of a shared prompt part again, in addition to its prefill time.
const PREFIX_MISS_COST: Duration = Duration::from_micros(60);
/// Uncached tokens from which on a prompt is long: about 50 ms of prefill, in which other streams of
/// the server wait.
const LONG_PROMPT_TOKENS: u32 = 2000;
/// Slowness of this moment from which on a server gets no long prompt while others can take it.
const SLOW_MOMENT: f64 = 1.5;
/// Cost of a long prompt at such a server.
const SLOW_MOMENT_COST: Duration = Duration::from_millis(200);
/// Cost of a megabyte (10^6 bytes) of inputs from another failure domain.
const CROSS_DOMAIN_MB_COST: Duration = Duration::from_millis(25);

/// What a server costs due to its failure domain.
#[derive(Debug, Clone, Copy)]
pub(super) struct Crossing {
    /// Cost of the domain itself, in seconds.
    pub domain: f64,
    /// Time that is worth the price of inputs from other domains, in seconds.
    pub input_price: f64,
}

/// Time to transfer inputs of a request from another failure domain.
#[must_use]
pub fn input_transfer_cost(bytes: u64) -> Duration {
    let seconds = CROSS_DOMAIN_MB_COST.as_secs_f64() * bytes as f64 / 1e6;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Cost of prefilling shared tokens again that are cached elsewhere.
pub(super) fn prompt_miss_cost(tokens: u32) -> Duration {
    (TOKEN_PREFILL_TIME + PREFIX_MISS_COST).saturating_mul(tokens)
}

/// Cost of a request at a server, in seconds; `uncached_tokens` are those of the request's prompt that
/// the server would prefill, `speed` is the server's.
pub(super) fn total_cost(
    state: &ServerState,
    request: &SelectionRequest,
    crossing: Crossing,
    uncached_tokens: u32,
    speed: &SpeedView,
    now: Instant,
) -> f64 {
    let missed_tokens = uncached_tokens - request.own_tokens().min(uncached_tokens);
    let cross_domain_bytes = state.cross_domain_bytes(request);
    let request_cost = PREFIX_MISS_COST.as_secs_f64() * f64::from(missed_tokens)
        + CROSS_DOMAIN_MB_COST.as_secs_f64() * cross_domain_bytes as f64 / 1e6
        + crossing.input_price
        + version_cost(request, &state.server).as_secs_f64()
        + SPREADING_COST.as_secs_f64() * spreading(state, request, speed);
    // With the lasting speed as a cost, all instances would send to the fastest servers at once: nine in
    // ten requests without a shared prompt part, and more of them late than without it. So it counts
    // only where a server's load is known or a part is cached; else spreading alone follows it.
    let has_cached_part = missed_tokens < request.shared_tokens();
    let is_lasting_known = has_cached_part || state.fresh_report(now).is_some();
    let lasting = if is_lasting_known { speed.lasting } else { 1.0 };
    server_cost(state, crossing, uncached_tokens, lasting, speed, now) + request_cost
}

/// Cost of a request at a server due to load, distance and health; `uncached_tokens` are those
/// of the request itself, `lasting` the lasting slowness that counts.
fn server_cost(
    state: &ServerState,
    crossing: Crossing,
    uncached_tokens: u32,
    lasting: f64,
    speed: &SpeedView,
    now: Instant,
) -> f64 {
    let has_prefill = uncached_tokens > 0 || state.prefill_tokens > 0;
    let report = state.fresh_report(now);
    let waiting = report.map_or(0, |r| r.waiting);
    let running = report.map_or(0, |r| r.running).max(state.in_flight);
    let tokens = state.prefill_tokens + u64::from(uncached_tokens);
    let mut cost = speed.token_time * tokens as f64;
    cost += WAITING_REQUEST_COST.as_secs_f64() * f64::from(waiting);
    let slots = f64::from(state.server.slots.max(1));
    if has_prefill {
        cost += FULL_LOAD_COST.as_secs_f64() * f64::from(running) / slots;
        cost += OVERLOAD_COST.as_secs_f64() * (f64::from(running) / slots - 0.9).max(0.0);
    } else {
        cost += PLAIN_REQUEST_COST.as_secs_f64() * (f64::from(running) + 1.0) / slots.min(4.0);
    }
    let is_long = uncached_tokens >= LONG_PROMPT_TOKENS;
    if speed.is_uneven && is_long {
        // A long prompt competes with the running streams, and holds them up.
        cost += speed.token_time * f64::from(uncached_tokens) * f64::from(running) / slots;
    }
    cost *= lasting * speed.momentary;
    if is_long && speed.momentary >= SLOW_MOMENT {
        cost += SLOW_MOMENT_COST.as_secs_f64();
    }
    cost += crossing.domain;
    cost * state.health.slowdown() + ERROR_RATE_COST.as_secs_f64() * state.health.error_rate(now)
}

/// Cost of a server whose version is not the favored one.
fn version_cost(request: &SelectionRequest, server: &Server) -> Duration {
    match &request.favored_version {
        Some((version, cost)) if server.version.as_ref() != Some(version) => *cost,
        _ => Duration::ZERO,
    }
}

/// Pseudo-random number from 0 to 1 that is lowest at each of several servers with a probability in
/// proportion to its speed.
fn spreading(state: &ServerState, request: &SelectionRequest, speed: &SpeedView) -> f64 {
    let uniform = uniform_hash(&state.server.id, request.seed);
    if (speed.lasting - 1.0).abs() < f64::EPSILON {
        return uniform;
    }
    // The lowest of n uniform numbers exceeds x with probability (1 - x)^n; n is the speed here.
    1.0 - (1.0 - uniform).powf(speed.lasting)
}

/// Pseudo-random number from 0 to 1 that depends only on name and seed.
pub(super) fn uniform_hash(name: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(name.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}
