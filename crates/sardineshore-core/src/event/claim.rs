//! Events of claims, idempotency and quarantine: numbers from 2000.

use super::EventKind;

/// A claim was confirmed.
pub const CLAIMED: EventKind = EventKind {
    number: 2000,
    name: "claimed",
    meaning: "The claim of a non-idempotent request is confirmed; its calls may be sent.",
    action: "None.",
};
/// Another attempt holds the key.
pub const CLAIM_FOLLOWED: EventKind = EventKind {
    number: 2001,
    name: "claim-followed",
    meaning: "The key is claimed by another attempt; its instance or the backend servers are \
              queried.",
    action: "None.",
};
/// A store call of a claim failed.
pub const CLAIM_STORE_FAILED: EventKind = EventKind {
    number: 2002,
    name: "claim-store-failed",
    meaning: "A store call of a claim gave no usable answer and is retried.",
    action: "If this continues, check the platform's table service.",
};
/// The outcome of a claimed request is final.
pub const CLAIM_TOLD: EventKind = EventKind {
    number: 2003,
    name: "claim-told",
    meaning: "The outcome of a non-idempotent request is final; the text names it.",
    action: "None.",
};
/// The result of a lost call is known from its backend server.
pub const CLAIM_RESOLVED: EventKind = EventKind {
    number: 2004,
    name: "claim-resolved",
    meaning: "A backend server reported the result of a call whose connection was lost.",
    action: "None.",
};
/// A crash was attributed to a request.
pub const STRIKE: EventKind = EventKind {
    number: 2100,
    name: "strike",
    meaning: "A backend server crashed while it ran the request with the named fingerprint.",
    action: "If one fingerprint appears on several servers, find its caller.",
};

/// Expired claim rows were deleted.
pub const CLAIMS_DELETED: EventKind = EventKind {
    number: 2005,
    name: "claims-deleted",
    meaning: "Claim rows whose keys are too old to be accepted were deleted.",
    action: "None.",
};

/// All events of this module.
pub const ALL: &[EventKind] = &[
    CLAIMED,
    CLAIM_FOLLOWED,
    CLAIM_STORE_FAILED,
    CLAIM_TOLD,
    CLAIM_RESOLVED,
    CLAIMS_DELETED,
    STRIKE,
];
