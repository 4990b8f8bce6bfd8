//! Events of routing, limits and retries: numbers from 4000.

use super::EventKind;

/// A backend server was ejected.
pub const SERVER_EJECTED: EventKind = EventKind {
    number: 4001,
    name: "server-ejected",
    meaning: "A backend server failed repeatedly and receives no new work for a limited time.",
    action: "Look at the server's own log; drain it if it keeps being ejected.",
};

/// An ejected backend server receives work again.
pub const SERVER_RETURNED: EventKind = EventKind {
    number: 4002,
    name: "server-returned",
    meaning: "An ejection ended and the backend server was sent an attempt again.",
    action: "None; its share grows over ten seconds.",
};

/// A backend server should have been ejected but was not.
pub const EJECTION_WITHHELD: EventKind = EventKind {
    number: 4003,
    name: "ejection-withheld",
    meaning: "A failing backend server was not ejected because too few of its pool would have \
              remained.",
    action: "Treat the pool as failing: look for a common cause, or add backend servers.",
};

/// A backend server was restarted.
pub const SERVER_RESTARTED: EventKind = EventKind {
    number: 4004,
    name: "server-restarted",
    meaning: "A load report carried a new incarnation; observations from before the restart are \
              discarded.",
    action: "None if the restart was planned; otherwise look for a crash.",
};

/// A backend server said that it shuts down.
pub const SERVER_LEAVING: EventKind = EventKind {
    number: 4005,
    name: "server-leaving",
    meaning: "A backend server said in a load report that it shuts down; it receives no new work \
              until it is restarted.",
    action: "None if the shutdown was planned.",
};

/// A backend server asked for a pause.
pub const SERVER_PAUSED: EventKind = EventKind {
    number: 4006,
    name: "server-paused",
    meaning: "A backend server turned an attempt away and named a time for which it wants no \
              others.",
    action: "Add backend servers to the pool if this lasts.",
};

/// A backend server was selected.
pub const SERVER_CHOSEN: EventKind = EventKind {
    number: 4010,
    name: "server-chosen",
    meaning: "A backend server was selected for an attempt.",
    action: "None.",
};

/// A stage waits because every backend server is at its limit.
pub const POOL_SATURATED: EventKind = EventKind {
    number: 4011,
    name: "pool-saturated",
    meaning: "Every backend server of a pool was at its concurrency limit; the stage waits.",
    action: "Add backend servers to the pool if this lasts.",
};

/// No backend server accepts work.
pub const POOL_EMPTY: EventKind = EventKind {
    number: 4012,
    name: "pool-empty",
    meaning: "No backend server of a pool accepts new work.",
    action: "Add a backend server to the pool or resume a draining one.",
};

/// An attempt was retried.
pub const ATTEMPT_RETRIED: EventKind = EventKind {
    number: 4020,
    name: "attempt-retried",
    meaning: "An attempt failed and another one was sent.",
    action: "None; see the result of the previous attempt.",
};

/// An attempt was not retried.
pub const RETRY_WITHHELD: EventKind = EventKind {
    number: 4021,
    name: "retry-withheld",
    meaning: "An attempt failed and no further one was sent, for the reason given.",
    action: "If the budget is the reason, find the failing pool; more retries would only add load.",
};

/// A hedge was sent.
pub const HEDGE_SENT: EventKind = EventKind {
    number: 4022,
    name: "hedge-sent",
    meaning: "An idempotent attempt was slow and a second one was sent in parallel.",
    action: "None; a rising share points to a slow backend server.",
};

/// An attempt was cancelled on its backend server.
pub const ATTEMPT_CANCELLED: EventKind = EventKind {
    number: 4023,
    name: "attempt-cancelled",
    meaning: "An attempt's result was no longer needed and the backend server was told to stop it.",
    action: "None.",
};

/// A stream broke off and can't continue.
pub const STREAM_NOT_CONTINUED: EventKind = EventKind {
    number: 4024,
    name: "stream-not-continued",
    meaning: "A stream broke off, and no backend server of its pool has the software version that \
              began it; it ended as failed.",
    action: "If this happens during an update, keep servers of the old version until their streams \
             have ended. If servers report no version, update them.",
};

/// A backend server of another software version answered the continuation of a stream.
pub const VERSION_MISMATCH: EventKind = EventKind {
    number: 4025,
    name: "version-mismatch",
    meaning: "The backend server that was to continue a stream has another software version than \
              the one that began it, or names none; its answer was discarded.",
    action: "None; another server is tried.",
};

/// A request waits for admission.
pub const REQUEST_QUEUED: EventKind = EventKind {
    number: 4030,
    name: "request-queued",
    meaning: "A request is queued until its customer's share allows it to run.",
    action: "None; add capacity if attainment drops.",
};

/// A request was shed.
pub const REQUEST_SHED: EventKind = EventKind {
    number: 4031,
    name: "request-shed",
    meaning: "A request was refused as not run because a queue is full or its deadline is too \
              close.",
    action: "Add capacity, or raise the weight of the customer that must not be refused.",
};

/// A stage was not started because the remaining stages can't finish in time.
pub const DEADLINE_UNREACHABLE: EventKind = EventKind {
    number: 4032,
    name: "deadline-unreachable",
    meaning: "The remaining stages usually need more time than is left before the deadline.",
    action: "Raise the pipeline's deadline or find the stage that became slow.",
};

/// All events of this module.
pub const ALL: &[EventKind] = &[
    SERVER_EJECTED,
    SERVER_RETURNED,
    EJECTION_WITHHELD,
    SERVER_RESTARTED,
    SERVER_LEAVING,
    SERVER_PAUSED,
    SERVER_CHOSEN,
    POOL_SATURATED,
    POOL_EMPTY,
    ATTEMPT_RETRIED,
    RETRY_WITHHELD,
    HEDGE_SENT,
    ATTEMPT_CANCELLED,
    STREAM_NOT_CONTINUED,
    VERSION_MISMATCH,
    REQUEST_QUEUED,
    REQUEST_SHED,
    DEADLINE_UNREACHABLE,
];
