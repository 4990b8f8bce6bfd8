//! Retries, hedges, their budgets, and the split of deadlines over stages.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardineshore_core::{
    AttemptResult, DeadlineSplitter, EndedAttempt, HedgePolicy, NoRetryReason, NotRunReason,
    Objective, PoolId, RetryConfig, RetryController, RetryDecision, StageLatencies, StageQuantiles,
};

const MS: Duration = Duration::from_millis(1);
const RESULTS: [AttemptResult; 6] = [
    AttemptResult::Answered,
    AttemptResult::Refused,
    AttemptResult::Failed,
    AttemptResult::Lost,
    AttemptResult::TimedOut,
    AttemptResult::Cancelled,
];

fn ended(result: AttemptResult, idempotent: bool) -> EndedAttempt {
    EndedAttempt {
        result,
        attempts: 1,
        remaining: Duration::from_secs(5),
        idempotent,
    }
}

fn retries(objective: Objective) -> RetryController {
    RetryController::new(RetryConfig::default(), objective)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A non-idempotent stage is retried only after a refusal.
    #[test]
    fn decide_non_idempotent(picks in proptest::collection::vec(0..RESULTS.len(), 1..100)) {
        let (mut retries, pool) = (retries(Objective::Attainment), PoolId::from("orders"));
        for pick in picks {
            retries.record_first_send(&pool);
            let decision = retries.decide(&pool, ended(RESULTS[pick], false));
            if matches!(decision, RetryDecision::Retry { .. }) {
                prop_assert_eq!(RESULTS[pick], AttemptResult::Refused);
            }
        }
    }

    /// Extra work stays within its share of the first attempts' work plus the capacity of the
    /// budget.
    #[test]
    fn decide_any_mix_stays_within_budget(
        picks in proptest::collection::vec((0..3_usize, any::<bool>(), 0..4_u8), 200..2_000),
        cost_first in any::<bool>(),
    ) {
        let objective = if cost_first { Objective::Cost } else { Objective::Attainment };
        let mut retries = retries(objective);
        let pools: [(PoolId, Duration); 3] =
            [("a".into(), 10 * MS), ("b".into(), 50 * MS), ("c".into(), 400 * MS)];
        for (pool, service) in &pools {
            for _ in 0..500 {
                retries.record_service_time(pool, *service);
            }
        }
        let (mut first, mut extra) = (0.0, 0.0);
        for (at, hedge, failures) in picks {
            let (pool, service) = &pools[at];
            retries.record_first_send(pool);
            first += service.as_secs_f64();
            if hedge && retries.try_acquire_hedge(pool) {
                extra += service.as_secs_f64();
            }
            for _ in 0..failures {
                let decision = retries.decide(pool, ended(AttemptResult::Failed, true));
                if matches!(decision, RetryDecision::Retry { .. }) {
                    extra += service.as_secs_f64();
                }
            }
        }
        let share = if cost_first { 0.04 } else { 0.08 };
        let saved = RetryConfig::default().max_saved_attempts * 0.4;
        prop_assert!(extra <= share * first + saved + 1e-3, "{extra} of {first}");
    }
}

#[test]
fn decide_reasons() {
    let (mut retries, pool) = (retries(Objective::Attainment), PoolId::from("p"));
    let mut stop_reason = |attempt| match retries.decide(&pool, attempt) {
        RetryDecision::Stop(stop_reason) => Some(stop_reason),
        RetryDecision::Retry { .. } => None,
    };
    let failed = ended(AttemptResult::Failed, true);
    assert_eq!(stop_reason(failed), None);
    let answered = ended(AttemptResult::Answered, true);
    assert_eq!(stop_reason(answered), Some(NoRetryReason::NotNeeded));
    let lost = ended(AttemptResult::Lost, false);
    assert_eq!(stop_reason(lost), Some(NoRetryReason::MayHaveRun));
    assert_eq!(
        stop_reason(EndedAttempt {
            attempts: 5,
            ..failed
        }),
        Some(NoRetryReason::AttemptsExhausted)
    );
    assert_eq!(
        stop_reason(EndedAttempt {
            remaining: MS,
            ..failed
        }),
        Some(NoRetryReason::DeadlineTooClose)
    );
    let spent = (0..100).find_map(|_| stop_reason(failed));
    assert_eq!(spent, Some(NoRetryReason::BudgetExhausted));
}

#[test]
fn decide_refusals_back_off_grows() {
    let (mut retries, pool) = (retries(Objective::Attainment), PoolId::from("p"));
    let mut delays = Vec::new();
    for attempts in 1.. {
        let refused = EndedAttempt {
            attempts,
            ..ended(AttemptResult::Refused, false)
        };
        match retries.decide(&pool, refused) {
            RetryDecision::Retry { delay } => delays.push(delay),
            RetryDecision::Stop(stop_reason) => {
                assert_eq!(stop_reason, NoRetryReason::AttemptsExhausted);
                break;
            }
        }
    }
    assert_eq!(delays[0], Duration::ZERO);
    assert!(
        delays.windows(2).all(|pair| pair[0] <= pair[1]),
        "{delays:?}"
    );
}

#[test]
fn try_acquire_hedge_leaves_budget_to_retries() {
    let (mut retries, pool) = (retries(Objective::Attainment), PoolId::from("p"));
    let hedges = (0..100)
        .filter(|_| retries.try_acquire_hedge(&pool))
        .count();
    let failed = ended(AttemptResult::Failed, true);
    let retried = (0..100)
        .filter(|_| matches!(retries.decide(&pool, failed), RetryDecision::Retry { .. }))
        .count();
    assert!(hedges >= 14 && retried >= 5, "{hedges} and {retried}");
    assert!(hedges + retried <= 20, "{hedges} and {retried}");
}

#[test]
fn delay_by_objective() {
    let policy = HedgePolicy::default();
    let observed = Some(StageQuantiles {
        p50: 50 * MS,
        p95: 100 * MS,
    });
    let delay = |objective, remaining| policy.delay(observed, objective, remaining);
    assert_eq!(delay(Objective::Attainment, 3_000 * MS), Some(150 * MS));
    assert_eq!(delay(Objective::Attainment, 300 * MS), Some(100 * MS));
    assert_eq!(delay(Objective::Cost, 3_000 * MS), Some(2_800 * MS));
    assert_eq!(delay(Objective::Cost, 300 * MS), None);
    assert_eq!(delay(Objective::Attainment, 100 * MS), None);
    assert_eq!(policy.delay(None, Objective::Attainment, 3_000 * MS), None);
}

#[test]
fn split_reserves_later_medians() {
    let now = Instant::now();
    let mut latencies = StageLatencies::default();
    let pools: [PoolId; 3] = ["encode".into(), "rerank".into(), "generate".into()];
    for (pool, ms) in pools.iter().zip([20, 50, 400]) {
        for _ in 0..32 {
            latencies.record(pool, ms * MS, now);
        }
    }
    let mut splitter = DeadlineSplitter::default();
    let limit = splitter.split(3_000 * MS, &pools, &latencies, now).unwrap();
    let close = |a: Duration, b: Duration| a.abs_diff(b) <= 5 * MS;
    assert!(close(limit, 2_550 * MS), "{limit:?}");
    let last = splitter.split(500 * MS, &pools[2..], &latencies, now);
    assert_eq!(last, Ok(500 * MS));

    let refusals: Vec<_> = (0..20)
        .filter_map(|_| splitter.split(400 * MS, &pools, &latencies, now).err())
        .collect();
    assert_eq!(refusals, [NotRunReason::DeadlineUnreachable; 18]);
    let later = now + Duration::from_secs(21);
    assert_eq!(
        splitter.split(400 * MS, &pools, &latencies, later),
        Ok(400 * MS)
    );
}
