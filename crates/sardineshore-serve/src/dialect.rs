//! What an adapter translates: names of headers, calls to servers and to the store.
//!
//! The serving path knows its own domain only; a [`Dialect`] says how it is spelled.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use sardineshore_core::flow::batching::{CallPiece, FreeMemory, PieceError};
use sardineshore_core::flow::config::{Name, Server, ServingConfig};
use sardineshore_core::flow::selection::{LoadReport, PromptPart};

/// Names of header fields.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Id of one caller's attempt; echoed in answers.
    pub request_id: &'static str,
    /// Time left, in milliseconds.
    pub time_left: &'static str,
    /// Id of the server that a request is meant for.
    pub expected_server: &'static str,
    /// Customer of the request.
    pub customer: &'static str,
    /// Rank of the request at a model engine.
    pub rank: &'static str,
    /// Results of the stages.
    pub inputs: &'static str,
    /// Number of pieces of each stage.
    pub piece_counts: &'static str,
    /// Key of the first stages' input.
    pub piece_key: &'static str,
    /// Parts of the prompt.
    pub prompt_parts: &'static str,
    /// Last event that was received of a stream.
    pub last_event_id: &'static str,
    /// Mark of an answer that the request has not run.
    pub not_run: &'static str,
    /// Signature of a server's answer.
    pub signature: &'static str,
    /// Load of a server.
    pub load: &'static str,
    /// Fields that callers may not set: dropped.
    pub reserved: &'static [&'static str],
}

/// A call of an HTTP interface.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HttpCall {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, JSON unless empty.
    pub body: Bytes,
}

/// A row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Key in its table.
    pub key: Name,
    /// Value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the last change.
    pub version: u64,
}

/// Rows of a table, or changes of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Rows in order.
    pub rows: Vec<StoreRow>,
    /// Whether more rows follow.
    pub has_more: bool,
    /// Newest version of the store.
    pub version: u64,
    /// The store's steady clock, milliseconds.
    pub store_time_ms: u64,
}

/// Tables that the serving path uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// What operators declare.
    Config,
    /// What servers say of themselves.
    Servers,
    /// Instances of this system.
    Instances,
}

/// Translates between the serving path and one platform.
pub trait Dialect: fmt::Debug {
    /// Names of header fields.
    fn header_names(&self) -> &HeaderNames;
    /// Path that the balancer asks for readiness.
    fn readiness_path(&self) -> &'static str;
    /// Key of the row that holds the site.
    fn config_key(&self) -> &'static str;
    /// Decodes the site.
    fn decode_config(&self, bytes: &[u8]) -> anyhow::Result<ServingConfig>;
    /// Decodes what a server says of itself.
    fn decode_server(&self, id: &str, bytes: &[u8]) -> anyhow::Result<Server>;
    /// Decodes the load that a server states.
    fn parse_load(&self, text: &str) -> Option<LoadReport>;
    /// Decodes the parts of a prompt.
    fn parse_prompt(&self, text: &str) -> Vec<PromptPart>;
    /// Decodes the numbers of pieces.
    fn parse_piece_counts(&self, text: &str) -> Option<Vec<u32>>;
    /// Call that reads rows of a table from a key on.
    fn read_rows_call(&self, table: Table, from: Option<&str>) -> HttpCall;
    /// Call that waits for changes after a version.
    fn watch_rows_call(&self, table: Table, after: u64, wait: Duration) -> HttpCall;
    /// Decodes the answer of either.
    fn decode_rows(&self, bytes: &[u8]) -> anyhow::Result<RowPage>;
    /// Call that writes a row.
    fn put_row_call(&self, table: Table, key: &str, value: &[u8]) -> HttpCall;
    /// Call that removes a row.
    fn remove_row_call(&self, table: Table, key: &str) -> HttpCall;
    /// Call that has pieces made.
    fn run_pieces_call(&self, pieces: &[CallPiece]) -> HttpCall;
    /// Decodes its answer.
    fn decode_piece_results(&self, bytes: &[u8]) -> anyhow::Result<Vec<Result<Name, PieceError>>>;
    /// Call that gives results up.
    fn release_results_call(&self, handles: &[Name]) -> HttpCall;
    /// Call that asks a server for the memory it has left for results.
    fn free_memory_call(&self) -> HttpCall;
    /// Decodes its answer.
    fn decode_free_memory(&self, bytes: &[u8]) -> anyhow::Result<FreeMemory>;
}
