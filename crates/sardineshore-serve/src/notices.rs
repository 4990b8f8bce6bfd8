//! Records what servers say about themselves in the heads of their responses.

use std::rc::Rc;
use std::time::Instant;

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::notices::{ServerNotice, ServerRun, parse_pause};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::dialect::Dialect;
use crate::http1::ResponseHead;
use crate::state::{SharedState, whole_ms};

/// Reads notices from responses.
#[derive(Debug)]
pub struct NoticeReader {
    state: Rc<SharedState>,
    dialect: Rc<dyn Dialect>,
    log: Logger,
    recorded: Notify,
}

impl NoticeReader {
    /// Creates a reader that records notices in `state`.
    #[must_use]
    pub fn new(state: Rc<SharedState>, dialect: Rc<dyn Dialect>, log: Logger) -> Self {
        Self {
            state,
            dialect,
            log,
            recorded: Notify::new(),
        }
    }

    /// Where notices are recorded.
    #[must_use]
    pub fn state(&self) -> &Rc<SharedState> {
        &self.state
    }

    /// Waits until a notice was recorded that was news.
    pub async fn wait_for_news(&self) {
        self.recorded.notified().await;
    }

    /// The run of a server to which a request is about to be sent; `None` if it is not listed.
    #[must_use]
    pub fn listed_run(&self, server: &Name) -> Option<ServerRun> {
        self.state.selector.borrow().listed_run(server)
    }

    /// Records the notice in the head of a response, if there is one. `run` was listed when the request
    /// was sent.
    pub fn record(&self, run: &ServerRun, head: &ResponseHead) {
        // Another server may listen at the address by now.
        if head.status == 421 {
            return;
        }
        let leaving = head.headers.get(self.dialect.header_names().leaving);
        let retry_after = head.headers.get("retry-after");
        let notice = ServerNotice {
            leaving: leaving.is_some_and(|value| value.trim() == "1"),
            pause: retry_after
                .filter(|_| head.status == 503)
                .and_then(parse_pause),
        };
        let now = Instant::now();
        let mut selector = self.state.selector.borrow_mut();
        let accepted_work = selector.accepts_work(&run.id, now);
        if selector.record_notice(run, notice, now) {
            info!(self.log, "notice of a server"; "server" => &*run.id, "leaving" => notice.leaving, "pause_ms" => notice.pause.map(whole_ms), "was_ready" => accepted_work);
            self.recorded.notify_one();
        }
    }
}
