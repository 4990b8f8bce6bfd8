//! Trials: single requests that are sent although their like are quarantined.
//!
//! Crashes that have another cause, such as a loss of power, put what their suspects have in common
//! under quarantine. As long as all requests with it are refused, no output can refute that. A trial
//! gives one request the chance. The number of trials that bring no output is bounded, as each of
//! them may crash a server.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{Cause, Clearances, Feature, MAX_DOUBLINGS, Quarantine, QuarantineConfig};

/// Maximum number of trials that are remembered; the oldest are removed first.
const MAX_TRIALS: usize = 64;
/// Maximum number of times that the delay before a trial is multiplied.
const MAX_DELAY_FACTORS: u32 = 3;
/// Time in which a trial is expected to bring output.
const TRIAL_DURATION: Duration = Duration::from_secs(1);

/// A request that is sent although its like are quarantined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Tells trials apart.
    pub id: u64,
    /// Features of the request.
    pub features: Vec<Feature>,
    /// Those for which it would be refused.
    pub tested: Vec<Feature>,
    /// Whether no server ran it, so that it has no result.
    pub not_run: bool,
}

/// Why a request is refused, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time until the quarantine ends or the result of a trial is likely.
    pub retry_after: Duration,
    /// Whether the request may be sent as a trial.
    pub trial_due: bool,
}

/// A trial that this instance learned of.
#[derive(Debug)]
struct KnownTrial {
    trial: Trial,
    /// Position among the crashes that this instance learned of.
    sequence: u64,
    learned_at: Instant,
}

impl KnownTrial {
    /// Whether the features that it tested were seen to be sound since.
    fn has_passed(&self, clearances: &Clearances) -> bool {
        let is_cleared = |f| clearances.get(f).is_some_and(|from| *from > self.sequence);
        self.trial.tested.iter().all(is_cleared)
    }
}

/// Trials of this and other instances.
#[derive(Debug, Default)]
pub(super) struct Trials(VecDeque<KnownTrial>);

impl Trials {
    /// Adds a trial, or that it was not run; returns whether it was news.
    pub(super) fn add(&mut self, trial: &Trial, sequence: u64, now: Instant) -> bool {
        let same = self.0.iter_mut().find(|k| k.trial.id == trial.id);
        if let Some(known) = same {
            let is_news = trial.not_run && !known.trial.not_run;
            known.trial.not_run |= trial.not_run;
            return is_news;
        }
        if self.0.len() >= MAX_TRIALS {
            self.0.pop_front();
        }
        self.0.push_back(KnownTrial {
            trial: trial.clone(),
            sequence,
            learned_at: now,
        });
        true
    }

    /// Removes trials that no longer count.
    pub(super) fn remove_old(&mut self, retention: Duration, now: Instant) {
        self.0
            .retain(|known| now.duration_since(known.learned_at) <= retention);
    }

    /// Trials that have brought no output.
    fn open<'a>(&'a self, clearances: &'a Clearances) -> impl Iterator<Item = &'a KnownTrial> {
        (self.0.iter()).filter(|known| !known.has_passed(clearances))
    }

    /// When a trial of a cause is due by its own crashes and trials.
    fn due_at(&self, cause: &Cause, clearances: &Clearances, config: &QuarantineConfig) -> Instant {
        let has_cause = |known: &&KnownTrial| {
            let features = &known.trial.features;
            cause.features.iter().all(|f| features.contains(f))
        };
        let first = (u32::from(!cause.is_together), cause.last_crash_at);
        let (count, last) =
            self.open(clearances)
                .filter(has_cause)
                .fold(first, |(count, last), known| {
                    let ran = u32::from(!known.trial.not_run);
                    (count + ran, last.max(known.learned_at))
                });
        let factor = config.trial_delay_factor.pow(count.min(MAX_DELAY_FACTORS));
        last + config.trial_delay * factor
    }

    /// When a trial is due by those of all causes: one after the other, later if servers turned trials
    /// away, and only so many without output.
    fn allowed_at(
        &self,
        clearances: &Clearances,
        config: &QuarantineConfig,
        now: Instant,
    ) -> Instant {
        let counted = |known: &&KnownTrial| known.learned_at + config.base_duration > now;
        let open: Vec<&KnownTrial> = self.open(clearances).filter(counted).collect();
        let (not_run, run): (Vec<&KnownTrial>, Vec<&KnownTrial>) =
            open.iter().partition(|known| known.trial.not_run);
        let result = run.last().map(|known| known.learned_at + TRIAL_DURATION);
        let delay = config.trial_delay * 2_u32.pow(saturate(not_run.len()).min(MAX_DOUBLINGS));
        let servers_free = not_run.last().map(|known| known.learned_at + delay / 2);
        [
            result,
            servers_free,
            end_of_excess(&run, config.max_open_trials, config),
            end_of_excess(&open, config.max_trial_sends, config),
        ]
        .into_iter()
        .flatten()
        .fold(now, Instant::max)
    }

    /// End of the newest trial that has only just been sent with these features.
    fn result_at(&self, tested: &[Feature], clearances: &Clearances) -> Option<Instant> {
        self.open(clearances)
            .filter(|known| tested.iter().any(|f| known.trial.tested.contains(f)))
            .map(|known| known.learned_at + TRIAL_DURATION)
            .max()
    }
}

/// When so few trials count that one more may be sent; `None` if that is so now.
fn end_of_excess(
    trials: &[&KnownTrial],
    limit: usize,
    config: &QuarantineConfig,
) -> Option<Instant> {
    let oldest = trials.get(trials.len().checked_sub(limit)?)?;
    Some(oldest.learned_at + config.base_duration)
}

fn saturate(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

impl Quarantine {
    /// Whether requests with these features are refused, and whether one of them may be sent as a
    /// trial.
    #[must_use]
    pub fn refusal(&self, features: &[Feature], now: Instant) -> Option<Refusal> {
        let left = self.time_left(features, now)?;
        let tested = self.tested_features(features, now);
        let due = self
            .applying_causes(features, now)
            .map(|cause| self.trials.due_at(cause, &self.local, &self.config))
            .max()?
            .max(self.trials.allowed_at(&self.local, &self.config, now));
        let result = self.trials.result_at(&tested, &self.local);
        let result = result.filter(|at| *at > now);
        let next = result.unwrap_or_else(|| due.max(now) + TRIAL_DURATION);
        Some(Refusal {
            retry_after: left.min(next.duration_since(now)),
            trial_due: due <= now,
        })
    }

    /// Trial of a request with these features, if it is due.
    #[must_use]
    pub fn due_trial(&self, id: u64, features: &[Feature], now: Instant) -> Option<Trial> {
        let refusal = self.refusal(features, now)?;
        refusal.trial_due.then(|| Trial {
            id,
            features: features.to_vec(),
            tested: self.tested_features(features, now),
            not_run: false,
        })
    }

    /// The trial with this id.
    #[must_use]
    pub fn trial(&self, id: u64) -> Option<&Trial> {
        let mut trials = self.trials.0.iter().map(|known| &known.trial);
        trials.find(|trial| trial.id == id)
    }

    /// Trials that have brought no output.
    #[must_use]
    pub fn open_trials(&self) -> Vec<Trial> {
        let open = self.trials.open(&self.local);
        open.map(|known| known.trial.clone()).collect()
    }

    /// Features for which a request is refused.
    fn tested_features(&self, features: &[Feature], now: Instant) -> Vec<Feature> {
        let causes = self.applying_causes(features, now);
        let mut tested: Vec<Feature> = causes.flat_map(|c| &c.features).copied().collect();
        tested.sort_unstable();
        tested.dedup();
        tested
    }
}
