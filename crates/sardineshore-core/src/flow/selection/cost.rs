//! Estimated costs of a request at a server. Costs are durations; the constants weigh their terms.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::request::SelectionRequest;
use super::server::ServerState;
use crate::flow::config::Server;

/// Time to prefill one prompt token that isn't cached.
const TOKEN_PREFILL_TIME: Duration = Duration::from_micros(24);
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
/// Cost of each running request, this one included, at a server that has no prompts to prefill;
/// divided by the server's slots, of which at most 4 count.
const PLAIN_REQUEST_COST: Duration = Duration::from_millis(15);
/// Cost of an error rate of 1; proportional to the error rate.
const ERROR_RATE_COST: Duration = Duration::from_millis(500);
/// Cost of prefilling a token of a shared prompt part again, in addition to [`TOKEN_PREFILL_TIME`].
const PREFIX_MISS_COST: Duration = Duration::from_micros(60);
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
/// the server would prefill.
pub(super) fn total_cost(
    state: &ServerState,
    request: &SelectionRequest,
    crossing: Crossing,
    uncached_tokens: u32,
    now: Instant,
) -> f64 {
    let missed_tokens = uncached_tokens - request.own_tokens().min(uncached_tokens);
    let cross_domain_bytes = state.cross_domain_bytes(request);
    let request_cost = PREFIX_MISS_COST.as_secs_f64() * f64::from(missed_tokens)
        + CROSS_DOMAIN_MB_COST.as_secs_f64() * cross_domain_bytes as f64 / 1e6
        + crossing.input_price
        + version_cost(request, &state.server).as_secs_f64()
        + SPREADING_COST.as_secs_f64() * uniform_hash(&state.server.id, request.seed);
    server_cost(state, crossing, uncached_tokens, now) + request_cost
}

/// Cost of a request at a server due to load, distance and health; `uncached_tokens` are those
/// of the request itself.
fn server_cost(state: &ServerState, crossing: Crossing, uncached_tokens: u32, now: Instant) -> f64 {
    let has_prefill = uncached_tokens > 0 || state.prefill_tokens > 0;
    let report = state.fresh_report(now);
    let waiting = report.map_or(0, |r| r.waiting);
    let running = report.map_or(0, |r| r.running).max(state.in_flight);
    let tokens = state.prefill_tokens + u64::from(uncached_tokens);
    let mut cost = TOKEN_PREFILL_TIME.as_secs_f64() * tokens as f64;
    cost += WAITING_REQUEST_COST.as_secs_f64() * f64::from(waiting);
    let slots = f64::from(state.server.slots.max(1));
    if has_prefill {
        cost += FULL_LOAD_COST.as_secs_f64() * f64::from(running) / slots;
        cost += OVERLOAD_COST.as_secs_f64() * (f64::from(running) / slots - 0.9).max(0.0);
    } else {
        cost += PLAIN_REQUEST_COST.as_secs_f64() * (f64::from(running) + 1.0) / slots.min(4.0);
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

/// Pseudo-random number from 0 to 1 that depends only on name and seed.
pub(super) fn uniform_hash(name: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(name.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}
