//! Filter for streams of server-sent events.
//!
//! A stream may continue at another backend server after a break. The filter sits between the
//! servers and the caller and forwards each event completely, in order and once.
//!
//! ```
//! use sardineshore_serve::stream::EventFilter;
//!
//! let mut filter = EventFilter::default();
//! filter.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! assert_eq!(filter.take_events().unwrap(), b"id: 1\ndata: a\n\n");
//! assert_eq!(filter.last_event_id(), Some(1));
//! ```

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A server sent events that can't be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event is missing or out of order.
    #[error("received event {received} after event {last}")]
    OutOfOrder {
        /// Id of the last event that the caller has.
        last: u64,
        /// Id of the event received.
        received: u64,
    },
    /// An event is too long.
    #[error("event over the limit")]
    TooLong,
}

/// What is known of the id of the first event that the caller got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum FirstId {
    /// No other event has followed.
    #[default]
    Unproven,
    /// The next event had the next id.
    Right,
    /// The next event had no higher id.
    Wrong,
}

/// Splits the bytes of a stream into complete events and drops those that the caller has already.
#[derive(Debug, Default)]
pub struct EventFilter {
    buf: Vec<u8>,
    /// Number of bytes of `buf` that were searched for the end of a line, so that an event that
    /// arrives in many small parts isn't searched again with each of them.
    searched: usize,
    /// Start of the line that has not ended.
    line_start: usize,
    last_id: Option<u64>,
    /// Id of the last event of the present server, whether or not the caller had it already.
    server_last_id: Option<u64>,
    first_id: FirstId,
    forwarded: bool,
    /// Whether a server has broken off inside an event that no other server has sent since.
    interrupted: bool,
}

impl EventFilter {
    /// Creates a filter for a caller that has all events up to the id `last_id`; `None` if it has
    /// none.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes received from a server.
    pub fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Id of the last event that the caller has; `None` if there is none.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether this filter has let any event with an id through.
    #[must_use]
    pub fn has_forwarded(&self) -> bool {
        self.forwarded
    }

    /// Whether another server can continue the stream. Not so if the first event turned out to have a wrong id:
    /// it isn't known then which events the caller has.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        self.first_id != FirstId::Wrong
    }

    /// Size of what was received and not returned, in bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buf.capacity()
    }

    /// Whether the stream can't end here: an event has begun, at this server or at one before it.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.interrupted || !self.buf.is_empty()
    }

    /// Discards an incomplete event, before another server continues the stream.
    pub fn discard_partial_event(&mut self) {
        self.interrupted |= !self.buf.is_empty();
        self.buf.clear();
        self.searched = 0;
        self.line_start = 0;
        self.server_last_id = None;
    }

    /// The event before which one with this id can't come; `None` if it can be the next one.
    fn out_of_order_after(&self, id: u64) -> Option<u64> {
        let repeated = self.server_last_id.filter(|last| id <= *last);
        repeated.or(self.last_id.filter(|last| id > last + 1))
    }

    /// Removes complete events from the buffer and returns those that the caller doesn't have yet;
    /// nothing is returned if there are no more. Events without an id are always returned.
    ///
    /// Those returned count as received by the caller, so all of them must be forwarded.
    ///
    /// # Errors
    ///
    /// Fails if an event is missing before the next one, if the ids of a server's events don't increase, or if an
    /// incomplete event is too long. Events
    /// before the fault are returned first; the next call fails.
    pub fn take_events(&mut self) -> Result<Vec<u8>, StreamError> {
        let mut out = Vec::new();
        let mut consumed = 0;
        let mut is_faulty = false;
        while let Some(line_len) = self.buf[self.searched..].iter().position(|b| *b == b'\n') {
            let line_end = self.searched + line_len;
            let line = &self.buf[self.line_start..line_end];
            let ends_event = line.is_empty() || line == b"\r";
            self.searched = line_end + 1;
            self.line_start = self.searched;
            if !ends_event {
                continue;
            }
            let event_start = consumed;
            let event = &self.buf[event_start..self.searched];
            consumed = self.searched;
            match event_id(event) {
                Some(id) => {
                    if let Some(last) = self.out_of_order_after(id) {
                        if self.first_id == FirstId::Unproven && self.forwarded && id <= last {
                            self.first_id = FirstId::Wrong;
                        }
                        let fault = StreamError::OutOfOrder { last, received: id };
                        if out.is_empty() {
                            return Err(fault);
                        }
                        // The fault is found again once the events before it are forwarded.
                        consumed = event_start;
                        is_faulty = true;
                        break;
                    }
                    self.server_last_id = Some(id);
                    if self.last_id.is_none_or(|last| id > last) {
                        out.extend_from_slice(event);
                        if self.last_id.is_some() {
                            self.first_id = FirstId::Right;
                        }
                        self.last_id = Some(id);
                        self.forwarded = true;
                    }
                }
                None => out.extend_from_slice(event),
            }
        }
        self.interrupted &= out.is_empty();
        self.buf.drain(..consumed);
        if is_faulty {
            (self.searched, self.line_start) = (0, 0);
            return Ok(out);
        }
        self.searched = self.buf.len();
        self.line_start -= consumed;
        if out.is_empty() && self.buf.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok(out)
    }
}

/// Numeric id of an event; `None` if it has no `id:` field with a number.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
