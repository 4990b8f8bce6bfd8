//! Heartbeats of a link to another instance: when to send one, and when the link counts as lost.
//!
//! Only what arrives shows that the other side is there. What this side sends says nothing, as it
//! may fill buffers on the way.

use std::time::{Duration, Instant};

/// Silence after which a heartbeat is sent.
const HEARTBEAT_AFTER: Duration = Duration::from_millis(250);
/// Time within which something has to arrive after a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(550);

/// What to do about a silent link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Nothing yet.
    Wait,
    /// Send a heartbeat.
    Send,
    /// Close the link: the heartbeat was not answered.
    Close,
}

/// Silence of one link.
#[derive(Debug, Clone, Copy, Default)]
pub struct Heartbeat {
    /// Since when an answer has been waited for and nothing has arrived.
    silent_since: Option<Instant>,
    sent_at: Option<Instant>,
}

impl Heartbeat {
    /// Records that something arrived.
    pub fn record_received(&mut self) {
        *self = Self::default();
    }

    /// When to call [`Self::check`]; `None` if no answer is waited for.
    pub fn next_check(&mut self, is_waiting: bool, now: Instant) -> Option<Instant> {
        if !is_waiting {
            *self = Self::default();
            return None;
        }
        let silent_since = *self.silent_since.get_or_insert(now);
        Some(match self.sent_at {
            None => silent_since + HEARTBEAT_AFTER,
            Some(at) => at + RESPONSE_TIMEOUT,
        })
    }

    /// Decides what to do at a time. Call it only after reading all that has arrived.
    pub fn check(&mut self, now: Instant) -> HeartbeatAction {
        match (self.silent_since, self.sent_at) {
            (_, Some(at)) if now >= at + RESPONSE_TIMEOUT => HeartbeatAction::Close,
            (Some(since), None) if now >= since + HEARTBEAT_AFTER => {
                self.sent_at = Some(now);
                HeartbeatAction::Send
            }
            _ => HeartbeatAction::Wait,
        }
    }
}
