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
pub struct FieldNames {
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
    pub prompt: &'static str,
    /// Last event that was received of a stream.
    pub last_event: &'static str,
    /// Mark of an answer that the request has not run.
    pub not_run: &'static str,
    /// Signature of a server's answer.
    pub seal: &'static str,
    /// Load of a server.
    pub load: &'static str,
    /// Fields that callers may not set: dropped.
    pub reserved: &'static [&'static str],
}

/// A call of an HTTP interface.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Call {
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
    pub more: bool,
    /// Newest version of the store.
    pub version: u64,
    /// The store's steady clock, milliseconds.
    pub stamp_ms: u64,
}

/// Tables that the serving path uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// What operators declare.
    Site,
    /// What servers say of themselves.
    Servers,
    /// Instances of this system.
    Instances,
}

/// Translates between the serving path and one platform.
pub trait Dialect: fmt::Debug {
    /// Names of header fields.
    fn fields(&self) -> &FieldNames;
    /// Path that the balancer asks for readiness.
    fn ready_path(&self) -> &'static str;
    /// Key of the row that holds the site.
    fn site_key(&self) -> &'static str;
    /// Decodes the site.
    fn site(&self, bytes: &[u8]) -> anyhow::Result<ServingConfig>;
    /// Decodes what a server says of itself.
    fn server(&self, id: &str, bytes: &[u8]) -> anyhow::Result<Server>;
    /// Decodes the load that a server states.
    fn load(&self, text: &str) -> Option<LoadReport>;
    /// Decodes the parts of a prompt.
    fn prompt(&self, text: &str) -> Vec<PromptPart>;
    /// Decodes the numbers of pieces.
    fn piece_counts(&self, text: &str) -> Option<Vec<u32>>;
    /// Call that reads rows of a table from a key on.
    fn read_rows(&self, table: Table, from: Option<&str>) -> Call;
    /// Call that waits for changes after a version.
    fn watch_rows(&self, table: Table, after: u64, wait: Duration) -> Call;
    /// Decodes the answer of either.
    fn rows(&self, bytes: &[u8]) -> anyhow::Result<RowPage>;
    /// Call that writes a row.
    fn put_row(&self, table: Table, key: &str, value: &[u8]) -> Call;
    /// Call that removes a row.
    fn remove_row(&self, table: Table, key: &str) -> Call;
    /// Call that has pieces made.
    fn make_pieces(&self, pieces: &[CallPiece]) -> Call;
    /// Decodes its answer.
    fn pieces_made(&self, bytes: &[u8]) -> anyhow::Result<Vec<Result<Name, PieceError>>>;
    /// Call that gives results up.
    fn free_results(&self, handles: &[Name]) -> Call;
    /// Call that asks a server for the memory it has left for results.
    fn ask_room(&self) -> Call;
    /// Decodes its answer.
    fn room_left(&self, bytes: &[u8]) -> anyhow::Result<FreeMemory>;
}
