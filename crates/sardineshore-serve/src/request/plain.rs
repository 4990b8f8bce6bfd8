//! Requests with one whole answer.

use sardineshore_core::flow::selection::{AttemptOutcome, SelectionRequest};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::{AdmittedRequest, ConnectedServer, ExtraHeaders};
use crate::reply::{ErrorResponse, response_head};
use crate::state::elapsed_ms;
use crate::upstream::{ExchangeError, Response};
use super::{Outcome, RETRY_AFTER_NO_SERVER, RETRY_AFTER_REJECTED, RequestHandler, RequestStats, not_run, select_pool};

/// Times its aim after which a repeatable request is sent to another server.
const PATIENCE_AIMS: u32 = 2;

/// End of one send.
enum Sent {
    /// Whole answer.
    Whole(Response, Vec<u8>),
    /// Not run, says the server.
    Rejected,
    /// May have run.
    Lost(&'static str),
}

impl RequestHandler {
    pub(super) async fn serve_plain<W: AsyncWrite + Unpin>(
        &self,
        request: &AdmittedRequest<'_>,
        wr: &mut W,
        keep: bool,
        stats: &mut RequestStats,
    ) -> Outcome {
        let Some(pool) = select_pool(request.route, request.id) else {
            return not_run(request, RETRY_AFTER_NO_SERVER, "route without pool");
        };
        let mut need = SelectionRequest {
            pool,
            seed: xxh3_64(request.id.as_bytes()),
            ..SelectionRequest::default()
        };
        let most = request.route.max_attempts.max(1);
        let repeatable = request.route.kind.is_retryable();
        let mut lost = None;
        loop {
            let Some(mut connected) = self.dispatcher.connect(&mut need, request).await else {
                return match lost {
                    Some(reason) => Outcome::Failed(ErrorResponse::OutcomeUnknown(reason)),
                    None => not_run(request, RETRY_AFTER_NO_SERVER, "no server"),
                };
            };
            let again = stats.attempts > 0;
            if !self.dispatcher.try_acquire_send(&need.pool, again) {
                return match lost {
                    Some(reason) => Outcome::Failed(ErrorResponse::OutcomeUnknown(reason)),
                    None => not_run(request, RETRY_AFTER_REJECTED, "no repeats left"),
                };
            }
            stats.attempts += 1;
            stats.server = Some(connected.server.id.clone());
            need.tried.push(connected.server.id.clone());
            let more = repeatable && stats.attempts < most;
            match self.send_plain(&mut connected, request, more).await {
                Sent::Whole(response, body) => {
                    let status = response.head.status;
                    self.dispatcher.recycle(connected.conn, &response);
                    if status >= 500 && more {
                        lost = Some("failed at the server");
                        continue;
                    }
                    stats.first_byte_ms = Some(elapsed_ms(request.arrived_at));
                    let mut out =
                        response_head(status, &response.head.headers, Some(body.len()), !keep);
                    out.extend_from_slice(&body);
                    return match wr.write_all(&out).await {
                        Ok(()) => Outcome::Completed(status),
                        Err(_) => Outcome::CallerDisconnected,
                    };
                }
                Sent::Rejected if stats.attempts < most => {}
                Sent::Rejected => {
                    return match lost {
                        Some(reason) => Outcome::Failed(ErrorResponse::OutcomeUnknown(reason)),
                        None => not_run(request, RETRY_AFTER_REJECTED, "rejected by the server"),
                    };
                }
                Sent::Lost(reason) if more => lost = Some(reason),
                Sent::Lost(reason) => {
                    return Outcome::Failed(if request.time_to_deadline().is_zero() {
                        ErrorResponse::DeadlineExceeded
                    } else {
                        ErrorResponse::OutcomeUnknown(reason)
                    });
                }
            }
        }
    }

    async fn send_plain(
        &self,
        connected: &mut ConnectedServer,
        request: &AdmittedRequest<'_>,
        more: bool,
    ) -> Sent {
        let left = request.time_to_deadline();
        let patience = if more {
            (request.route.target_latency * PATIENCE_AIMS).min(left / 2)
        } else {
            left
        };
        let exchange = self.exchange_plain(connected, request);
        let exchanged = tokio::time::timeout(patience, exchange).await;
        let attempt = &connected.attempt;
        match exchanged {
            Ok(Ok((response, body))) => {
                let status = response.head.status;
                let fields = self.dialect.header_names();
                let headers = &response.head.headers;
                if status == 421 || headers.get(fields.not_run).is_some() {
                    attempt.finish(AttemptOutcome::Rejected);
                    return Sent::Rejected;
                }
                let sealed = headers.get(fields.signature).is_some();
                let promises = matches!(status, 408 | 421 | 429 | 503);
                let encoded = headers.get("content-encoding").is_some();
                if !sealed || promises || encoded {
                    attempt.finish(AttemptOutcome::Failure);
                    return Sent::Lost("answer can't be trusted");
                }
                attempt.finish(if status >= 500 {
                    AttemptOutcome::Failure
                } else {
                    AttemptOutcome::Answered(attempt.elapsed())
                });
                Sent::Whole(response, body)
            }
            Ok(Err(ExchangeError::InvalidResponse(_) | ExchangeError::ResponseTooLarge)) => {
                attempt.finish(AttemptOutcome::Failure);
                Sent::Lost("no answer")
            }
            Ok(Err(_)) => {
                attempt.finish(AttemptOutcome::Broken);
                Sent::Lost("connection broke")
            }
            Err(_) => {
                attempt.finish(AttemptOutcome::Broken);
                Sent::Lost("server silent")
            }
        }
    }

    async fn exchange_plain(
        &self,
        connected: &mut ConnectedServer,
        request: &AdmittedRequest<'_>,
    ) -> Result<(Response, Vec<u8>), ExchangeError> {
        let sent = self
            .dispatcher
            .send(connected, request, ExtraHeaders::default());
        let mut response = sent.await?;
        let body = connected.conn.read_body(&mut response).await?;
        Ok((response, body))
    }
}
