//! Where a stream may begin, or go on if its caller takes it up.

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::selection::RequiredVersion;
use sardineshore_core::flow::stream_versions::StreamLife;

use crate::attempt::{AdmittedRequest, RETRY_AFTER_NO_SERVER};
use crate::request::{Outcome, RequestHandler, RequestStats, not_run, not_run_finally};
use crate::stream_versions::PendingRecord;

/// The servers that may run a request for a stream.
pub(super) struct StreamStart {
    pub(super) pool: Name,
    pub(super) version: RequiredVersion,
    /// What the first event waits for, if the stream is taken up.
    pub(super) record: Option<PendingRecord>,
}

impl RequestHandler {
    /// Finds the servers that may run a request. `taken_up` is the id of the stream that it takes up, if it names
    /// one.
    pub(super) async fn find_start(
        &self,
        request: &AdmittedRequest<'_>,
        taken_up: Option<&str>,
        is_taken_up: bool,
        stats: &mut RequestStats,
    ) -> Result<StreamStart, Outcome> {
        // The id of a request that takes a stream up tells nothing about the stream.
        let Some(pool) = request.route.pool_of(request.id).cloned() else {
            let reason = "route without pool";
            return Err(not_run(request, RETRY_AFTER_NO_SERVER, reason));
        };
        let mut start = StreamStart {
            pool,
            version: RequiredVersion::Any,
            record: None,
        };
        if !is_taken_up {
            return Ok(start);
        }
        stats.takes_up = taken_up.map(Name::from);
        start.version = RequiredVersion::Unknown;
        if !request.route.kind.is_retryable() {
            return Ok(start);
        }
        let life = StreamLife::new(request.caller_waits);
        let versions = self.dispatcher.versions();
        let Some(found) = versions.take_up(request.route, taken_up, life).await else {
            return Ok(start);
        };
        if !request.route.leads_to(&found.origin.pool) {
            let reason = "service of the stream not on the route";
            return Err(not_run_finally(request, reason));
        }
        start.pool = found.origin.pool;
        start.version = RequiredVersion::of_stream(found.origin.version);
        start.record = found.record;
        if let RequiredVersion::Exactly(version) = &start.version {
            stats.version = Some(version.clone());
        }
        Ok(start)
    }
}
