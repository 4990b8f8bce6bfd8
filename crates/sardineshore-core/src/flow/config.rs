//! What operators declare (routes, pools, customers) and what servers say of themselves.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A name or identifier as it stands in the operators' documents.
pub type Name = Arc<str>;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once per request.
    #[default]
    AtMostOnce,
    /// A stream of events that may go on at another server after a break.
    ResumableStream,
    /// A stream of events that runs at most once.
    Stream,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One stage that must end before a request of the route can run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StageSpec {
    /// Pool that does the work.
    pub pool: Name,
    /// Indexes of the stages whose results it needs.
    pub depends_on: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// Ranks of requests: 0 is the most urgent, this the least.
pub const MAX_RANK: u32 = 9;
/// Ranks of routes that are told apart within a customer's rank.
pub const RANKS_PER_CUSTOMER_PRIORITY: u32 = 3;

/// Rank of a request: its customer's rank goes before its route's, which tells requests of equal
/// customers apart. Without a rank of the customer the route's stands in its place.
#[must_use]
pub fn request_rank(customer: Option<u32>, route: u32) -> u32 {
    let first = customer.unwrap_or(route).min(MAX_RANK);
    (first * RANKS_PER_CUSTOMER_PRIORITY + route.min(RANKS_PER_CUSTOMER_PRIORITY - 1)).min(MAX_RANK)
}

/// Where requests go and how they are treated.
#[derive(Debug, Clone, Default)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Prefix of the path, with slashes at both ends.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Pools with their weights.
    pub pools: Vec<(Name, u32)>,
    /// Most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Stages before the request itself.
    pub stages: Vec<StageSpec>,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// Figures of a pool that works on pieces in batches; all hold for one server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct BatchSpec {
    /// Calls that run at the same time.
    pub slots: u32,
    /// Most pieces of a call.
    pub max_batch: u32,
    /// Time of a call, whatever it holds.
    pub call_overhead: Duration,
    /// Additional time of one piece.
    pub time_per_piece: Duration,
    /// Memory for results, in bytes.
    pub result_memory_bytes: u64,
    /// How long a result is kept.
    pub result_ttl: Duration,
}

/// Figures of a pool of model engines; all hold for one server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineSpec {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Memory for prompts and outputs, in tokens.
    pub kv_capacity_tokens: u64,
}

/// What a pool's servers do.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum PoolKind {
    /// Plain requests.
    #[default]
    Plain,
    /// Generation by model engines.
    Engine(EngineSpec),
    /// Pieces of stages.
    Batch(BatchSpec),
}

/// A pool of servers.
#[derive(Debug, Clone, Default)]
pub struct PoolSpec {
    /// Name.
    pub name: Name,
    /// Connections that one server takes from all callers together.
    pub max_connections: u32,
    /// What its servers do.
    pub kind: PoolKind,
}

/// A customer with the keys of its callers.
#[derive(Debug, Clone, Default)]
pub struct CustomerSpec {
    /// Name that servers are told.
    pub name: Name,
    /// Keys in force.
    pub api_keys: Vec<Name>,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time to receive a head.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of everything that operators declare.
#[derive(Debug, Clone, Default)]
pub struct ServingConfig {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools by name.
    pub pools: BTreeMap<Name, PoolSpec>,
    /// Customers.
    pub customers: Vec<CustomerSpec>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Customer's name.
    pub customer: Name,
    /// Customer's rank, if it has one.
    pub priority: Option<u32>,
}

/// A version of the site with its look-up tables.
#[derive(Debug, Default)]
pub struct ConfigIndex {
    site: ServingConfig,
    by_host: HashMap<Name, Vec<(Name, Arc<Route>)>>,
    by_key: HashMap<Name, Caller>,
}

impl ConfigIndex {
    /// Builds the look-up tables.
    #[must_use]
    pub fn new(site: ServingConfig) -> Self {
        let mut by_host: HashMap<Name, Vec<(Name, Arc<Route>)>> = HashMap::new();
        for route in &site.routes {
            let entry = (route.prefix.clone(), Arc::new(route.clone()));
            by_host.entry(route.host.clone()).or_default().push(entry);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        let mut by_key = HashMap::new();
        for account in &site.customers {
            for key in &account.api_keys {
                let caller = Caller {
                    customer: account.name.clone(),
                    priority: account.priority,
                };
                by_key.insert(key.clone(), caller);
            }
        }
        Self {
            site,
            by_host,
            by_key,
        }
    }

    /// Version of the site.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.site.version
    }

    /// Bounds on callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.site.limits
    }

    /// Route with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        self.by_host
            .get(host)?
            .iter()
            .find(|(prefix, _)| path.starts_with(&**prefix))
            .map(|(_, route)| route)
    }

    /// Customer that holds a key.
    #[must_use]
    pub fn caller(&self, key: &str) -> Option<&Caller> {
        self.by_key.get(key)
    }

    /// A pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.site.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolSpec> {
        self.site.pools.values()
    }
}

/// What a server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id of the server.
    pub id: Name,
    /// Pool that it serves.
    pub pool: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub ready: bool,
    /// Start of this incarnation, Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}
