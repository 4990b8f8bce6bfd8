//! Messages of the protocol between instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use sardineshore_core::flow::batching::{Job, StageResults};
use sardineshore_core::flow::config::Name;
use serde::{Deserialize, Serialize};

use crate::cell::{JobEvent, JobOutcome, RequestInputs};

/// An instance as the others know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name.
    pub name: Name,
    /// Where other instances connect.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Relative processor share.
    pub weight: f64,
}

/// Messages of the protocol between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message in both directions.
    Hello(InstanceInfo),
    /// A job for the owner of a cell.
    Submit {
        /// Cell.
        cell: Name,
        /// Job.
        job: Job,
    },
    /// A job's results were used, or nobody waits for it.
    Release {
        /// Cell.
        cell: Name,
        /// Id of the request.
        request: Name,
    },
    /// A stage ended; another owner can go on from there.
    StageFinished {
        /// Id of the request.
        request: Name,
        /// Results of the stage.
        results: StageResults,
    },
    /// All stages ended.
    Finished {
        /// Id of the request.
        request: Name,
        /// Inputs of the request.
        inputs: RequestInputs,
    },
    /// Can't be served.
    Aborted {
        /// Id of the request.
        request: Name,
        /// When to come back.
        retry_after: Duration,
    },
    /// Was not taken on.
    Refused {
        /// Id of the request.
        request: Name,
        /// When to come back.
        retry_after: Duration,
        /// What the cell has to do.
        backlog: Duration,
    },
    /// Ask another owner.
    Redirected {
        /// Id of the request.
        request: Name,
        /// Whether it had been taken on.
        accepted: bool,
    },
    /// Asks for a sign of life.
    Ping,
    /// Sign of life.
    Pong,
}

impl Message {
    /// Encoded form.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).map_or_else(|_| Bytes::new(), Bytes::from)
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// What the requester of a job hears.
pub(super) fn event_message(request: Name, event: JobEvent) -> Message {
    match event {
        JobEvent::StageFinished(results) => Message::StageFinished { request, results },
        JobEvent::Ended(JobOutcome::Finished(inputs)) => Message::Finished { request, inputs },
        JobEvent::Ended(JobOutcome::Aborted(retry_after)) => Message::Aborted {
            request,
            retry_after,
        },
        JobEvent::Ended(JobOutcome::Refused {
            retry_after,
            backlog,
        }) => Message::Refused {
            request,
            retry_after,
            backlog,
        },
        JobEvent::Ended(JobOutcome::Redirected { accepted }) => {
            Message::Redirected { request, accepted }
        }
    }
}
