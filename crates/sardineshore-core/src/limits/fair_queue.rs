//! Start-time fair queueing between customers by weight.

use std::collections::{BTreeMap, VecDeque};

use slotmap::{SlotMap, new_key_type};

use super::Ticket;
use crate::CustomerId;

/// Customers without waiting requests that are remembered before they are pruned.
const IDLE_MAX: usize = 4096;
/// Least weight of a customer.
const WEIGHT_MIN: f64 = 0.001;

new_key_type! {
    /// Key of a customer in a queue.
    struct FlowKey;
}

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Waiting {
    /// Its ticket.
    pub(super) ticket: Ticket,
    /// Work that it stands for, in any unit.
    pub(super) cost: f64,
}

/// Waiting requests of one customer, oldest first.
#[derive(Debug)]
struct Flow {
    customer: CustomerId,
    weight: f64,
    waiting: VecDeque<Waiting>,
    /// Virtual time at which its last served request ends.
    finish: f64,
}

/// Queue that serves customers in proportion to their weights, whatever they send.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    flows: SlotMap<FlowKey, Flow>,
    names: BTreeMap<CustomerId, FlowKey>,
    virtual_time: f64,
    len: usize,
}

impl Flow {
    /// Virtual time at which its oldest request starts.
    fn start(&self, virtual_time: f64) -> f64 {
        self.finish.max(virtual_time)
    }

    fn backlog(&self) -> f64 {
        self.waiting.len() as f64 / self.weight
    }
}

impl FairQueue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Number of waiting requests of one customer.
    pub(super) fn len_of(&self, customer: &CustomerId) -> usize {
        self.names
            .get(customer)
            .map_or(0, |key| self.flows[*key].waiting.len())
    }

    /// Sum of the weights of customers that have waiting requests.
    pub(super) fn active_weight(&self) -> f64 {
        self.active().map(|(_, flow)| flow.weight).sum()
    }

    /// Adds a request at the end of its customer's line.
    pub(super) fn push(&mut self, customer: &CustomerId, weight: f64, waiting: Waiting) {
        let key = self.flow(customer);
        let flow = &mut self.flows[key];
        flow.weight = weight.max(WEIGHT_MIN);
        flow.waiting.push_back(waiting);
        self.len += 1;
    }

    /// Charges a customer for a request that runs without having waited.
    pub(super) fn charge(&mut self, customer: &CustomerId, weight: f64, cost: f64) {
        let key = self.flow(customer);
        let flow = &mut self.flows[key];
        flow.weight = weight.max(WEIGHT_MIN);
        let start = flow.start(self.virtual_time);
        flow.finish = start + cost / flow.weight;
        self.virtual_time = start;
    }

    /// Takes the oldest request of the customer whose turn it is.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let virtual_time = self.virtual_time;
        let (key, _) = self.active().min_by(|(_, a), (_, b)| {
            let (a, b) = (a.start(virtual_time), b.start(virtual_time));
            a.total_cmp(&b)
        })?;
        let flow = &mut self.flows[key];
        let start = flow.start(virtual_time);
        let waiting = flow.waiting.pop_front()?;
        flow.finish = start + waiting.cost / flow.weight;
        self.virtual_time = start;
        self.len -= 1;
        Some(waiting.ticket)
    }

    /// Gives back the turn of a popped request that did not run after all.
    pub(super) fn refund(&mut self, customer: &CustomerId, cost: f64) {
        if let Some(key) = self.names.get(customer) {
            let flow = &mut self.flows[*key];
            flow.finish -= cost / flow.weight;
        }
    }

    /// Removes a request of a customer.
    pub(super) fn remove(&mut self, customer: &CustomerId, ticket: Ticket) {
        let Some(key) = self.names.get(customer) else {
            return;
        };
        let waiting = &mut self.flows[*key].waiting;
        let before = waiting.len();
        waiting.retain(|waiting| waiting.ticket != ticket);
        self.len -= before - waiting.len();
    }

    /// Takes the newest request of the customer with the longest line for its weight, if that line
    /// would still be longer than `customer`'s after one more request of `weight`.
    pub(super) fn pop_longest(&mut self, customer: &CustomerId, weight: f64) -> Option<Ticket> {
        let own = (self.len_of(customer) + 1) as f64 / weight.max(WEIGHT_MIN);
        let (key, _) = self
            .active()
            .filter(|(_, flow)| flow.customer != *customer && flow.backlog() > own)
            .max_by(|(_, a), (_, b)| a.backlog().total_cmp(&b.backlog()))?;
        let waiting = self.flows[key].waiting.pop_back()?;
        self.len -= 1;
        Some(waiting.ticket)
    }

    /// Tickets of all waiting requests.
    pub(super) fn tickets(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.active()
            .flat_map(|(_, flow)| flow.waiting.iter().map(|waiting| waiting.ticket))
    }

    fn active(&self) -> impl Iterator<Item = (FlowKey, &Flow)> {
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.waiting.is_empty())
    }

    fn flow(&mut self, customer: &CustomerId) -> FlowKey {
        if let Some(key) = self.names.get(customer) {
            return *key;
        }
        self.prune();
        let key = self.flows.insert(Flow {
            customer: customer.clone(),
            weight: 1.0,
            waiting: VecDeque::new(),
            finish: self.virtual_time,
        });
        self.names.insert(customer.clone(), key);
        key
    }

    /// Forgets idle customers whose last turn is over, once there are many.
    fn prune(&mut self) {
        if self.flows.len() < IDLE_MAX {
            return;
        }
        let virtual_time = self.virtual_time;
        let flows = &mut self.flows;
        flows.retain(|_, flow| !flow.waiting.is_empty() || flow.finish > virtual_time);
        self.names.retain(|_, key| flows.contains_key(*key));
    }
}
