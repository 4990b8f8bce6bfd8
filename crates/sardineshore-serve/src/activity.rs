//! Requests in progress at the servers of each failure domain, calls for pieces included: operators need to
//! know when nothing runs any more in a domain that is evacuated.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use sardineshore_core::flow::config::Name;
use tokio::sync::Notify;

/// Counts the requests in progress by failure domain.
#[derive(Debug, Default)]
pub struct DomainActivity {
    domains: RefCell<HashMap<Name, Activity>>,
    ended: Notify,
}

/// What is in progress in one domain.
#[derive(Debug, Clone, Copy)]
pub struct Activity {
    /// Requests that were sent and have not ended.
    pub in_progress: u32,
    /// When the last one was sent.
    pub sent_at: Instant,
}

/// A request in progress, until it is dropped.
#[derive(Debug)]
pub struct ActivityGuard {
    activity: Rc<DomainActivity>,
    domain: Name,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let mut domains = self.activity.domains.borrow_mut();
        if let Some(known) = domains.get_mut(&self.domain) {
            known.in_progress = known.in_progress.saturating_sub(1);
            if known.in_progress == 0 {
                self.activity.ended.notify_one();
            }
        }
    }
}

impl DomainActivity {
    /// Records that a request is sent to a server of a domain.
    #[must_use]
    pub fn begin(self: &Rc<Self>, domain: &Name) -> ActivityGuard {
        let sent_at = Instant::now();
        let mut domains = self.domains.borrow_mut();
        let known = domains.entry(domain.clone()).or_insert(Activity {
            in_progress: 0,
            sent_at,
        });
        known.in_progress += 1;
        known.sent_at = sent_at;
        ActivityGuard {
            activity: self.clone(),
            domain: domain.clone(),
        }
    }

    /// What is in progress in a domain; `None` if nothing was ever sent there.
    #[must_use]
    pub fn of(&self, domain: &str) -> Option<Activity> {
        self.domains.borrow().get(domain).copied()
    }

    /// Waits until the last request in a domain ends.
    pub async fn wait_for_end(&self) {
        self.ended.notified().await;
    }
}
