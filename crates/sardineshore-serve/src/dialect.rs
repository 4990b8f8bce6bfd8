//! The interface between the serving path and the adapter for a platform.
//!
//! A [`Dialect`] defines the names of HTTP headers, builds the calls to the platform's store and
//! servers, and decodes their documents and responses. The serving path itself knows none of the
//! platform's names.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use sardineshore_core::flow::batching::{CallPiece, FreeMemory, PieceError};
use sardineshore_core::flow::config::{Name, Server, ServingConfig};
pub use sardineshore_core::flow::replica::{StoreRow, StoreVersion};
use sardineshore_core::flow::selection::{LoadReport, PromptPart};
use serde::{Deserialize, Serialize};

/// Names of HTTP headers.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Id that the caller gives to an attempt; the response repeats it.
    pub request_id: &'static str,
    /// Time left until the deadline, in milliseconds.
    pub time_left: &'static str,
    /// Id of the server for which the request is meant.
    pub expected_server: &'static str,
    /// Customer that sent the request.
    pub customer: &'static str,
    /// Rank of the request among others at a model engine; 0 is the most urgent.
    pub rank: &'static str,
    /// Handles of the results of stages that the request uses, separated by commas.
    pub inputs: &'static str,
    /// Number of pieces of each stage, set by the caller.
    pub piece_counts: &'static str,
    /// Key of the input of first stages, set by the caller.
    pub piece_key: &'static str,
    /// Ids and lengths of the parts of the prompt, set by the caller.
    pub prompt_parts: &'static str,
    /// Id of the last event of a stream that the caller has received.
    pub last_event_id: &'static str,
    /// Id of the request that brought the first event of a stream that the caller takes up.
    pub resumes: &'static str,
    /// Present in a response if the server has not run the request.
    pub not_run: &'static str,
    /// Signature of a response; a response without it is not passed on.
    pub signature: &'static str,
    /// Load that a server reports in a response.
    pub load: &'static str,
    /// Requests per second that a server takes from all instances together, in a response.
    pub rate_limit: &'static str,
    /// `1` in the responses of a server that shuts down.
    pub leaving: &'static str,
    /// Era in the store's responses: a number that rises when the store is restored from a copy.
    pub store_era: &'static str,
    /// Headers that callers may not set; they are dropped from requests.
    pub reserved: &'static [&'static str],
}

/// An HTTP request to the store or to a server of stages.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HttpCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path with the query string.
    pub target: String,
    /// JSON body; may be empty.
    pub body: Bytes,
}

/// A page of the rows of a table, or of their changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Rows, in the order in which the store returned them.
    pub rows: Vec<StoreRow>,
    /// Whether further pages follow.
    pub has_more: bool,
    /// Version of the whole store as of this page.
    pub version: StoreVersion,
    /// Reading of the store's monotonic clock for this page, in milliseconds.
    pub store_time_ms: u64,
}

/// Tables of the store that the serving path uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Table {
    /// The operators' configuration, in one row, and a row for each evacuated failure domain.
    Config,
    /// Entries that servers write about themselves.
    Servers,
    /// Instances of sardineshore.
    Instances,
    /// Evidence about crashes of servers.
    Crashes,
    /// Rate limits that servers name.
    Limits,
    /// Software versions at which streams without a record began, by pool.
    BaseVersions,
}

impl Table {
    /// All tables, in the order of their declaration.
    pub const ALL: [Self; 6] = [
        Self::Config,
        Self::Servers,
        Self::Instances,
        Self::Crashes,
        Self::Limits,
        Self::BaseVersions,
    ];
}

/// Translates between the serving path and one platform; makes no decisions.
pub trait Dialect: fmt::Debug {
    /// Names of the platform's HTTP headers.
    fn header_names(&self) -> &HeaderNames;
    /// Path of the balancer's readiness checks.
    fn readiness_path(&self) -> &'static str;
    /// Key of the row that holds the configuration, in [`Table::Config`].
    fn config_key(&self) -> &'static str;
    /// Failure domain that a row of [`Table::Config`] with this key evacuates; `None` for other rows.
    fn evacuated_domain(&self, key: &str) -> Option<Name>;
    /// Decodes the operators' configuration.
    fn decode_config(&self, bytes: &[u8]) -> anyhow::Result<ServingConfig>;
    /// Decodes the entry of the server `id`.
    fn decode_server(&self, id: &str, bytes: &[u8]) -> anyhow::Result<Server>;
    /// Parses the load that a server reports in a header; `None` if it is malformed.
    fn parse_load(&self, text: &str) -> Option<LoadReport>;
    /// Parses a rate limit from a header, in requests per second; `None` if it is malformed.
    fn parse_rate_limit(&self, text: &str) -> Option<f64>;
    /// Parses the parts of a prompt from a header; malformed ones are left out.
    fn parse_prompt(&self, text: &str) -> Vec<PromptPart>;
    /// Parses the number of pieces of each stage from a header; `None` if it is malformed.
    fn parse_piece_counts(&self, text: &str) -> Option<Vec<u32>>;
    /// Call that reads a page of a table, from its start or from the key `from`.
    fn read_rows_call(&self, table: Table, from: Option<&str>) -> HttpCall;
    /// Call that waits up to `wait` for changes of a table after version `after`.
    fn watch_rows_call(&self, table: Table, after: u64, wait: Duration) -> HttpCall;
    /// Decodes the response to a read or a watch of a store in this era.
    fn decode_rows(&self, bytes: &[u8], era: u64) -> anyhow::Result<RowPage>;
    /// Call that writes a row.
    fn put_row_call(&self, table: Table, key: &str, value: &[u8]) -> HttpCall;
    /// Call that writes a row if its version is still `version`; 0 if there must be no row. The rows of the
    /// table in `unchanged` must still have their versions as well.
    fn replace_row_call(
        &self,
        table: Table,
        key: &str,
        value: &[u8],
        version: u64,
        unchanged: &[(&str, u64)],
    ) -> HttpCall;
    /// Call that reads one row.
    fn read_row_call(&self, table: Table, key: &str) -> HttpCall;
    /// Call that writes records of streams with their keys, which begin with the stream's id and a
    /// slash, and removes those with the keys `expired`. All are in one partition.
    fn put_stream_records_call(
        &self,
        part: &str,
        records: &[(&str, &[u8])],
        expired: &[&str],
    ) -> HttpCall;
    /// Call that reads all records of a stream, or the first ones of a partition.
    fn read_stream_records_call(&self, part: &str, stream: Option<&str>) -> HttpCall;
    /// Call that removes a row.
    fn remove_row_call(&self, table: Table, key: &str) -> HttpCall;
    /// Call that runs pieces of stages in one batch.
    fn run_pieces_call(&self, pieces: &[CallPiece]) -> HttpCall;
    /// Decodes the response to a batch: for each piece in order the handle of its result, or why
    /// there is none.
    fn decode_piece_results(&self, bytes: &[u8]) -> anyhow::Result<Vec<Result<Name, PieceError>>>;
    /// Call that releases results that a server keeps.
    fn release_results_call(&self, handles: &[Name]) -> HttpCall;
    /// Call that asks a server for its free memory for results.
    fn free_memory_call(&self) -> HttpCall;
    /// Decodes the response to that call.
    fn decode_free_memory(&self, bytes: &[u8]) -> anyhow::Result<FreeMemory>;
}
