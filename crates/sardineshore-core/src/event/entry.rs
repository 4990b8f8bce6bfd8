//! Events of the entry instance and its callers: numbers from 1000.

use super::EventKind;

/// The instance accepts connections.
pub const STARTED: EventKind = EventKind {
    number: 1000,
    name: "started",
    meaning: "The instance accepts connections of callers.",
    action: "None.",
};
/// A shutdown was requested.
pub const STOPPING: EventKind = EventKind {
    number: 1001,
    name: "stopping",
    meaning: "A shutdown was requested; readiness checks fail and requests in flight finish.",
    action: "None.",
};
/// The instance exits.
pub const STOPPED: EventKind = EventKind {
    number: 1002,
    name: "stopped",
    meaning: "The instance exits; the text says how many requests were still in flight.",
    action: "If any were in flight, raise the stop limit above the longest deadline.",
};
/// A connection was closed because there are too many.
pub const CONNECTIONS_FULL: EventKind = EventKind {
    number: 1003,
    name: "connections-full",
    meaning: "A caller's connection was closed because the maximum number of connections is \
              reached.",
    action: "Add instances, or raise the limit if memory allows.",
};
/// A request was admitted.
pub const ADMITTED: EventKind = EventKind {
    number: 1100,
    name: "admitted",
    meaning: "A caller's request was checked and admitted.",
    action: "None.",
};
/// A request was refused.
pub const REFUSED: EventKind = EventKind {
    number: 1101,
    name: "refused",
    meaning: "A caller's request was answered as not run, for the reason given.",
    action: "Look up the reason in the operators' page.",
};
/// A request was answered.
pub const ANSWERED: EventKind = EventKind {
    number: 1102,
    name: "answered",
    meaning: "The complete answer was sent to the caller.",
    action: "None.",
};
/// A request ended with unknown outcome.
pub const UNKNOWN: EventKind = EventKind {
    number: 1103,
    name: "unknown",
    meaning: "The caller was told that the request may have run.",
    action: "See the preceding events of the request's attempts; check the backend server that \
             they name.",
};
/// The caller disconnected.
pub const ABANDONED: EventKind = EventKind {
    number: 1104,
    name: "abandoned",
    meaning: "The caller closed its connection; idempotent work in flight was cancelled.",
    action: "None.",
};
/// An attempt was sent.
pub const SENT: EventKind = EventKind {
    number: 1200,
    name: "sent",
    meaning: "An attempt of a stage was sent to a backend server.",
    action: "None.",
};
/// An attempt ended.
pub const ATTEMPT_ENDED: EventKind = EventKind {
    number: 1201,
    name: "attempt-ended",
    meaning: "An attempt ended, with its result.",
    action: "None.",
};
/// An answer belonged to another attempt.
pub const ANSWER_MISMATCH: EventKind = EventKind {
    number: 1202,
    name: "answer-mismatch",
    meaning: "A backend server's answer named another request, stage or attempt; it was discarded.",
    action: "Drain the backend server that the text names; its software is faulty.",
};

/// All events of this module.
pub const ALL: &[EventKind] = &[
    STARTED,
    STOPPING,
    STOPPED,
    CONNECTIONS_FULL,
    ADMITTED,
    REFUSED,
    ANSWERED,
    UNKNOWN,
    ABANDONED,
    SENT,
    ATTEMPT_ENDED,
    ANSWER_MISMATCH,
];
