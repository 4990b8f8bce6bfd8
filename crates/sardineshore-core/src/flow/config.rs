//! The serving configuration: routes, pools and customers that operators declare, and the entries
//! that backend servers publish.
//!
//! Adapters decode their platform's documents into these types. [`ConfigIndex`] answers the
//! look-ups that every request needs: the route of a host and path, and the caller of an API key.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::cold::ColdSpec;

/// A name or identifier, spelled as in the operators' documents. Cloning it is cheap.
pub type Name = Arc<str>;

/// Whether requests of a route may be retried, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RouteKind {
    /// A single response; the request may run any number of times.
    Idempotent,
    /// A single response; the request must not run more than once.
    #[default]
    AtMostOnce,
    /// A stream of events that another server can resume after the last event received.
    ResumableStream,
    /// A stream of events; the request must not run more than once.
    Stream,
}

impl RouteKind {
    /// Whether a request may be retried although an earlier attempt may have run.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A stage that must finish before a request of the route can run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StageSpec {
    /// Pool whose servers run the stage.
    pub pool: Name,
    /// Indexes, within the route's stages, of those whose results this stage needs as input.
    pub depends_on: Vec<usize>,
    /// Approximate size of the result of one piece, in bytes.
    pub result_bytes: u64,
}

/// Rank of the least urgent requests; 0 is the most urgent.
pub const MAX_RANK: u32 = 9;
/// Number of consecutive ranks that one customer priority spans. Route priorities from 0 to this
/// number minus 1 are distinguished within it; higher ones count as the last.
pub const RANKS_PER_CUSTOMER_PRIORITY: u32 = 3;

/// Rank of a request, from 0 (most urgent) to [`MAX_RANK`].
///
/// The customer's priority decides first; the route's priority orders requests of customers with
/// equal priority. If the customer has no priority, the route's priority takes its place.
#[must_use]
pub fn request_rank(customer_priority: Option<u32>, route_priority: u32) -> u32 {
    let base = customer_priority.unwrap_or(route_priority).min(MAX_RANK);
    (base * RANKS_PER_CUSTOMER_PRIORITY + route_priority.min(RANKS_PER_CUSTOMER_PRIORITY - 1))
        .min(MAX_RANK)
}

/// Rules for requests to one host and path prefix.
#[derive(Debug, Clone, Default)]
pub struct Route {
    /// Name that logs and metrics show.
    pub name: Name,
    /// Value of the `Host` header, compared as a whole.
    pub host: Name,
    /// Prefix of the path, with a slash at both ends. The longest matching prefix wins.
    pub prefix: Name,
    /// Whether requests may be retried and whether responses are streams.
    pub kind: RouteKind,
    /// Longest time from the arrival of a request to its response; a caller may ask for less.
    pub timeout: Duration,
    /// Soft deadline from the arrival of a request: later responses still count, but for less.
    pub target_latency: Duration,
    /// Longest pause between the events of a stream for which the response is still in time; `None` if
    /// the route declares none.
    pub pause_target: Option<Duration>,
    /// Priority, 0 being the most urgent; see [`request_rank`].
    pub priority: u32,
    /// Pools that serve the route, each with its relative weight in the traffic split.
    pub pools: Vec<(Name, u32)>,
    /// Most attempts for one request, the first one included.
    pub max_attempts: u32,
    /// Stages that run before the request itself.
    pub stages: Vec<StageSpec>,
    /// Whether requests are served without an API key.
    pub anonymous: bool,
}

impl Route {
    /// Pool to which a request with this id goes; `None` if the route has none.
    #[must_use]
    pub fn pool_of(&self, id: &str) -> Option<&Name> {
        assigned_pool(&self.pools, id)
    }

    /// Whether requests of the route may go to a pool.
    #[must_use]
    pub fn leads_to(&self, pool: &str) -> bool {
        let mut used = self.pools.iter().filter(|(_, weight)| *weight > 0);
        used.any(|(name, _)| **name == *pool)
    }
}

/// Pool that an id is assigned to, by pools with relative weights. The choice depends on the id and the weights
/// only.
#[must_use]
pub fn assigned_pool<'a>(pools: &'a [(Name, u32)], id: &str) -> Option<&'a Name> {
    let total: u64 = pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut point = xxh3_64(id.as_bytes()) % total.max(1);
    for (pool, weight) in pools {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(pool);
        }
        point -= weight;
    }
    pools.first().map(|(pool, _)| pool)
}

/// Capacity and timing of one server in a pool that runs stage pieces in batches.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct BatchSpec {
    /// Calls that the server runs concurrently.
    pub slots: u32,
    /// Most pieces in one call.
    pub max_batch: u32,
    /// Fixed part of a call's duration, whatever the number of pieces.
    pub call_overhead: Duration,
    /// Duration that each piece adds to a call.
    pub time_per_piece: Duration,
    /// Memory of the server for stage results, in bytes.
    pub result_memory_bytes: u64,
    /// How long the server stores a result.
    pub result_ttl: Duration,
}

/// Capacity of one server in a pool of model engines.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineSpec {
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// Size of the key-value cache, which holds prompts and outputs, in tokens.
    pub kv_capacity_tokens: u64,
}

/// The kind of work that a pool's servers do.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum PoolKind {
    /// Ordinary requests.
    #[default]
    Plain,
    /// Text generation by model engines.
    Engine(EngineSpec),
    /// Pieces of stages, run in batches.
    Batch(BatchSpec),
}

/// A pool of servers that do the same work.
#[derive(Debug, Clone, Default)]
pub struct PoolSpec {
    /// Name by which routes and server entries refer to the pool.
    pub name: Name,
    /// Connections that one server accepts, shared by all instances.
    pub max_connections: u32,
    /// Work of its servers.
    pub kind: PoolKind,
    /// What its servers take while they are cold; `None` if they never are.
    pub cold: Option<ColdSpec>,
}

/// A customer and the API keys of its callers.
#[derive(Debug, Clone, Default)]
pub struct CustomerSpec {
    /// Name that is forwarded to backend servers.
    pub name: Name,
    /// Valid API keys; a key that is not listed is rejected.
    pub api_keys: Vec<Name>,
    /// Priority that decides before the route's; see [`request_rank`].
    pub priority: Option<u32>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Largest head of a request (request line and headers), in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive the head of a request.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay open without a request.
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

/// One version of everything that operators declare for the serving path.
#[derive(Debug, Clone, Default)]
pub struct ServingConfig {
    /// Version number; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Pools by name.
    pub pools: BTreeMap<Name, PoolSpec>,
    /// Customers; requests of routes that are not anonymous need one of their keys. `None` if requests need no
    /// keys.
    pub customers: Option<Vec<CustomerSpec>>,
    /// Limits on all callers.
    pub limits: CallerLimits,
}

/// The authenticated sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Name of the customer that holds the API key.
    pub customer: Name,
    /// Priority of the customer, if it has one.
    pub priority: Option<u32>,
}

/// A version of the configuration with look-up tables by host and by API key.
#[derive(Debug, Default)]
pub struct ConfigIndex {
    config: ServingConfig,
    /// Routes of each host by prefix, the longest prefix first.
    routes_by_host: HashMap<Name, Vec<(Name, Arc<Route>)>>,
    callers_by_key: HashMap<Name, Caller>,
    /// Names of routes whose timeout was longer in an earlier configuration.
    shortened_routes: HashSet<Name>,
}

impl ConfigIndex {
    /// Builds the look-up tables.
    #[must_use]
    pub fn new(config: ServingConfig) -> Self {
        let mut routes_by_host: HashMap<Name, Vec<(Name, Arc<Route>)>> = HashMap::new();
        for route in &config.routes {
            let entry = (route.prefix.clone(), Arc::new(route.clone()));
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(entry);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        let mut callers_by_key = HashMap::new();
        for customer in config.customers.iter().flatten() {
            for key in &customer.api_keys {
                let caller = Caller {
                    customer: customer.name.clone(),
                    priority: customer.priority,
                };
                callers_by_key.insert(key.clone(), caller);
            }
        }
        Self {
            config,
            routes_by_host,
            callers_by_key,
            shortened_routes: HashSet::new(),
        }
    }

    /// Names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &str> {
        self.config.routes.iter().map(|route| &*route.name)
    }

    /// Finds the routes whose timeout is shorter than in the configuration before, or has stayed as
    /// short as an earlier change made it.
    pub fn compare_timeouts(&mut self, previous: &Self) {
        let routes = previous.config.routes.iter();
        let before: HashMap<&str, Duration> =
            routes.map(|route| (&*route.name, route.timeout)).collect();
        let is_shortened = |route: &&Route| {
            before.get(&*route.name).is_some_and(|before| {
                let was_shortened = previous.has_shortened_timeout(&route.name);
                route.timeout < *before || (route.timeout == *before && was_shortened)
            })
        };
        let shortened = self.config.routes.iter().filter(is_shortened);
        self.shortened_routes = shortened.map(|route| route.name.clone()).collect();
    }

    /// Whether a change of the configuration has made the timeout of a route shorter.
    #[must_use]
    pub fn has_shortened_timeout(&self, route: &str) -> bool {
        self.shortened_routes.contains(route)
    }

    /// Version number of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Whether requests need a key, unless their route is anonymous.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.config.customers.is_some()
    }

    /// Limits on callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.config.limits
    }

    /// Route of a host whose prefix matches the path, the longest prefix first; a query or fragment
    /// in `path` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        self.routes_by_host
            .get(host)?
            .iter()
            .find(|(prefix, _)| path.starts_with(&**prefix))
            .map(|(_, route)| route)
    }

    /// Caller that an API key identifies; `None` if the key is not valid.
    #[must_use]
    pub fn caller(&self, key: &str) -> Option<&Caller> {
        self.callers_by_key.get(key)
    }

    /// Longest time that a stream of any route may take.
    #[must_use]
    pub fn longest_stream(&self) -> Duration {
        let streams = self.config.routes.iter().filter(|r| r.kind.is_streaming());
        streams.map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Routes with streams that another server can resume.
    pub fn resumable_routes(&self) -> impl Iterator<Item = &Route> {
        let routes = self.config.routes.iter();
        routes.filter(|route| route.kind == RouteKind::ResumableStream)
    }

    /// Whether a route with streams that another server can resume leads to a pool.
    #[must_use]
    pub fn serves_streams(&self, pool: &str) -> bool {
        let mut streams = self.resumable_routes();
        streams.any(|route| route.pools.iter().any(|(name, _)| **name == *pool))
    }

    /// Pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.config.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolSpec> {
        self.config.pools.values()
    }
}

/// The entry that a backend server publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id, unique among all servers.
    pub id: Name,
    /// Pool that the server belongs to.
    pub pool: Name,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Failure domain that the server runs in.
    pub domain: Name,
    /// Version of the server's software; `None` if it names none.
    pub version: Option<Name>,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new work; false while it drains.
    pub ready: bool,
    /// When this process of the server started, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// How much longer the server is cold; `None` if its entry doesn't tell.
    pub cold_remaining: Option<Duration>,
}
