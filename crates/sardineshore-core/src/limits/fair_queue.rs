//! Queue of one pipeline's requests, with start-time fair queueing between customers by weight.

use std::collections::{BTreeMap, VecDeque};

use slotmap::{SlotMap, new_key_type};

use super::Ticket;
use crate::CustomerId;

/// Number of customers above which those without queued requests are removed.
const MAX_CUSTOMERS: usize = 4096;
/// Lower bound of a customer's weight.
const MIN_WEIGHT: f64 = 0.001;

new_key_type! {
    /// Key of a customer's flow.
    struct FlowKey;
}

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct QueuedRequest {
    /// Its ticket.
    pub(super) ticket: Ticket,
    /// Cost that its customer is charged, in any unit that all requests share.
    pub(super) cost: f64,
}

/// Queued requests of one customer, oldest first.
#[derive(Debug)]
struct Flow {
    customer: CustomerId,
    weight: f64,
    queued: VecDeque<QueuedRequest>,
    /// Virtual time at which the customer's last dequeued request ends.
    virtual_finish: f64,
}

/// Queue that serves customers in proportion to their weights, however many requests each sends.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    flows: SlotMap<FlowKey, Flow>,
    keys_by_customer: BTreeMap<CustomerId, FlowKey>,
    virtual_time: f64,
    len: usize,
}

impl Flow {
    /// Virtual time at which the oldest request starts.
    fn virtual_start(&self, virtual_time: f64) -> f64 {
        self.virtual_finish.max(virtual_time)
    }

    fn backlog(&self) -> f64 {
        self.queued.len() as f64 / self.weight
    }
}

impl FairQueue {
    /// Number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Number of queued requests of one customer.
    pub(super) fn len_of(&self, customer: &CustomerId) -> usize {
        self.keys_by_customer
            .get(customer)
            .map_or(0, |key| self.flows[*key].queued.len())
    }

    /// Sum of the weights of the customers with queued requests.
    pub(super) fn active_weight(&self) -> f64 {
        self.active().map(|(_, flow)| flow.weight).sum()
    }

    /// Appends a request to its customer's queue.
    pub(super) fn push(&mut self, customer: &CustomerId, weight: f64, queued: QueuedRequest) {
        let key = self.flow(customer);
        let flow = &mut self.flows[key];
        flow.weight = weight.max(MIN_WEIGHT);
        flow.queued.push_back(queued);
        self.len += 1;
    }

    /// Charges a customer for a request that runs without being queued.
    pub(super) fn charge(&mut self, customer: &CustomerId, weight: f64, cost: f64) {
        let key = self.flow(customer);
        let flow = &mut self.flows[key];
        flow.weight = weight.max(MIN_WEIGHT);
        let virtual_start = flow.virtual_start(self.virtual_time);
        flow.virtual_finish = virtual_start + cost / flow.weight;
        self.virtual_time = virtual_start;
    }

    /// Removes the oldest request of the customer with the earliest virtual start time.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let virtual_time = self.virtual_time;
        let (key, _) = self.active().min_by(|(_, a), (_, b)| {
            let (a, b) = (a.virtual_start(virtual_time), b.virtual_start(virtual_time));
            a.total_cmp(&b)
        })?;
        let flow = &mut self.flows[key];
        let virtual_start = flow.virtual_start(virtual_time);
        let queued = flow.queued.pop_front()?;
        flow.virtual_finish = virtual_start + queued.cost / flow.weight;
        self.virtual_time = virtual_start;
        self.len -= 1;
        Some(queued.ticket)
    }

    /// Refunds the cost of a dequeued request that did not run.
    pub(super) fn refund(&mut self, customer: &CustomerId, cost: f64) {
        if let Some(key) = self.keys_by_customer.get(customer) {
            let flow = &mut self.flows[*key];
            flow.virtual_finish -= cost / flow.weight;
        }
    }

    /// Removes one request of a customer.
    pub(super) fn remove(&mut self, customer: &CustomerId, ticket: Ticket) {
        let Some(key) = self.keys_by_customer.get(customer) else {
            return;
        };
        let queued = &mut self.flows[*key].queued;
        let before = queued.len();
        queued.retain(|queued| queued.ticket != ticket);
        self.len -= before - queued.len();
    }

    /// Removes the newest request of the customer with the longest queue relative to its weight, if
    /// that queue is longer than the one of `customer` would be with one more request.
    pub(super) fn pop_longest(&mut self, customer: &CustomerId, weight: f64) -> Option<Ticket> {
        let own_backlog = (self.len_of(customer) + 1) as f64 / weight.max(MIN_WEIGHT);
        let (key, _) = self
            .active()
            .filter(|(_, flow)| flow.customer != *customer && flow.backlog() > own_backlog)
            .max_by(|(_, a), (_, b)| a.backlog().total_cmp(&b.backlog()))?;
        let queued = self.flows[key].queued.pop_back()?;
        self.len -= 1;
        Some(queued.ticket)
    }

    /// Tickets of all queued requests.
    pub(super) fn tickets(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.active()
            .flat_map(|(_, flow)| flow.queued.iter().map(|queued| queued.ticket))
    }

    fn active(&self) -> impl Iterator<Item = (FlowKey, &Flow)> {
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.queued.is_empty())
    }

    fn flow(&mut self, customer: &CustomerId) -> FlowKey {
        if let Some(key) = self.keys_by_customer.get(customer) {
            return *key;
        }
        self.prune();
        let key = self.flows.insert(Flow {
            customer: customer.clone(),
            weight: 1.0,
            queued: VecDeque::new(),
            virtual_finish: self.virtual_time,
        });
        self.keys_by_customer.insert(customer.clone(), key);
        key
    }

    /// Removes idle customers whose last virtual finish time has passed, once there are
    /// `MAX_CUSTOMERS`.
    fn prune(&mut self) {
        if self.flows.len() < MAX_CUSTOMERS {
            return;
        }
        let virtual_time = self.virtual_time;
        let flows = &mut self.flows;
        flows.retain(|_, flow| !flow.queued.is_empty() || flow.virtual_finish > virtual_time);
        self.keys_by_customer
            .retain(|_, key| flows.contains_key(*key));
    }
}
