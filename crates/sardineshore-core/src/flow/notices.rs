//! What servers say about themselves in their responses, apart from the results: that they shut down,
//! or that they want no requests for a while.
//!
//! A notice holds for one run of the server's process. It outlives the server's entry in the store,
//! which may lapse and return, or not tell yet that the server leaves.
//!
//! ```
//! use std::time::Instant;
//! use sardineshore_core::flow::notices::{NoticeBoard, ServerNotice, ServerRun};
//!
//! let mut board = NoticeBoard::default();
//! let leaving = ServerNotice { leaving: true, ..ServerNotice::default() };
//! let run = ServerRun { id: "server".into(), started_ms: 7 };
//! assert!(board.record(&run, leaving, Instant::now()));
//! assert!(board.is_leaving("server", 7) && !board.is_leaving("server", 8));
//! ```

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::config::Name;

/// Time for which the notices of a server that is not listed are kept.
const RETENTION: Duration = Duration::from_secs(600);
/// Longest pause that is taken over from a server.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Parses the pause that a server asks for: a number of seconds, which may have a fraction.
#[must_use]
pub fn parse_pause(retry_after: &str) -> Option<Duration> {
    let pause = Duration::try_from_secs_f64(retry_after.trim().parse().ok()?).ok()?;
    Some(pause.min(MAX_PAUSE))
}

/// What a server says about itself in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether it shuts down and wants no further requests.
    pub leaving: bool,
    /// Time for which it wants no requests from this instance.
    pub pause: Option<Duration>,
}

/// One run of a server's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRun {
    /// Id of the server, which it may keep when it restarts.
    pub id: Name,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// Notices of one run of a server.
#[derive(Debug)]
struct Notices {
    started_ms: u64,
    leaving: bool,
    paused_until: Option<Instant>,
    recorded_at: Instant,
}

/// Notices of all servers that are still in force.
#[derive(Debug, Default)]
pub struct NoticeBoard {
    servers: HashMap<Name, Notices>,
}

impl NoticeBoard {
    /// Records a notice; those of another run of the server are forgotten. Returns whether it was news.
    pub fn record(&mut self, run: &ServerRun, notice: ServerNotice, now: Instant) -> bool {
        if notice == ServerNotice::default() {
            return false;
        }
        let known = self.servers.remove(&run.id);
        let known = known.filter(|known| known.started_ms == run.started_ms);
        let mut notices = known.unwrap_or(Notices {
            started_ms: run.started_ms,
            leaving: false,
            paused_until: None,
            recorded_at: now,
        });
        let before = (notices.leaving, notices.paused_until);
        notices.leaving |= notice.leaving;
        let paused_until = notice.pause.map(|pause| now + pause.min(MAX_PAUSE));
        // A response may overtake an earlier one with a longer pause.
        notices.paused_until = notices.paused_until.max(paused_until);
        notices.recorded_at = now;
        let changed = before != (notices.leaving, notices.paused_until);
        self.servers.insert(run.id.clone(), notices);
        changed
    }

    /// Whether a server has said that it shuts down.
    #[must_use]
    pub fn is_leaving(&self, id: &str, started_ms: u64) -> bool {
        self.notices(id, started_ms).is_some_and(|n| n.leaving)
    }

    /// When a server wants requests again; `None` if it does now.
    #[must_use]
    pub fn paused_until(&self, id: &str, started_ms: u64, now: Instant) -> Option<Instant> {
        let until = self.notices(id, started_ms)?.paused_until;
        until.filter(|until| *until > now)
    }

    /// Forgets old notices of servers that are not listed.
    pub fn forget_unlisted(&mut self, is_listed: impl Fn(&Name) -> bool, now: Instant) {
        self.servers.retain(|id, notices| {
            is_listed(id) || now.saturating_duration_since(notices.recorded_at) < RETENTION
        });
    }

    fn notices(&self, id: &str, started_ms: u64) -> Option<&Notices> {
        let notices = self.servers.get(id);
        notices.filter(|notices| notices.started_ms == started_ms)
    }
}
