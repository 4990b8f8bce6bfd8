//! Events of configuration, membership and orders: numbers from 3000.

use super::EventKind;

/// A version of the configuration became active.
pub const VERSION_ADOPTED: EventKind = EventKind {
    number: 3001,
    name: "version-adopted",
    meaning: "A version of the configuration became active on this instance.",
    action: "None.",
};

/// A command was accepted.
pub const COMMAND_ACCEPTED: EventKind = EventKind {
    number: 3002,
    name: "command-accepted",
    meaning: "A command was written to the log and a majority of the instances holds its version.",
    action: "None.",
};

/// A command was refused.
pub const COMMAND_REFUSED: EventKind = EventKind {
    number: 3003,
    name: "command-refused",
    meaning: "A command can't be applied to the configuration; nothing was changed.",
    action: "Correct the command. If the text names another command, that one was accepted first.",
};

/// A command was not accepted.
pub const COMMAND_NOT_ACCEPTED: EventKind = EventKind {
    number: 3004,
    name: "command-not-accepted",
    meaning: "A command was not written: the store or a majority of the instances can't be \
              reached.",
    action: "Submit it again once the store and the instances can be reached.",
};

/// Whether a command was accepted is not known.
pub const COMMAND_UNCONFIRMED: EventKind = EventKind {
    number: 3005,
    name: "command-unconfirmed",
    meaning: "A command may have been written, but its confirmation was lost or no majority of \
              the instances has confirmed that it holds its version.",
    action: "Submit the same command again; it takes effect once.",
};

/// The instance can't confirm its configuration and dispatches nothing.
pub const FENCED: EventKind = EventKind {
    number: 3010,
    name: "fenced",
    meaning: "Neither the store nor a majority of the instances confirms the configuration; \
              this instance dispatches nothing.",
    action: "Check the network and the store. The instance resumes by itself once either answers.",
};

/// The instance confirms its configuration again.
pub const UNFENCED: EventKind = EventKind {
    number: 3011,
    name: "unfenced",
    meaning: "The configuration is confirmed again; this instance dispatches.",
    action: "None.",
};

/// The store's head is older than the active version.
pub const STORE_BEHIND: EventKind = EventKind {
    number: 3012,
    name: "store-behind",
    meaning: "The store answered with an older version than the active one; the answer is ignored.",
    action: "Check the store for lost writes. Commands are not accepted until it has caught up.",
};

/// An entry of the log can't be applied.
pub const ENTRY_UNFIT: EventKind = EventKind {
    number: 3013,
    name: "entry-unfit",
    meaning: "An entry of the log can't be decoded or can't be applied to the version before it.",
    action: "Compare the versions of the programs: an older program may not know a newer kind of \
             change.",
};

/// The list of members has changed.
pub const MEMBERS_CHANGED: EventKind = EventKind {
    number: 3020,
    name: "members-changed",
    meaning: "The instance list names other entry instances than before.",
    action: "None.",
};

/// The set of leaving backend servers has changed.
pub const LEAVING_CHANGED: EventKind = EventKind {
    number: 3021,
    name: "leaving-changed",
    meaning: "The instance list marks other backend servers as leaving than before.",
    action: "None.",
};

/// The instance list has more entries than before that name no process.
pub const LIST_ENTRY_UNFIT: EventKind = EventKind {
    number: 3022,
    name: "list-entry-unfit",
    meaning: "Entries of the instance list can't be decoded or have no address; they are ignored.",
    action: "Find out who wrote them.",
};

/// All events of this module.
pub const ALL: &[EventKind] = &[
    VERSION_ADOPTED,
    COMMAND_ACCEPTED,
    COMMAND_REFUSED,
    COMMAND_NOT_ACCEPTED,
    COMMAND_UNCONFIRMED,
    FENCED,
    UNFENCED,
    STORE_BEHIND,
    ENTRY_UNFIT,
    MEMBERS_CHANGED,
    LEAVING_CHANGED,
    LIST_ENTRY_UNFIT,
];
