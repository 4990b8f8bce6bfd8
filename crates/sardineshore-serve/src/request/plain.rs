//! Requests with a single complete response, as opposed to a stream of events.
//!
//! A request is sent again after a rejection, which proves that it has not run. After any other
//! failure only a retryable request is sent again.

use sardineshore_core::flow::selection::{AttemptOutcome, SelectionRequest};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use xxhash_rust::xxh3::xxh3_64;

use super::{Outcome, RETRY_AFTER_REJECTED, RequestHandler, RequestStats, not_run, select_pool};
use crate::attempt::{AdmittedRequest, ConnectedServer, ExtraHeaders, RETRY_AFTER_NO_SERVER};
use crate::reply::{ErrorResponse, response_head};
use crate::state::elapsed_ms;
use crate::upstream::{ExchangeError, Response};

/// Multiple of the route's target latency after which a retryable request is sent to another
/// server.
const RETRY_LATENCY_FACTOR: u32 = 2;

/// Result of one attempt.
enum SendResult {
    /// The server sent a complete response that can be forwarded.
    Complete(Response, Vec<u8>),
    /// The server confirmed that it has not run the request.
    Rejected,
    /// There is no usable response. The server may have run the request; with the reason for the
    /// log.
    Lost(&'static str),
}

impl RequestHandler {
    /// Sends the request until a server responds, and forwards the response.
    pub(super) async fn handle_plain<W: AsyncWrite + Unpin>(
        &self,
        request: &AdmittedRequest<'_>,
        wr: &mut W,
        keep_alive: bool,
        stats: &mut RequestStats,
    ) -> Outcome {
        let Some(pool) = select_pool(request.route, request.id) else {
            return not_run(request, RETRY_AFTER_NO_SERVER, "route without pool");
        };
        let mut selection = SelectionRequest {
            pool,
            seed: xxh3_64(request.id.as_bytes()),
            ..SelectionRequest::default()
        };
        let max_attempts = request.route.max_attempts.max(1);
        let retryable = request.route.kind.is_retryable();
        // Why an earlier attempt was lost. Once set, the caller must not be told that the request
        // has not run.
        let mut lost = None;
        loop {
            let connected = self.dispatcher.connect(&mut selection, request).await;
            let mut connected = match (connected, lost) {
                (Ok(connected), _) => connected,
                (Err(_), Some(reason)) => {
                    return Outcome::Failed(ErrorResponse::OutcomeUnknown(reason));
                }
                (Err(retry_after), None) => return not_run(request, retry_after, "no server"),
            };
            let is_retry = stats.attempts > 0;
            let permit = self.dispatcher.try_acquire_send(&selection.pool, is_retry);
            let Some(permit) = permit else {
                return match lost {
                    Some(reason) => Outcome::Failed(ErrorResponse::OutcomeUnknown(reason)),
                    None => not_run(request, RETRY_AFTER_REJECTED, "no repeats left"),
                };
            };
            if let Some(refused) = self.refuse_quarantined(request, lost) {
                return refused;
            }
            permit.use_up();
            stats.attempts += 1;
            stats.server = Some(connected.server.id.clone());
            selection.tried.push(connected.server.id.clone());
            // Whether another attempt may follow although this one may have run the request.
            let may_retry = retryable && stats.attempts < max_attempts;
            let sent = self.send_once(&mut connected, request, may_retry).await;
            if let SendResult::Lost(reason) = sent {
                self.record_lost_attempt(request, &connected, reason).await;
            }
            match sent {
                SendResult::Complete(response, body) => {
                    let status = response.head.status;
                    self.dispatcher.crashes().record_output(&request.features);
                    self.dispatcher.recycle(connected.conn, &response);
                    if status >= 500 && may_retry {
                        lost = Some("failed at the server");
                        continue;
                    }
                    stats.first_byte_ms = Some(elapsed_ms(request.arrived_at));
                    let mut out = response_head(
                        status,
                        &response.head.headers,
                        Some(body.len()),
                        !keep_alive,
                    );
                    out.extend_from_slice(&body);
                    return match wr.write_all(&out).await {
                        Ok(()) => Outcome::Completed(status),
                        Err(_) => Outcome::CallerDisconnected,
                    };
                }
                SendResult::Rejected if stats.attempts < max_attempts => {}
                SendResult::Rejected => {
                    return match lost {
                        Some(reason) => Outcome::Failed(ErrorResponse::OutcomeUnknown(reason)),
                        None => not_run(request, RETRY_AFTER_REJECTED, "rejected by the server"),
                    };
                }
                SendResult::Lost(reason) if may_retry => lost = Some(reason),
                SendResult::Lost(reason) => {
                    return Outcome::Failed(if request.time_to_deadline().is_zero() {
                        ErrorResponse::DeadlineExceeded
                    } else {
                        ErrorResponse::OutcomeUnknown(reason)
                    });
                }
            }
        }
    }

    /// Sends the request once and reads the whole response. With `may_retry` it waits only so long
    /// that another server can still respond in time.
    async fn send_once(
        &self,
        connected: &mut ConnectedServer,
        request: &AdmittedRequest<'_>,
        may_retry: bool,
    ) -> SendResult {
        let time_left = request.time_to_deadline();
        let attempt_timeout = if may_retry {
            (request.route.target_latency * RETRY_LATENCY_FACTOR).min(time_left / 2)
        } else {
            time_left
        };
        let exchange = self.exchange(connected, request);
        let exchanged = tokio::time::timeout(attempt_timeout, exchange).await;
        let attempt = &connected.attempt;
        match exchanged {
            Ok(Ok((response, body))) => {
                let status = response.head.status;
                let fields = self.dialect.header_names();
                let headers = &response.head.headers;
                if status == 421 || headers.get(fields.not_run).is_some() {
                    attempt.finish(AttemptOutcome::Rejected);
                    return SendResult::Rejected;
                }
                let signed = headers.get(fields.signature).is_some();
                // Callers read these statuses as "not run, send again". Without the header field
                // that confirms it, the request may have run.
                let implies_not_run = matches!(status, 408 | 421 | 429 | 503);
                let encoded = headers.get("content-encoding").is_some();
                if !signed || implies_not_run || encoded {
                    attempt.finish(AttemptOutcome::Failure);
                    return SendResult::Lost("answer can't be trusted");
                }
                attempt.finish(if status >= 500 {
                    AttemptOutcome::Failure
                } else {
                    AttemptOutcome::Answered(attempt.elapsed())
                });
                SendResult::Complete(response, body)
            }
            Ok(Err(ExchangeError::InvalidResponse(_) | ExchangeError::ResponseTooLarge)) => {
                attempt.finish(AttemptOutcome::Failure);
                SendResult::Lost("no answer")
            }
            Ok(Err(_)) => {
                attempt.record_lost_connection();
                attempt.finish(AttemptOutcome::Broken);
                SendResult::Lost("connection broke")
            }
            Err(_) => {
                attempt.finish(AttemptOutcome::Broken);
                SendResult::Lost("server silent")
            }
        }
    }

    /// Sends the request and reads the response with its body.
    async fn exchange(
        &self,
        connected: &mut ConnectedServer,
        request: &AdmittedRequest<'_>,
    ) -> Result<(Response, Vec<u8>), ExchangeError> {
        let (server, conn) = (&connected.server, &mut connected.conn);
        let sent = self
            .dispatcher
            .send(server, conn, request, ExtraHeaders::default());
        let mut response = sent.await?;
        let body = connected.conn.read_body(&mut response).await?;
        Ok((response, body))
    }
}
