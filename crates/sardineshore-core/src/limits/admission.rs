//! Admission of requests to one entry instance.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::{CustomerId, NotRunReason, PipelineId, RequestId};

new_key_type! {
    /// A request's place in admission, from its offer until it has finished.
    pub struct Ticket;
}

/// Settings of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Most requests that run at once.
    pub running_max: usize,
    /// Most requests that wait, of all customers.
    pub queued_max: usize,
    /// Most requests of one customer that wait.
    pub queued_per_customer_max: usize,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            running_max: 512,
            queued_max: 1024,
            queued_per_customer_max: 256,
        }
    }
}

/// A request that asks to run.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// Request.
    pub request: RequestId,
    /// Customer.
    pub customer: CustomerId,
    /// Pipeline.
    pub pipeline: PipelineId,
    /// Customer's share of capacity relative to other customers.
    pub weight: f64,
    /// When the whole answer must be with the caller.
    pub deadline: Instant,
    /// Time that the request is expected to need once it runs.
    pub cost_estimate: Duration,
}

/// Answer to an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offered {
    /// What becomes of the offered request.
    pub verdict: Verdict,
    /// What becomes of waiting requests because of the offer.
    pub releases: Vec<Released>,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now; report its end with [`Admission::finished`].
    Run(Ticket),
    /// It waits; a [`Released`] with this ticket follows.
    Queued(Ticket),
    /// It does not run.
    Refused(NotRunReason),
}

/// What becomes of a request that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Released {
    /// Its ticket.
    pub ticket: Ticket,
    /// Its identifier.
    pub request: RequestId,
    /// Whether it runs.
    pub release: Release,
}

/// End of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// The request runs now; report its end with [`Admission::finished`].
    Run,
    /// The request does not run; its ticket is void.
    Refused(NotRunReason),
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Completion {
    /// Whether the whole answer was ready within the deadline.
    pub in_time: bool,
    /// Time from the verdict to run until the end.
    pub latency: Duration,
    /// Time spent on backend servers, summed over the stages, as they said.
    pub service: Duration,
}

#[derive(Debug)]
struct Entry {
    offer: Offer,
    running: bool,
}

/// Admission of requests to one entry instance.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    entries: SlotMap<Ticket, Entry>,
    queue: VecDeque<Ticket>,
    running: usize,
}

impl Admission {
    /// Makes an admission without requests.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            entries: SlotMap::with_key(),
            queue: VecDeque::new(),
            running: 0,
        }
    }

    /// Offers a request.
    pub fn offer(&mut self, offer: Offer, now: Instant) -> Offered {
        let verdict = self.decide(offer, now);
        Offered {
            verdict,
            releases: Vec::new(),
        }
    }

    /// Ends a request that ran, or withdraws one that waits; an unknown ticket has no effect.
    ///
    /// The releases include only other requests.
    pub fn finished(&mut self, ticket: Ticket, _: &Completion, now: Instant) -> Vec<Released> {
        let Some(entry) = self.entries.remove(ticket) else {
            return Vec::new();
        };
        if entry.running {
            self.running -= 1;
        } else {
            self.queue.retain(|queued| *queued != ticket);
        }
        self.release(now)
    }

    /// Refuses waiting requests that can't finish in time any more; to be called periodically.
    pub fn expired(&mut self, now: Instant) -> Vec<Released> {
        self.release(now)
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn decide(&mut self, offer: Offer, now: Instant) -> Verdict {
        if now + offer.cost_estimate > offer.deadline {
            return Verdict::Refused(NotRunReason::DeadlineUnreachable);
        }
        if self.running < self.cfg.running_max {
            self.running += 1;
            return Verdict::Run(self.entries.insert(Entry {
                offer,
                running: true,
            }));
        }
        if self.queue.len() >= self.cfg.queued_max {
            return Verdict::Refused(NotRunReason::Overloaded);
        }
        let ticket = self.entries.insert(Entry {
            offer,
            running: false,
        });
        self.queue.push_back(ticket);
        Verdict::Queued(ticket)
    }

    fn release(&mut self, now: Instant) -> Vec<Released> {
        let mut released = Vec::new();
        while self.running < self.cfg.running_max {
            let Some(ticket) = self.queue.pop_front() else {
                break;
            };
            released.push(self.release_one(ticket, now));
        }
        released
    }

    fn release_one(&mut self, ticket: Ticket, now: Instant) -> Released {
        let entry = &mut self.entries[ticket];
        let request = entry.offer.request.clone();
        let release = if now + entry.offer.cost_estimate > entry.offer.deadline {
            self.entries.remove(ticket);
            Release::Refused(NotRunReason::DeadlineUnreachable)
        } else {
            entry.running = true;
            self.running += 1;
            Release::Run
        };
        Released {
            ticket,
            request,
            release,
        }
    }
}
