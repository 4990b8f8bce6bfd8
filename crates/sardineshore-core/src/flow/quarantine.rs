//! Quarantine of requests that crash the servers that run them.
//!
//! Requests have [`Feature`]s: each shared part of the prompt, and the request as a whole. When a
//! server crashes, the requests that it had accepted and given no output for are suspects. A
//! feature that suspects of several crashes have in common is the cause; if several features stand
//! together in all of these crashes, only requests with all of them are refused, so that a request
//! with some of them can tell them apart. Output on a request proves that none of its features
//! crashes servers. While all of its like are refused, only a [`Trial`] can bring that output.
//!
//! ```
//! use std::time::Instant;
//! use sardineshore_core::flow::quarantine::{CrashReport, Evidence, Quarantine};
//!
//! let now = Instant::now();
//! let mut quarantine = Quarantine::default();
//! for (server, own) in [("a", 1), ("b", 2), ("c", 3)] {
//!     let report = CrashReport { server: server.into(), started_ms: 0, features: vec![own, 9] };
//!     quarantine.apply(&Evidence::Crashed(report), now);
//! }
//! assert!(quarantine.time_left(&[4, 9], now).is_some());
//! assert!(quarantine.time_left(&[1], now).is_none());
//! ```

use std::cell::OnceCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::config::Name;

mod trials;

use trials::Trials;
pub use trials::{Refusal, Trial};

/// Hash of something that a request may have in common with others.
pub type Feature = u64;

/// Suspects of one crash that are kept; further ones hardly add to the evidence.
const MAX_SUSPECTS_PER_CRASH: usize = 32;
/// Time for which an output is remembered; longer than requests wait for their output.
const OUTPUT_RETENTION: Duration = Duration::from_secs(30);
/// Time in which crashes that have one cause other than a request are learned of.
const TOGETHER: Duration = Duration::from_millis(500);
/// How often outputs that are no longer remembered are removed.
const OUTPUT_CLEANUP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of times that the duration of a quarantine doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Settings of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Crashes with a feature in common after which requests with it are refused.
    pub min_crashes: usize,
    /// Duration of the quarantine after `min_crashes`; doubles with each further crash.
    pub base_duration: Duration,
    /// Age at which a crash no longer counts.
    pub retention: Duration,
    /// Maximum number of crashes that are kept; the oldest are removed first.
    pub max_crashes: usize,
    /// Time after the newest crash of a cause at which a request may be sent as a trial, if most of
    /// its servers crashed together.
    pub trial_delay: Duration,
    /// Factor by which that time grows with each trial that brings no output, and if the servers
    /// crashed one after the other.
    pub trial_delay_factor: u32,
    /// Trials in `base_duration`, of all causes, that may have run without output.
    pub max_open_trials: usize,
    /// The same with those that servers turned away.
    pub max_trial_sends: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            base_duration: Duration::from_secs(10 * 60),
            retention: Duration::from_secs(24 * 60 * 60),
            max_crashes: 512,
            trial_delay: Duration::from_secs(2),
            trial_delay_factor: 30,
            max_open_trials: 2,
            max_trial_sends: 3,
        }
    }
}

/// A request for which a server had given no output when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Id of the server.
    pub server: Name,
    /// Start time of the server's process, which tells its incarnations apart.
    pub started_ms: u64,
    /// Features of the request.
    pub features: Vec<Feature>,
}

/// What instances tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// A server crashed.
    Crashed(CrashReport),
    /// Requests with this feature got output.
    Sound(Feature),
    /// A request is sent although its like are quarantined.
    Trial(Trial),
}

/// Features that are held responsible for crashes: requests that have all of them are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cause {
    /// The features; more than one if the crashes don't tell them apart.
    pub features: Vec<Feature>,
    /// Number of crashes.
    pub crashes: usize,
    /// When this instance learned of the newest crash.
    pub last_crash_at: Instant,
    /// Whether most of the servers crashed together. A request that crashes servers can do so only one
    /// after the other, as it is sent to them.
    pub is_together: bool,
    /// End of the quarantine.
    pub until: Instant,
}

/// A crash of a server, with the features of each of its suspects.
#[derive(Debug)]
struct Crash {
    server: Name,
    started_ms: u64,
    /// Position among all crashes that this instance learned of.
    sequence: u64,
    learned_at: Instant,
    /// Whether it crashed at about that time, not before this instance started.
    is_timed: bool,
    suspects: Vec<Vec<Feature>>,
    /// Features of all suspects.
    features: HashSet<Feature>,
}

/// For each feature, the sequence of the crash before which none counts against it.
type Clearances = HashMap<Feature, u64>;

/// Evidence about crashes, and the causes that follow from it.
#[derive(Debug, Default)]
pub struct Quarantine {
    config: QuarantineConfig,
    crashes: VecDeque<Crash>,
    trials: Trials,
    next_sequence: u64,
    /// Clearances that all instances know.
    shared: Clearances,
    /// These and the ones from outputs that this instance has seen.
    local: Clearances,
    /// When requests with a feature last got output here.
    outputs: HashMap<Feature, Instant>,
    outputs_cleaned_at: Option<Instant>,
    /// What follows from the evidence; computed when it is needed.
    analysis: OnceCell<Analysis>,
    /// Causes according to the shared clearances alone.
    shared_causes: OnceCell<Vec<Cause>>,
}

/// What follows from the evidence.
#[derive(Debug)]
struct Analysis {
    /// Number of crashes that count against each feature.
    counts: HashMap<Feature, usize>,
    causes: Vec<Cause>,
}

impl Quarantine {
    /// Creates a quarantine without evidence.
    #[must_use]
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Causes of the known crashes; they may be outdated, see [`Cause::until`].
    #[must_use]
    pub fn causes(&self) -> &[Cause] {
        &self.analysis().causes
    }

    fn analysis(&self) -> &Analysis {
        self.analysis.get_or_init(|| Analysis {
            counts: count_features(self.crashes.iter(), &self.local),
            causes: find_causes(&self.crashes, &self.local, &self.config),
        })
    }

    /// How long requests with these features are still refused; `None` if they are not.
    #[must_use]
    pub fn time_left(&self, features: &[Feature], now: Instant) -> Option<Duration> {
        let causes = self.applying_causes(features, now);
        let until = causes.map(|c| c.until).max()?;
        Some(until.duration_since(now))
    }

    /// Causes for which requests with these features are refused.
    fn applying_causes<'a>(
        &'a self,
        features: &'a [Feature],
        now: Instant,
    ) -> impl Iterator<Item = &'a Cause> {
        self.causes().iter().filter(move |cause| {
            now < cause.until && cause.features.iter().all(|f| features.contains(f))
        })
    }

    /// Whether one more crash may put requests with these features under quarantine. `unconfirmed`
    /// returns the number of servers that may have crashed with a feature.
    #[must_use]
    pub fn is_suspect(&self, features: &[Feature], unconfirmed: impl Fn(Feature) -> usize) -> bool {
        let threshold = self.config.min_crashes.saturating_sub(1);
        let counts = &self.analysis().counts;
        let count = |f| counts.get(&f).copied().unwrap_or_default() + unconfirmed(f);
        features.iter().any(|f| count(*f) >= threshold)
    }

    /// Features of a request that may have crashed its server: those without output here since
    /// the request was sent.
    #[must_use]
    pub fn suspect_features(&self, features: &[Feature], sent_at: Instant) -> Vec<Feature> {
        let is_sound = |f: &Feature| self.outputs.get(f).is_some_and(|at| *at >= sent_at);
        features.iter().copied().filter(|f| !is_sound(f)).collect()
    }

    /// Records that a request with these features got output.
    pub fn record_output(&mut self, features: &[Feature], now: Instant) {
        let cleaned_at = *self.outputs_cleaned_at.get_or_insert(now);
        if now.duration_since(cleaned_at) >= OUTPUT_CLEANUP_INTERVAL {
            self.outputs_cleaned_at = Some(now);
            self.outputs
                .retain(|_, at| now.duration_since(*at) < OUTPUT_RETENTION);
        }
        self.outputs.extend(features.iter().map(|f| (*f, now)));
        let counts = &self.analysis().counts;
        let refuted: Vec<Feature> = (features.iter().copied())
            .filter(|f| counts.contains_key(f))
            .collect();
        if !refuted.is_empty() {
            let sequence = self.next_sequence;
            self.local
                .extend(refuted.into_iter().map(|f| (f, sequence)));
            self.analysis.take();
        }
    }

    /// Features that the other instances must learn to be sound: this one has seen output, and
    /// without that they would be a cause.
    #[must_use]
    pub fn unshared_sound_features(&self) -> Vec<Feature> {
        if self.local == self.shared {
            return Vec::new();
        }
        let refused = (self.shared_causes)
            .get_or_init(|| find_causes(&self.crashes, &self.shared, &self.config));
        let features = refused.iter().flat_map(|cause| &cause.features);
        features
            .copied()
            .filter(|f| self.local.get(f) > self.shared.get(f))
            .collect()
    }

    /// Adds evidence of this or another instance. Returns whether it was news.
    pub fn apply(&mut self, evidence: &Evidence, now: Instant) -> bool {
        self.add(evidence, true, now)
    }

    /// The same with evidence from before the start of this instance, of crashes at unknown times.
    pub fn apply_earlier(&mut self, evidence: &Evidence, now: Instant) -> bool {
        self.add(evidence, false, now)
    }

    fn add(&mut self, evidence: &Evidence, is_timed: bool, now: Instant) -> bool {
        let is_news = match evidence {
            Evidence::Crashed(report) => self.add_crash(report, is_timed, now),
            Evidence::Sound(feature) => {
                self.local.insert(*feature, self.next_sequence);
                let known = self.shared.insert(*feature, self.next_sequence);
                known != Some(self.next_sequence)
            }
            Evidence::Trial(trial) => self.add_trial(trial, now),
        };
        if is_news {
            self.analysis.take();
            self.shared_causes.take();
        }
        is_news
    }

    fn add_trial(&mut self, trial: &Trial, now: Instant) -> bool {
        self.trials.remove_old(self.config.retention, now);
        let is_news = self.trials.add(trial, self.next_sequence, now);
        // A later output has a higher position.
        self.next_sequence += u64::from(is_news);
        is_news
    }

    fn add_crash(&mut self, report: &CrashReport, is_timed: bool, now: Instant) -> bool {
        let known = self
            .crashes
            .iter_mut()
            .find(|c| c.server == report.server && c.started_ms == report.started_ms);
        if let Some(crash) = known {
            let is_news = crash.suspects.len() < MAX_SUSPECTS_PER_CRASH
                && !crash.suspects.contains(&report.features);
            if is_news {
                crash.features.extend(&report.features);
                crash.suspects.push(report.features.clone());
            }
            return is_news;
        }
        self.crashes.push_back(Crash {
            server: report.server.clone(),
            started_ms: report.started_ms,
            sequence: self.next_sequence,
            learned_at: now,
            is_timed,
            features: report.features.iter().copied().collect(),
            suspects: vec![report.features.clone()],
        });
        self.next_sequence += 1;
        self.remove_old(now);
        true
    }

    fn remove_old(&mut self, now: Instant) {
        let QuarantineConfig {
            retention,
            max_crashes,
            ..
        } = self.config;
        while self.crashes.front().is_some_and(|oldest| {
            self.crashes.len() > max_crashes || now.duration_since(oldest.learned_at) > retention
        }) {
            self.crashes.pop_front();
        }
        let oldest = self.crashes.front().map_or(u64::MAX, |c| c.sequence);
        for clearances in [&mut self.shared, &mut self.local] {
            clearances.retain(|_, sequence| *sequence > oldest);
        }
    }
}

impl Crash {
    /// Whether the crash counts against a feature that one of its suspects has.
    fn counts_against(&self, feature: Feature, clearances: &Clearances) -> bool {
        let cleared_from = clearances.get(&feature);
        cleared_from.is_none_or(|from| self.sequence >= *from)
    }

    /// Features of the suspects with `feature` against which the crash counts.
    fn companions(&self, feature: Feature, clearances: &Clearances) -> HashSet<Feature> {
        let suspects = self.suspects.iter();
        suspects
            .filter(|suspect| suspect.contains(&feature))
            .flatten()
            .copied()
            .filter(|f| self.counts_against(*f, clearances))
            .collect()
    }
}

/// Number of crashes that count against each feature.
fn count_features<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    clearances: &Clearances,
) -> HashMap<Feature, usize> {
    let mut counts = HashMap::new();
    for crash in crashes {
        let features = crash.features.iter().copied();
        for feature in features.filter(|f| crash.counts_against(*f, clearances)) {
            *counts.entry(feature).or_default() += 1;
        }
    }
    counts
}

/// Explains crashes by as few causes as possible: the feature of most crashes first, then that of
/// most of the remaining ones, and so on.
fn find_causes(
    crashes: &VecDeque<Crash>,
    clearances: &Clearances,
    config: &QuarantineConfig,
) -> Vec<Cause> {
    let mut causes = Vec::new();
    let mut remaining: Vec<&Crash> = crashes.iter().collect();
    loop {
        let counts = count_features(remaining.iter().copied(), clearances);
        let most_frequent = counts.into_iter().max_by_key(|(f, count)| (*count, *f));
        let Some((feature, count)) = most_frequent.filter(|(_, n)| *n >= config.min_crashes) else {
            return causes;
        };
        let (explained, others): (Vec<&Crash>, Vec<&Crash>) =
            remaining.into_iter().partition(|crash| {
                crash.features.contains(&feature) && crash.counts_against(feature, clearances)
            });
        remaining = others;
        let common = explained
            .iter()
            .map(|crash| crash.companions(feature, clearances))
            .reduce(|common, features| &common & &features)
            .unwrap_or_default();
        let mut common: Vec<Feature> = common.into_iter().collect();
        common.sort_unstable();
        let doublings = u32::try_from(count - config.min_crashes).unwrap_or(MAX_DOUBLINGS);
        let duration = config.base_duration * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        let learned_at = explained.iter().map(|crash| crash.learned_at).max();
        causes.extend(learned_at.map(|at| Cause {
            features: common,
            crashes: count,
            last_crash_at: at,
            is_together: are_together(&explained, config.min_crashes),
            until: at + duration,
        }));
    }
}

/// Whether most of these crashes, and at least `min_crashes`, happened together.
fn are_together(crashes: &[&Crash], min_crashes: usize) -> bool {
    let most = min_crashes.max(crashes.len() / 2 + 1);
    let timed = crashes.iter().filter(|crash| crash.is_timed);
    let mut times: Vec<Instant> = timed.map(|crash| crash.learned_at).collect();
    times.sort_unstable();
    times
        .windows(most)
        .any(|near| near[most - 1].duration_since(near[0]) <= TOGETHER)
}
