//! Which software wrote the beginning of a stream, and which servers may continue it.

use std::sync::Arc;

use crate::ServerId;

/// Process that writes a stream, as far as its replies identify it.
///
/// Tokens of two software versions don't form one answer, and backend servers don't check who wrote
/// the tokens before theirs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Name of the backend server.
    pub server: ServerId,
    /// Incarnation of its process; 0 if unknown.
    pub incarnation: u64,
    /// Software version; `None` if unknown.
    pub version: Option<Arc<str>>,
}

impl StreamOrigin {
    /// Whether a stream that this process began may continue at another: both have the same known
    /// version, or they are the same run of the same server.
    #[must_use]
    pub fn may_continue_at(&self, other: &Self) -> bool {
        let same_version = self.version.is_some() && self.version == other.version;
        let same_run = self.incarnation != 0
            && (&self.server, self.incarnation) == (&other.server, other.incarnation);
        same_version || same_run
    }
}
