//! Admission of requests to one entry instance.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::fair_queue::Waiting;
use super::gate::Gate;
use super::{Completion, Offer, Offered, Release, Released, Ticket, Verdict};
use crate::{NotRunReason, PipelineId};

/// Settings of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Most requests that run at once, of all pipelines.
    pub running_max: usize,
    /// Requests of one pipeline that may run at once before anything was observed.
    pub running_first: f64,
    /// Least limit of the requests of one pipeline that run at once.
    pub running_min: f64,
    /// Most requests that wait, of all pipelines and customers.
    pub queued_max: usize,
    /// Most requests of one customer that wait for one pipeline.
    pub queued_per_customer_max: usize,
    /// Multiple of its time on backend servers that a request may take before fewer are run.
    pub stretch_max: f64,
    /// Share of a request's spare time that it may be expected to wait.
    pub wait_share_max: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            running_max: 1024,
            running_first: 16.0,
            running_min: 2.0,
            queued_max: 1024,
            queued_per_customer_max: 256,
            stretch_max: 2.0,
            wait_share_max: 0.5,
        }
    }
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
    gates: BTreeMap<PipelineId, Gate>,
    running: usize,
    queued: usize,
}

impl Admission {
    /// Makes an admission without requests.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            entries: SlotMap::with_key(),
            gates: BTreeMap::new(),
            running: 0,
            queued: 0,
        }
    }

    /// Offers a request.
    ///
    /// It runs at once if its pipeline's limit and its customer's turn allow it. It is refused if
    /// it can't finish in time or if the queues are full; a request of a customer with a longer
    /// line, for its weight, is refused in its place.
    pub fn offer(&mut self, offer: Offer, now: Instant) -> Offered {
        if let Some(reason) = self.objection(&offer, now) {
            return Offered {
                verdict: Verdict::Refused(reason),
                releases: Vec::new(),
            };
        }
        if self.runs_at_once(&offer.pipeline) {
            return Offered {
                verdict: Verdict::Run(self.run(offer)),
                releases: Vec::new(),
            };
        }
        let mut releases = Vec::new();
        if self.queued >= self.cfg.queued_max {
            let Some(shed) = self.shed_longest(&offer) else {
                return Offered {
                    verdict: Verdict::Refused(NotRunReason::Overloaded),
                    releases,
                };
            };
            releases.push(shed);
        }
        Offered {
            verdict: Verdict::Queued(self.enqueue(offer)),
            releases,
        }
    }

    /// Ends a request that ran, or withdraws one that waits; an unknown ticket has no effect.
    ///
    /// The releases are those of other requests.
    pub fn finished(&mut self, ticket: Ticket, end: &Completion, now: Instant) -> Vec<Released> {
        let Some(entry) = self.entries.remove(ticket) else {
            return Vec::new();
        };
        let gate = gate(&mut self.gates, &entry.offer.pipeline, &self.cfg);
        if entry.running {
            self.running -= 1;
            gate.finished(end, &self.cfg, now);
        } else {
            self.queued -= 1;
            gate.queue.remove(&entry.offer.customer, ticket);
        }
        self.release(now)
    }

    /// Refuses waiting requests that can't finish in time any more; to be called periodically.
    pub fn expired(&mut self, now: Instant) -> Vec<Released> {
        let late: Vec<Ticket> = self
            .gates
            .values()
            .flat_map(|gate| gate.queue.tickets().map(move |ticket| (gate, ticket)))
            .filter(|(gate, ticket)| late(&self.entries[*ticket].offer, gate, now))
            .map(|(_, ticket)| ticket)
            .collect();
        late.into_iter()
            .map(|ticket| self.refuse(ticket, NotRunReason::Overloaded))
            .collect()
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Limit of a pipeline's requests that run at once, if it was ever asked for.
    #[must_use]
    pub fn limit(&self, pipeline: &str) -> Option<f64> {
        self.gates.get(pipeline).map(Gate::limit)
    }

    fn objection(&mut self, offer: &Offer, now: Instant) -> Option<NotRunReason> {
        if now + offer.cost_estimate > offer.deadline {
            return Some(NotRunReason::DeadlineUnreachable);
        }
        if self.runs_at_once(&offer.pipeline) {
            return None;
        }
        let gate = gate(&mut self.gates, &offer.pipeline, &self.cfg);
        let full = gate.queue.len_of(&offer.customer) >= self.cfg.queued_per_customer_max;
        let spare = offer
            .deadline
            .saturating_duration_since(now + gate.needed(offer));
        let too_long = gate.wait(offer) > spare.mul_f64(self.cfg.wait_share_max);
        (full || too_long).then_some(NotRunReason::Overloaded)
    }

    fn runs_at_once(&mut self, pipeline: &PipelineId) -> bool {
        let gate = gate(&mut self.gates, pipeline, &self.cfg);
        gate.open() && gate.queue.len() == 0 && self.running < self.cfg.running_max
    }

    fn run(&mut self, offer: Offer) -> Ticket {
        let gate = gate(&mut self.gates, &offer.pipeline, &self.cfg);
        gate.queue
            .charge(&offer.customer, offer.weight, cost(&offer));
        gate.running += 1;
        self.running += 1;
        self.entries.insert(Entry {
            offer,
            running: true,
        })
    }

    fn shed_longest(&mut self, offer: &Offer) -> Option<Released> {
        let gate = gate(&mut self.gates, &offer.pipeline, &self.cfg);
        let ticket = gate.queue.pop_longest(&offer.customer, offer.weight)?;
        Some(self.refuse(ticket, NotRunReason::Overloaded))
    }

    fn enqueue(&mut self, offer: Offer) -> Ticket {
        let customer = offer.customer.clone();
        let weight = offer.weight;
        let cost = cost(&offer);
        let gate = gate(&mut self.gates, &offer.pipeline, &self.cfg);
        let ticket = self.entries.insert(Entry {
            offer,
            running: false,
        });
        gate.queue.push(&customer, weight, Waiting { ticket, cost });
        self.queued += 1;
        ticket
    }

    fn release(&mut self, now: Instant) -> Vec<Released> {
        let mut released = Vec::new();
        for gate in self.gates.values_mut() {
            while gate.open() && self.running < self.cfg.running_max {
                let Some(ticket) = gate.queue.pop() else {
                    break;
                };
                self.queued -= 1;
                let entry = &mut self.entries[ticket];
                let request = entry.offer.request.clone();
                let release = if late(&entry.offer, gate, now) {
                    gate.queue.refund(&entry.offer.customer, cost(&entry.offer));
                    self.entries.remove(ticket);
                    Release::Refused(NotRunReason::Overloaded)
                } else {
                    entry.running = true;
                    gate.running += 1;
                    self.running += 1;
                    Release::Run
                };
                released.push(Released {
                    ticket,
                    request,
                    release,
                });
            }
        }
        released
    }

    /// Voids the ticket of a waiting request.
    fn refuse(&mut self, ticket: Ticket, reason: NotRunReason) -> Released {
        let entry = self.entries.remove(ticket).expect("the ticket waits");
        if let Some(gate) = self.gates.get_mut(&entry.offer.pipeline) {
            gate.queue.remove(&entry.offer.customer, ticket);
        }
        self.queued -= 1;
        Released {
            ticket,
            request: entry.offer.request,
            release: Release::Refused(reason),
        }
    }
}

fn gate<'a>(
    gates: &'a mut BTreeMap<PipelineId, Gate>,
    pipeline: &PipelineId,
    cfg: &AdmissionConfig,
) -> &'a mut Gate {
    gates
        .entry(pipeline.clone())
        .or_insert_with(|| Gate::new(cfg))
}

/// Work that a request stands for, in seconds.
fn cost(offer: &Offer) -> f64 {
    const COST_MIN: Duration = Duration::from_millis(1);
    offer.cost_estimate.max(COST_MIN).as_secs_f64()
}

/// Whether a waiting request can't finish in time any more.
fn late(offer: &Offer, gate: &Gate, now: Instant) -> bool {
    now + gate.needed(offer) > offer.deadline
}
