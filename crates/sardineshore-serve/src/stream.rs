//! Events of a stream: forwarded whole, in order, each once.
//!
//! ```
//! use sardineshore_serve::stream::EventFilter;
//!
//! let mut filter = EventFilter::default();
//! filter.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! assert_eq!(filter.take().unwrap(), b"id: 1\ndata: a\n\n");
//! assert_eq!(filter.last_event(), Some(1));
//! ```

/// Longest event, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// A server sent events that don't fit to what came before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamFault {
    /// An event is missing or out of order.
    #[error("event {got} after event {last}")]
    OutOfOrder {
        /// Last event passed on.
        last: u64,
        /// Event received.
        got: u64,
    },
    /// An event is too long.
    #[error("event over the limit")]
    TooLong,
}

/// Cuts the bytes of a stream into whole events and drops those that were passed on before.
#[derive(Debug, Default)]
pub struct EventFilter {
    buf: Vec<u8>,
    last: Option<u64>,
    passed: bool,
}

impl EventFilter {
    /// A filter for a stream of which the caller has events up to `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Adds bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Id of the last event that was passed on.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Whether any event was passed on by this filter.
    #[must_use]
    pub fn passed_any(&self) -> bool {
        self.passed
    }

    /// Whether bytes of an unfinished event are left.
    #[must_use]
    pub fn is_torn(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the unfinished event: another server goes on.
    pub fn restart(&mut self) {
        self.buf.clear();
    }

    /// All whole events that are new.
    pub fn take(&mut self) -> Result<Vec<u8>, StreamFault> {
        let mut out = Vec::new();
        let mut from = 0;
        while let Some(length) = event_length(&self.buf[from..]) {
            let event = &self.buf[from..from + length];
            from += length;
            match event_id(event) {
                Some(id) => match self.last {
                    Some(last) if id <= last => {}
                    Some(last) if id > last + 1 => {
                        return Err(StreamFault::OutOfOrder { last, got: id });
                    }
                    _ => {
                        self.last = Some(id);
                        self.passed = true;
                        out.extend_from_slice(event);
                    }
                },
                None => out.extend_from_slice(event),
            }
        }
        self.buf.drain(..from);
        if self.buf.len() > MAX_EVENT {
            return Err(StreamFault::TooLong);
        }
        Ok(out)
    }
}

/// Length of the first event with its empty line.
fn event_length(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
