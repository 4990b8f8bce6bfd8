//! What the selection of a server depends on, what it answers, and what servers and attempts report.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::cost::{prompt_miss_cost, uniform_hash};
use crate::flow::config::{Name, Server};

/// A part of a prompt. Prompts that begin with the same parts can share cached tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; equal texts have equal ids.
    pub id: Name,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// Which software versions of servers can run a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum RequiredVersion {
    /// All versions.
    #[default]
    Any,
    /// This version, as it began the stream that the request goes on with.
    Exactly(Name),
    /// No server: it isn't known which version began the stream.
    Unknown,
}

impl RequiredVersion {
    /// Requires the version that began a stream; `None` if it isn't known.
    #[must_use]
    pub fn of_stream(version: Option<Name>) -> Self {
        version.map_or(Self::Unknown, Self::Exactly)
    }

    pub(super) fn allows(&self, server: &Server) -> bool {
        match self {
            Self::Any => true,
            Self::Exactly(version) => server.version.as_ref() == Some(version),
            Self::Unknown => false,
        }
    }
}

/// What the selection of a server for a request depends on.
#[derive(Debug, Clone, Default)]
pub struct SelectionRequest {
    /// Pool whose servers can run the request.
    pub pool: Name,
    /// Parts of the prompt in order. The last one is specific to the request, the others are shared
    /// with other requests.
    pub prompt: Vec<PromptPart>,
    /// Failure domains that store inputs of the request, each with their size in bytes.
    pub input_bytes: Vec<(Name, u64)>,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Servers to exclude, as the request was already sent to them.
    pub tried: Vec<Name>,
    /// Whether servers in back-off, or silent ones, are left out even if there is no other.
    pub healthy_only: bool,
    /// Which software versions of servers can run the request.
    pub version: RequiredVersion,
    /// Software version at which the request is best run, and the cost of another one.
    pub favored_version: Option<(Name, Duration)>,
    /// Seed that differs between requests; it spreads them over servers that are equal otherwise.
    pub seed: u64,
}

impl SelectionRequest {
    pub(super) fn shared_parts(&self) -> &[PromptPart] {
        &self.prompt[..self.prompt.len().saturating_sub(1)]
    }

    /// Tokens of the prompt parts that are shared with other requests.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        sum_tokens(self.shared_parts())
    }

    /// Number from 0 to 1 (exclusive) that tells whether the request is among the share that may go to a
    /// failure domain. Requests with the same prompt prefix have the same one, so that they move together.
    pub(super) fn domain_share(&self, domain: &Name) -> f64 {
        let hash = match self.shared_parts().last() {
            Some(prefix) => xxh3_64(format!("{}/{domain}", prefix.id).as_bytes()),
            None => xxh3_64_with_seed(domain.as_bytes(), self.seed),
        };
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Bytes of the inputs that are stored in other failure domains than this one.
    #[must_use]
    pub fn remote_input_bytes(&self, domain: &Name) -> u64 {
        let remote = self.input_bytes.iter().filter(|(d, _)| d != domain);
        remote.map(|(_, bytes)| *bytes).sum()
    }

    /// What it costs to run the request where its shared prompt parts aren't cached.
    #[must_use]
    pub fn prompt_cost(&self) -> Duration {
        prompt_miss_cost(self.shared_tokens())
    }

    /// The request's pseudo-random number, 0 to 1, by which it leaves its domain or stays; `None` if
    /// inputs or cached prompts decide that.
    pub(super) fn crossing_draw(&self) -> Option<f64> {
        let is_free = self.input_bytes.is_empty() && self.shared_parts().is_empty();
        is_free.then(|| uniform_hash("", self.seed))
    }

    pub(super) fn own_tokens(&self) -> u32 {
        self.prompt.last().map_or(0, |part| part.tokens)
    }

    pub(super) fn tokens(&self) -> u32 {
        sum_tokens(&self.prompt)
    }
}

/// Tokens of parts of a prompt. Callers name them, so the sum may be out of range.
pub(super) fn sum_tokens<'a>(parts: impl IntoIterator<Item = &'a PromptPart>) -> u32 {
    let tokens = parts.into_iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add)
}

/// The server selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedServer {
    /// Id of the server.
    pub id: Name,
    /// Address of the server.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: Name,
    /// Version of the server's software; `None` if it names none.
    pub version: Option<Name>,
    /// Whether the server was cold when it was selected.
    pub is_cold: bool,
    /// Prompt tokens that the server is expected to prefill, as they are not in its cache.
    pub uncached_tokens: u32,
}

/// How an attempt at a server ended; the health of the server follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server responded; the first byte arrived after this time.
    Answered(Duration),
    /// The server responded with an error of its own.
    Failure,
    /// The server rejected the request without running it, because it is full or draining.
    Rejected,
    /// No usable response: the connection failed or the response is invalid.
    Broken,
    /// The caller disconnected or the deadline passed; says nothing about the server.
    Abandoned,
}

/// Load of a server as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that the server runs concurrently at most.
    pub slots: u32,
    /// How long work takes there at this moment, in percent of usual; `None` if the server doesn't say.
    pub percent: Option<u32>,
}
