//! Events of routing, limits and retries: numbers from 4000.

use super::EventKind;

/// A backend server was ejected.
pub const SERVER_EJECTED: EventKind = EventKind {
    number: 4001,
    name: "server-ejected",
    meaning: "A backend server failed repeatedly and receives no new work for a while.",
    action: "Look at the server's own log; drain it if it keeps being ejected.",
};

/// An ejected backend server receives work again.
pub const SERVER_RETURNED: EventKind = EventKind {
    number: 4002,
    name: "server-returned",
    meaning: "An ejection ended and the first attempt was sent to the backend server again.",
    action: "None; its share grows over ten seconds.",
};

/// A backend server should have been ejected but was not.
pub const EJECTION_WITHHELD: EventKind = EventKind {
    number: 4003,
    name: "ejection-withheld",
    meaning: "A failing backend server was kept because too few of its pool would have remained.",
    action: "Treat the pool as failing: look for a common cause, or add backend servers.",
};

/// A backend server was restarted.
pub const SERVER_RESTARTED: EventKind = EventKind {
    number: 4004,
    name: "server-restarted",
    meaning: "A load report carried a new incarnation; what was observed before is dropped.",
    action: "None if the restart was planned; otherwise look for a crash.",
};

/// An attempt was placed.
pub const SERVER_CHOSEN: EventKind = EventKind {
    number: 4010,
    name: "server-chosen",
    meaning: "A backend server was chosen for an attempt.",
    action: "None.",
};

/// A stage waits because every backend server is at its limit.
pub const POOL_SATURATED: EventKind = EventKind {
    number: 4011,
    name: "pool-saturated",
    meaning: "Every backend server of a pool was at its concurrency limit; the stage waits.",
    action: "Add backend servers to the pool if this lasts.",
};

/// No backend server may receive work.
pub const POOL_EMPTY: EventKind = EventKind {
    number: 4012,
    name: "pool-empty",
    meaning: "No backend server of a pool may receive new work.",
    action: "Add a backend server to the pool or resume a draining one.",
};

/// An attempt was repeated.
pub const ATTEMPT_RETRIED: EventKind = EventKind {
    number: 4020,
    name: "attempt-retried",
    meaning: "An attempt did not answer and another one was sent.",
    action: "None; see the result of the attempt before.",
};

/// An attempt was not repeated.
pub const RETRY_WITHHELD: EventKind = EventKind {
    number: 4021,
    name: "retry-withheld",
    meaning: "An attempt did not answer and no further one was sent, for the reason given.",
    action: "If the budget is the reason, look for the failing pool; more retries would add load.",
};

/// A hedge was sent.
pub const HEDGE_SENT: EventKind = EventKind {
    number: 4022,
    name: "hedge-sent",
    meaning: "An idempotent attempt was slow and a second one was sent beside it.",
    action: "None; a rising share points to a slow backend server.",
};

/// An attempt was cancelled downstream.
pub const ATTEMPT_CANCELLED: EventKind = EventKind {
    number: 4023,
    name: "attempt-cancelled",
    meaning: "Nobody waited for an attempt any more and the backend server was told to stop it.",
    action: "None.",
};

/// A request waits for admission.
pub const REQUEST_QUEUED: EventKind = EventKind {
    number: 4030,
    name: "request-queued",
    meaning: "A request waits for its customer's turn.",
    action: "None; add capacity if attainment falls.",
};

/// A request was shed.
pub const REQUEST_SHED: EventKind = EventKind {
    number: 4031,
    name: "request-shed",
    meaning: "A request was refused as not run because a queue is full or its deadline too near.",
    action: "Add capacity, or raise the weight of the customer that must not be refused.",
};

/// A stage was not begun because the rest can't finish in time.
pub const DEADLINE_UNREACHABLE: EventKind = EventKind {
    number: 4032,
    name: "deadline-unreachable",
    meaning: "The remaining stages usually need more time than the deadline leaves.",
    action: "Raise the pipeline's deadline or find the stage that became slow.",
};

/// All events of this module.
pub const ALL: &[EventKind] = &[
    SERVER_EJECTED,
    SERVER_RETURNED,
    EJECTION_WITHHELD,
    SERVER_RESTARTED,
    SERVER_CHOSEN,
    POOL_SATURATED,
    POOL_EMPTY,
    ATTEMPT_RETRIED,
    RETRY_WITHHELD,
    HEDGE_SENT,
    ATTEMPT_CANCELLED,
    REQUEST_QUEUED,
    REQUEST_SHED,
    DEADLINE_UNREACHABLE,
];
