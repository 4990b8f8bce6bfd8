//! The time limit of a request: what sets it, whether the request can still end within it, and what it
//! means that it has passed.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::config::{Name, Route};

/// Number of the latest streams of a route whose durations count.
const MAX_DURATIONS: usize = 64;
/// Number of streams of a route without which nothing is known of their durations.
const MIN_DURATIONS: usize = 16;
/// Longest time for which a duration counts, so that a route whose servers were slow is tried again.
const MAX_DURATION_AGE: Duration = Duration::from_secs(30);

/// What sets the time limit of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// The time that the caller allows.
    Caller,
    /// The route's timeout.
    Route,
    /// The route's timeout, which a change of the configuration made shorter.
    ShortenedRoute,
}

impl LimitSource {
    /// Name for the log.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Route => "route",
            Self::ShortenedRoute => "shortened route",
        }
    }
}

/// Why a request that its server was running ended at its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// The server was silent for longer than a sound one is.
    Silence,
    /// The server went on, but a change of the configuration had shortened the time.
    ShortenedTimeout,
    /// The server went on, and the time was not enough.
    Deadline,
}

/// Longest time from the arrival of a request to its complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeLimit {
    /// The time.
    pub duration: Duration,
    /// What sets it.
    pub source: LimitSource,
}

impl TimeLimit {
    /// The shorter one of the route's timeout and the time that the caller allows. `is_shortened` tells
    /// whether a change of the configuration made the timeout shorter.
    #[must_use]
    pub fn new(timeout: Duration, is_shortened: bool, allowed: Option<Duration>) -> Self {
        match allowed {
            Some(duration) if duration <= timeout => Self {
                duration,
                source: LimitSource::Caller,
            },
            _ => Self {
                duration: timeout,
                source: if is_shortened {
                    LimitSource::ShortenedRoute
                } else {
                    LimitSource::Route
                },
            },
        }
    }

    /// Why a request ends at this limit whose server has been silent for `silence`, where a sound one
    /// is for up to `sound_silence`.
    #[must_use]
    pub fn expiry(self, silence: Duration, sound_silence: Duration) -> Expiry {
        match self.source {
            _ if silence > sound_silence => Expiry::Silence,
            LimitSource::ShortenedRoute => Expiry::ShortenedTimeout,
            LimitSource::Caller | LimitSource::Route => Expiry::Deadline,
        }
    }
}

/// Shortest time without an event after which callers leave a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Time without an event after which callers leave, as a multiple of the route's target latency.
const PATIENCE_PER_TARGET: u32 = 4;
/// The same as a multiple of the longest pause for a response in time.
const PATIENCE_PER_PAUSE: u32 = 8;

/// Time without an event after which callers leave a stream of the route, also before its first event;
/// `None` if the route declares no longest pause, so that this isn't known.
#[must_use]
pub fn caller_patience(route: &Route) -> Option<Duration> {
    let by_pause = route.pause_target? * PATIENCE_PER_PAUSE;
    let by_target = route.target_latency * PATIENCE_PER_TARGET;
    Some(MIN_PATIENCE.max(by_target).max(by_pause))
}

/// Time within which the first event of a stream has to be forwarded, `elapsed` after its request arrived
/// and `time_to_deadline` before its deadline: callers leave sooner than that if they get no event.
#[must_use]
pub fn time_to_first_event(
    route: &Route,
    elapsed: Duration,
    time_to_deadline: Duration,
) -> Duration {
    let patience = caller_patience(route).map(|patience| patience.saturating_sub(elapsed));
    patience.map_or(time_to_deadline, |left| left.min(time_to_deadline))
}

/// Durations of the latest complete streams of each route, from when they were sent to a server.
#[derive(Debug, Default)]
pub struct StreamDurations {
    /// Durations with the times at which the streams ended.
    by_route: HashMap<Name, VecDeque<(Instant, Duration)>>,
}

impl StreamDurations {
    /// Records a stream that one server ran from its first event to its last one.
    pub fn record(&mut self, route: &Name, duration: Duration, now: Instant) {
        let durations = self.by_route.entry(route.clone()).or_default();
        if durations.len() == MAX_DURATIONS {
            durations.pop_front();
        }
        durations.push_back((now, duration));
    }

    /// Forgets all routes but those for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| is_kept(route));
    }

    /// Whether a stream of a route that is sent now may end before its deadline, in `left`: unless all
    /// streams of late took longer. A limit that none of them would have met says that the caller or the
    /// operators expect something else now.
    #[must_use]
    pub fn can_end(&self, route: &str, limit: TimeLimit, left: Duration, now: Instant) -> bool {
        let durations = self.by_route.get(route).into_iter().flatten();
        let recent = durations.filter(|(at, _)| now.duration_since(*at) <= MAX_DURATION_AGE);
        let (count, least) = recent.fold((0, Duration::MAX), |(count, least), (_, duration)| {
            (count + 1, least.min(*duration))
        });
        count < MIN_DURATIONS || left >= least || limit.duration < least
    }
}
