//! The time limit of a request: what sets it, and what it means that it has passed.

use std::time::Duration;

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
