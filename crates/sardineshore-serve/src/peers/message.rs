//! Messages of the protocol between instances.
//!
//! They are encoded with postcard, one message in each frame; long ones are compressed, as the rows
//! of a table repeat each other. The order of variants and fields is the format; their names aren't
//! sent. The first byte of a frame tells whether it is compressed.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, ensure};
use bytes::Bytes;
use sardineshore_core::flow::batching::{Job, RefusalReason, StageResults};
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::quarantine::Evidence;
use sardineshore_core::flow::speed::SpeedDigest;
use sardineshore_core::flow::stream_versions::StreamCopy;
use sardineshore_core::flow::zones::CellFigures;
use serde::{Deserialize, Serialize};

use crate::cell::{JobEvent, JobOutcome, RequestInputs};
use crate::relay::{KnownVersions, ReaderMessage};

/// Encoded messages from this length on are compressed, in bytes.
const COMPRESSED_FROM_BYTES: usize = 1024;
/// Longest encoded message before compression, in bytes.
const MAX_ENCODED_BYTES: usize = 16 << 20;
/// First byte of a frame whose rest is encoded.
const PLAIN: u8 = 0;
/// First byte of a frame whose rest is encoded and compressed.
const COMPRESSED: u8 = 1;

/// What an instance tells the others about itself; also its row in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name of the instance.
    pub name: Name,
    /// Address on which it accepts links.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: Name,
    /// Processor cores that it may use; an instance with more owns more cells.
    pub weight: f64,
}

/// A message between two instances: one that submits jobs, and the owner of their cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Handshake: the first message in each direction.
    Hello(InstanceInfo),
    /// To the owner: submits a job.
    Submit {
        /// Name of the cell.
        cell: Name,
        /// Home cell of the request if the job is submitted to a cell for the first time; `None` if
        /// another one refused it.
        home: Option<Name>,
        /// The job.
        job: Job,
    },
    /// To the owner: the job's results were used, or no request waits for it any more.
    Release {
        /// Name of the cell.
        cell: Name,
        /// Id of the request, which is that of its job.
        request: Name,
    },
    /// To the submitter: a stage finished. With the results another owner can continue the job.
    StageFinished {
        /// Id of the request.
        request: Name,
        /// Results of the stage.
        results: StageResults,
    },
    /// To the submitter: all stages finished.
    Finished {
        /// Id of the request.
        request: Name,
        /// Results that the request needs.
        inputs: RequestInputs,
    },
    /// To the submitter: the owner accepted the job and can't complete it.
    Aborted {
        /// Id of the request.
        request: Name,
        /// Time after which the request may be tried again.
        retry_after: Duration,
        /// Why it can't complete it.
        reason: RefusalReason,
    },
    /// To the submitter: the owner did not accept the job.
    Refused {
        /// Id of the request.
        request: Name,
        /// Time after which the request may be tried again.
        retry_after: Duration,
        /// Time that the cell needs for the work it has.
        backlog: Duration,
        /// Why it did not accept it.
        reason: RefusalReason,
    },
    /// To the submitter: submit the job to another owner.
    Redirected {
        /// Id of the request.
        request: Name,
        /// Whether this owner had accepted the job.
        accepted: bool,
    },
    /// Heartbeat request.
    Ping,
    /// Heartbeat response.
    Pong,
    /// To a reader of the store: hand on what you read.
    Subscribe {
        /// What the subscriber knows.
        known: KnownVersions,
    },
    /// To a reader of the store: hand on nothing more.
    Unsubscribe,
    /// To a subscriber: what the reader has read.
    Store(ReaderMessage),
    /// Evidence about crashes of servers.
    Crashes(Vec<Evidence>),
    /// To the submitter: the cell is withdrawn, submit the job to another one.
    Withdrawn {
        /// Id of the request.
        request: Name,
        /// Whether this owner had accepted the job.
        accepted: bool,
    },
    /// Speeds of servers; follows a message that is sent anyway.
    Speeds(SpeedDigest),
    /// Loads of the cells that the sender knows. Sent only in front of another message.
    Figures(Vec<CellFigures>),
    /// To a holder: streams that began at the sender, or were taken up there.
    HoldStreams(Vec<StreamCopy>),
    /// To a holder: asks where a stream began.
    FindStream {
        /// Number of the question, unique for the sender.
        question: u64,
        /// Id of the stream.
        stream: Name,
    },
    /// From a holder: the answer.
    FoundStream {
        /// Number of the question.
        question: u64,
        /// The stream; `None` if the holder doesn't know it.
        copy: Option<StreamCopy>,
    },
}

impl Message {
    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let encoded = postcard::to_extend(self, vec![PLAIN]).unwrap_or_default();
        if encoded.len() < COMPRESSED_FROM_BYTES {
            return encoded.into();
        }
        let mut frame = vec![COMPRESSED];
        frame.extend(lz4_flex::compress_prepend_size(&encoded[1..]));
        frame.into()
    }

    /// Decodes a message; fails if the bytes are no message of this version.
    pub fn decode(bytes: &[u8]) -> anyhow::Result<Self> {
        match bytes.split_first() {
            Some((&PLAIN, encoded)) => Ok(postcard::from_bytes(encoded)?),
            Some((&COMPRESSED, compressed)) => {
                let (size, _) = lz4_flex::block::uncompressed_size(compressed)?;
                ensure!(size <= MAX_ENCODED_BYTES, "message of {size} bytes");
                let encoded = lz4_flex::decompress_size_prepended(compressed)?;
                Ok(postcard::from_bytes(&encoded)?)
            }
            _ => bail!("empty or unknown frame"),
        }
    }
}

/// Message that carries an event of a job to its submitter.
pub(super) fn event_message(request: Name, event: JobEvent) -> Message {
    match event {
        JobEvent::StageFinished(results) => Message::StageFinished { request, results },
        JobEvent::Ended(JobOutcome::Finished(inputs)) => Message::Finished { request, inputs },
        JobEvent::Ended(JobOutcome::Aborted {
            retry_after,
            reason,
        }) => Message::Aborted {
            request,
            retry_after,
            reason,
        },
        JobEvent::Ended(JobOutcome::Refused {
            retry_after,
            backlog,
            reason,
        }) => Message::Refused {
            request,
            retry_after,
            backlog,
            reason,
        },
        JobEvent::Ended(JobOutcome::Redirected { accepted }) => {
            Message::Redirected { request, accepted }
        }
        JobEvent::Ended(JobOutcome::Withdrawn { accepted }) => {
            Message::Withdrawn { request, accepted }
        }
    }
}
