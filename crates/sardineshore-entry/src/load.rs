//! Polls the load of backend servers at a limited rate, and logs the router's own decisions.

use std::time::Duration;

use http_types::{Method, Request, Url};
use sardineshore_core::{LoadPoll, RoutingDecision, RoutingNotice};
use sardineshore_wire::backend::LoadReport;
use sardineshore_wire::http::ClientError;

use crate::dispatch::load_figures;
use crate::instance::Instance;

/// Time between two polls; each poll reads one backend server.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Age from which a load report is refreshed by a poll.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Maximum time for one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls backend servers one at a time, the one with the oldest report first; never returns.
pub async fn poll_loads(instance: &Instance) {
    loop {
        async_std::task::sleep(POLL_INTERVAL).await;
        log_notices(instance);
        let now = instance.clock.now();
        let next = instance.tables.router().next_load_poll(MAX_REPORT_AGE, now);
        if let Some(polled) = next {
            poll_one(instance, &polled).await;
        }
    }
}

async fn poll_one(instance: &Instance, polled: &LoadPoll) {
    let Ok(url) = Url::parse(&format!("http://{}/v1/load", polled.addr)) else {
        return;
    };
    let req = Request::new(Method::Get, url);
    let reply = instance.client.send(&polled.addr, req, POLL_TIMEOUT).await;
    if let Err(err @ (ClientError::NotSent(_) | ClientError::ConnectTimedOut)) = &reply {
        instance
            .quarantine
            .record_no_connection(instance, &polled.server, err);
    }
    let report = reply
        .ok()
        .and_then(|reply| serde_json::from_slice::<LoadReport>(&reply.body).ok());
    if let Some(report) = report.filter(|report| report.server == polled.server) {
        let now = instance.clock.now();
        instance
            .quarantine
            .record_contact(instance, &polled.server, report.incarnation);
        let mut router = instance.tables.router();
        router.record_load(&polled.server, &load_figures(&report), now);
    }
}

fn log_notices(instance: &Instance) {
    let notices = instance.tables.router().take_notices();
    for notice in notices {
        instance.metrics.policy.count_notice(&notice);
        let text = notice_text(&notice);
        match notice.decision {
            RoutingDecision::Returned | RoutingDecision::Leaving => {
                instance.event_log.info(&notice.event_kind(), text);
            }
            _ => instance.event_log.warn(&notice.event_kind(), text),
        }
    }
}

fn notice_text(notice: &RoutingNotice) -> String {
    let RoutingNotice { server, pool, .. } = notice;
    match notice.decision {
        RoutingDecision::Ejected { length } | RoutingDecision::Paused { length } => {
            format!(
                "server {server} of pool {pool}, for {} ms",
                length.as_millis()
            )
        }
        _ => format!("server {server} of pool {pool}"),
    }
}
