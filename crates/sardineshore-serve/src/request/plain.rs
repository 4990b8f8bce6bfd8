//! Requests with a single complete response, as opposed to a stream of events.
//!
//! A request is sent again after a rejection, which proves that it has not run. After any other
//! failure only a retryable request is sent again.

use std::time::Duration;

use sardineshore_core::flow::selection::{AttemptOutcome, SelectionRequest};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Outcome, RETRY_AFTER_REJECTED, RequestHandler, RequestStats, deadline_exceeded, not_run,
};
use crate::attempt::{AdmittedRequest, ConnectedServer, ExtraHeaders, RETRY_AFTER_NO_SERVER};
use crate::reply::{ErrorResponse, response_head};
use crate::state::elapsed_ms;
use crate::upstream::{ExchangeError, Response};

/// Multiple of the route's target latency after which a retryable request is sent to another
/// server, if there is one.
const RETRY_LATENCY_FACTOR: u32 = 2;

/// Why an attempt is lost whose server sent nothing in time.
const SERVER_SILENT: &str = "server silent";

/// Result of one attempt.
enum SendResult {
    /// The server sent a complete response that can be forwarded.
    Complete(Response, Vec<u8>),
    /// The server confirmed that it has not run the request.
    Rejected,
    /// There is no usable response. The server may have run the request; with the reason for the
    /// log.
    Lost(&'static str),
    /// The server is silent, and the request can be sent to this one instead.
    Replaced(Box<ConnectedServer>),
}

/// How the wait for a response ended.
enum Exchanged {
    /// With the response or a fault of the connection.
    Ended(Result<(Response, Vec<u8>), ExchangeError>),
    /// The server sent no complete response in time; with the server that gets the request next.
    Silent(Option<Box<ConnectedServer>>),
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
        let Some(pool) = request.route.pool_of(request.id).cloned() else {
            return not_run(request, RETRY_AFTER_NO_SERVER, "route without pool");
        };
        let mut selection = SelectionRequest {
            pool,
            seed: xxh3_64(request.id.as_bytes()),
            body_bytes: request.body.len() as u64,
            ..SelectionRequest::default()
        };
        let max_attempts = request.route.max_attempts.max(1);
        let retryable = request.route.kind.is_retryable();
        // Why an earlier attempt was lost. Once set, the caller must not be told that the request
        // has not run.
        let mut lost = None;
        let mut replacement = None;
        loop {
            let is_retry = stats.attempts > 0;
            selection.healthy_only = false;
            let next = if let Some(connected) = replacement.take() {
                self.dispatcher
                    .connect_elsewhere_if_closed(connected, &mut selection, request)
                    .await
                    .map_err(|wait| unserved(request, lost, wait, "no server"))
            } else {
                self.next_server(&mut selection, request, is_retry, lost)
                    .await
            };
            let mut connected = match next {
                Ok(connected) => connected,
                Err(outcome) => return outcome,
            };
            stats.attempts += 1;
            stats.server = Some(connected.server.id.clone());
            selection.tried.push(connected.server.id.clone());
            // Whether another attempt may follow although this one may have run the request.
            let may_retry = retryable && stats.attempts < max_attempts;
            let sent = self
                .send_once(&mut connected, &mut selection, request, may_retry)
                .await;
            match sent {
                SendResult::Lost(reason) => {
                    self.record_lost_attempt(request, &connected, reason).await;
                }
                SendResult::Replaced(_) => {
                    self.record_lost_attempt(request, &connected, SERVER_SILENT)
                        .await;
                }
                SendResult::Complete(..) | SendResult::Rejected => {}
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
                    return unserved(
                        request,
                        lost,
                        RETRY_AFTER_REJECTED,
                        "rejected by the server",
                    );
                }
                SendResult::Replaced(connected) => {
                    lost = Some(SERVER_SILENT);
                    replacement = Some(*connected);
                }
                SendResult::Lost(reason) if may_retry && !request.time_to_deadline().is_zero() => {
                    lost = Some(reason);
                }
                SendResult::Lost(reason) => {
                    return Outcome::Failed(if request.time_to_deadline().is_zero() {
                        deadline_exceeded(request)
                    } else {
                        ErrorResponse::OutcomeUnknown(reason)
                    });
                }
            }
        }
    }

    /// Connects to the server that gets the request next, and takes the retry from the budget if it
    /// is one. Fails with the outcome of the request if it can't be sent.
    async fn next_server(
        &self,
        selection: &mut SelectionRequest,
        request: &AdmittedRequest<'_>,
        is_retry: bool,
        lost: Option<&'static str>,
    ) -> Result<ConnectedServer, Outcome> {
        let connected = match self.dispatcher.connect(selection, request).await {
            Ok(connected) => connected,
            Err(retry_after) => return Err(unserved(request, lost, retry_after, "no server")),
        };
        let permit = self.dispatcher.try_acquire_send(&selection.pool, is_retry);
        let Some(permit) = permit else {
            // Nothing was sent on the connection.
            self.dispatcher.recycle(connected.conn, &Response::empty());
            return Err(unserved(
                request,
                lost,
                RETRY_AFTER_REJECTED,
                "no repeats left",
            ));
        };
        let refused = if lost.is_none() {
            self.refuse_first_send(request).await
        } else {
            self.refuse_quarantined(request, lost)
        };
        if let Some(refused) = refused {
            return Err(refused);
        }
        let connected = self
            .dispatcher
            .connect_elsewhere_if_closed(connected, selection, request)
            .await
            .map_err(|retry_after| unserved(request, lost, retry_after, "no server"))?;
        permit.use_up();
        Ok(connected)
    }

    /// Sends the request once and reads the whole response. With `may_retry` it waits only so long
    /// that another server can still respond in time, but until the deadline if the request can't
    /// be sent to another one: a sound server may be silent for a while.
    async fn send_once(
        &self,
        connected: &mut ConnectedServer,
        selection: &mut SelectionRequest,
        request: &AdmittedRequest<'_>,
        may_retry: bool,
    ) -> SendResult {
        let exchanged = self
            .exchange_until_replaced(connected, selection, request, may_retry)
            .await;
        let attempt = &connected.attempt;
        match exchanged {
            Exchanged::Ended(Ok((response, body))) => {
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
            Exchanged::Ended(Err(error)) => {
                connected.record_fault(&error);
                if let ExchangeError::NotSent = error {
                    return SendResult::Rejected;
                }
                SendResult::Lost(if attempt.has_lost_connection() {
                    "connection broke"
                } else {
                    "no answer"
                })
            }
            Exchanged::Silent(replacement) => {
                attempt.finish(AttemptOutcome::Broken);
                replacement.map_or(SendResult::Lost(SERVER_SILENT), SendResult::Replaced)
            }
        }
    }

    /// Exchanges the request for its response, until the deadline or until the server has been
    /// silent for long and another one can take the request.
    async fn exchange_until_replaced(
        &self,
        connected: &mut ConnectedServer,
        selection: &mut SelectionRequest,
        request: &AdmittedRequest<'_>,
        may_retry: bool,
    ) -> Exchanged {
        let time_left = request.time_to_deadline();
        let exchange = tokio::time::timeout(time_left, self.exchange(connected, request));
        tokio::pin!(exchange);
        let replacement = async {
            if !may_retry {
                return None;
            }
            let patience = request.route.target_latency * RETRY_LATENCY_FACTOR;
            tokio::time::sleep(patience.min(time_left / 2)).await;
            selection.healthy_only = true;
            let next = self.next_server(selection, request, true, Some(SERVER_SILENT));
            next.await.ok()
        };
        tokio::select! {
            biased;
            exchanged = &mut exchange => exchanged.map_or(Exchanged::Silent(None), Exchanged::Ended),
            Some(connected) = replacement => Exchanged::Silent(Some(Box::new(connected))),
        }
    }

    /// Sends the request and reads the response with its body.
    async fn exchange(
        &self,
        connected: &mut ConnectedServer,
        request: &AdmittedRequest<'_>,
    ) -> Result<(Response, Vec<u8>), ExchangeError> {
        let (attempt, conn) = (&connected.attempt, &mut connected.conn);
        let sent = self
            .dispatcher
            .send(attempt, conn, request, ExtraHeaders::default());
        let mut response = sent.await?;
        let body = connected.conn.read_body(&mut response).await?;
        Ok((response, body))
    }
}

/// Outcome when no further attempt is made. `lost` tells why an earlier attempt was lost; only
/// without it the request counts as not run.
fn unserved(
    request: &AdmittedRequest<'_>,
    lost: Option<&'static str>,
    retry_after: Duration,
    reason: &'static str,
) -> Outcome {
    match lost {
        Some(lost) => Outcome::Failed(ErrorResponse::OutcomeUnknown(lost)),
        None => not_run(request, retry_after, reason),
    }
}
