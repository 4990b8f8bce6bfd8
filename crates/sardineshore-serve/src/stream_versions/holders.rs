//! Copies of streams' origins at other instances, for when their own instance is lost and a restored store lacks
//! their records.
//!
//! A few instances in different failure domains hold the copies of all. They are sent in batches, once a
//! stream's first event is about to be forwarded, and are not acknowledged. Nothing is concluded from the absence
//! of a copy.

use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use sardineshore_core::flow::cells::rank_across_domains;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::stream_versions::{StreamCopy, StreamOrigin};
use slog::{debug, info};
use tokio::sync::mpsc;

use super::{CHECK_INTERVAL, PendingRecord, VersionRecords};
use crate::peers::{Link, Message};

/// Name under which the holders are chosen.
const HOLDERS: &str = "stream copies";
/// Number of instances that hold a stream's copy.
const COPIES: usize = 3;
/// Number of instances that are asked. Instances differ in which holders they choose, as none chooses itself.
const ASKED: usize = 4;
/// Time for which copies wait for others that go in the same message.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of copies in one message.
const MAX_BATCH: usize = 2000;
/// Longest time to wait for answers.
const ANSWER_TIME: Duration = Duration::from_millis(400);

impl VersionRecords {
    /// Records that the first event of a stream is about to be forwarded, so that its origin is certain.
    pub fn record_first_event(&self, record: &PendingRecord) {
        let mut known = self.known.borrow_mut();
        let copy = known.record_first_event(&record.route, &record.stream, Instant::now());
        drop(known);
        if let Some(copy) = copy {
            self.copies.borrow_mut().push(copy);
            self.to_copy.notify_one();
        }
    }

    /// Sends copies of streams to their holders, forever. A holder that has no copies yet, or may have started
    /// again, gets all.
    pub async fn send_copies(self: Rc<Self>) {
        loop {
            let _waited = tokio::time::timeout(CHECK_INTERVAL, self.to_copy.notified()).await;
            tokio::time::sleep(BATCH_DELAY).await;
            let mut new = self.copies.take();
            if self.may_need_copies.take() {
                let due = self.known.borrow_mut().take_copies_due(Instant::now());
                new.extend(due);
            }
            let has_copies = !new.is_empty() || !self.all_copies().is_empty();
            if !has_copies {
                continue;
            }
            for holder in self.holders(COPIES) {
                let Some(link) = self.peers.link(&holder).await else {
                    debug!(self.log, "can't reach a holder of streams"; "holder" => &*holder);
                    continue;
                };
                let before = self.links.borrow().get(&holder).and_then(Weak::upgrade);
                if before.is_none_or(|before| !Rc::ptr_eq(&before, &link)) {
                    send(&link, &self.all_copies());
                    self.links.borrow_mut().insert(holder, Rc::downgrade(&link));
                }
                send(&link, &new);
            }
        }
    }

    /// Has streams copied whose origin may not be evident any more.
    pub(super) fn check_copies(&self) {
        self.may_need_copies.set(true);
        self.to_copy.notify_one();
    }

    /// Streams of this instance that others are told of.
    fn all_copies(&self) -> Vec<StreamCopy> {
        self.known.borrow().copies(Instant::now()).collect()
    }

    /// Holds streams for another instance.
    pub fn hold(&self, copies: Vec<StreamCopy>) {
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        for copy in copies {
            known.hold(copy, now);
        }
    }

    /// A stream that this instance holds or remembers.
    #[must_use]
    pub fn find_copy(&self, stream: &str) -> Option<StreamCopy> {
        self.known.borrow().find_copy(stream)
    }

    /// Records a holder's answer to a question.
    pub fn record_answer(&self, question: u64, copy: Option<StreamCopy>) {
        if let Some(answers) = self.questions.borrow().get(&question) {
            let _given_up = answers.send(copy);
        }
    }

    /// Asks the holders where a stream began.
    pub(super) async fn ask_holders(&self, stream: &str) -> Option<StreamOrigin> {
        let question = self.next_question.replace(self.next_question.get() + 1);
        let (tx, mut answers) = mpsc::unbounded_channel();
        self.questions.borrow_mut().insert(question, tx);
        let mut asked = 0;
        let answered = async {
            let holders = self.holders(ASKED);
            let links = holders.iter().map(|holder| self.peers.link(holder));
            for link in futures::future::join_all(links).await.into_iter().flatten() {
                asked += 1;
                link.send(&Message::FindStream {
                    question,
                    stream: stream.into(),
                });
            }
            for _ in 0..asked {
                if let Some(Some(copy)) = answers.recv().await {
                    return Some(copy.origin);
                }
            }
            None
        };
        let answered = tokio::time::timeout(ANSWER_TIME, answered).await;
        self.questions.borrow_mut().remove(&question);
        let origin = answered.ok().flatten();
        info!(self.log, "asked other instances where a stream began"; "stream" => stream, "asked" => asked,
            "pool" => origin.as_ref().map(|origin| &*origin.pool),
            "version" => origin.as_ref().and_then(|origin| origin.version.as_deref()));
        origin
    }

    /// The first holders of the streams of this instance.
    fn holders(&self, count: usize) -> Vec<Name> {
        let own = &self.peers.this_instance().name;
        let mut others = self.peers.candidates();
        others.retain(|candidate| candidate.name != *own);
        others.retain(|candidate| !self.peers.is_unreachable(&candidate.name));
        rank_across_domains(HOLDERS, &others, count)
    }
}

fn send(link: &Link, copies: &[StreamCopy]) {
    for copies in copies.chunks(MAX_BATCH) {
        link.send(&Message::HoldStreams(copies.to_vec()));
    }
}
