//! Replay of a deployment whose servers differ in speed, by a queueing model of its servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::selection::{
    AttemptOutcome, LoadReport, PromptPart, SelectedServer, SelectionRequest, ServerSelector,
};
use sardineshore_core::flow::speed::SpeedLink;

const SERVERS: usize = 140;
const INSTANCES: usize = 78;
const DOMAINS: usize = 3;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const SLOTS: u32 = 16;
/// Slowness of a moment, its probability and how long it lasts.
const MOMENT: (f64, f64, u64) = (2.5, 0.15, 600_000);
const REQUESTS_PER_S: f64 = 420.0;
/// Prompt tokens read per microsecond at usual speed, and the time of a step.
const TOKENS_PER_US: f64 = 0.0414;
const STEP_US: f64 = 4600.0;
const FIXED_US: u64 = 2500;
/// Time over which streams are observed.
const PACE_US: u64 = 80_000;
/// Time for which a server keeps a prompt part.
const CACHE_US: u64 = 20_000_000;
/// Time that the stages of a request take before it is sent.
const STAGES_US: u64 = 300_000;
const WARM_UP_US: u64 = 30_000_000;
const END_US: u64 = 55_000_000;

/// How servers are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// As if all servers were equally fast.
    Equal,
    /// By what is learned of their speeds.
    BySpeed,
}

/// What came of the requests after the warm-up.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub late: u32,
    /// Mean time from sending to the first output.
    pub mean_ms: f64,
    /// Bytes told to other instances, per second and instance.
    pub told_bytes: f64,
    /// Share of requests at fast servers.
    pub at_fast: f64,
    /// Share of requests whose shared prompt part was not cached.
    pub misses: f64,
    /// Servers that an instance believes to differ from usual, on average.
    pub differing: f64,
}

impl Outcome {
    pub fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.requests)
    }
}

struct SimServer {
    speed: f64,
    running: u32,
    prefilled_at: u64,
    cached: HashMap<Name, u64>,
    queue: VecDeque<usize>,
}

struct SimRequest {
    instance: usize,
    selection: SelectionRequest,
    selected: Option<SelectedServer>,
    sent_at: u64,
    budget_us: u64,
    events: u32,
    /// Events that are still to come.
    left: f64,
    first_at: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Send(usize),
    FirstOutput(usize),
    Pace(usize),
}

struct Instance {
    selector: ServerSelector,
    to_owner: SpeedLink,
    from_owner: SpeedLink,
}

pub struct Replay {
    selection: Selection,
    base: Instant,
    rng: StdRng,
    seed: u64,
    servers: Vec<SimServer>,
    numbers: HashMap<Name, usize>,
    instances: Vec<Instance>,
    requests: Vec<SimRequest>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    has_moments: bool,
    has_shared_parts: bool,
    outcome: Outcome,
}

/// A small positive number without its fraction.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and small"
)]
fn whole(number: f64) -> u64 {
    number as u64
}

impl Replay {
    pub fn new(selection: Selection, seed: u64) -> Self {
        let listed: Vec<Server> = (0..SERVERS)
            .map(|n| Server {
                id: format!("i-{n:08x}").into(),
                pool: "llm".into(),
                address: "127.0.0.1:9".parse().unwrap(),
                domain: format!("d{}", n % DOMAINS).into(),
                version: None,
                slots: SLOTS,
                ready: true,
                started_ms: 1,
                cold_remaining: None,
            })
            .collect();
        let servers = (0..SERVERS).map(|n| SimServer {
            speed: SPEEDS[n / DOMAINS % SPEEDS.len()],
            running: 0,
            prefilled_at: 0,
            cached: HashMap::new(),
            queue: VecDeque::new(),
        });
        let instances = (0..INSTANCES).map(|n| {
            let mut selector = ServerSelector::new(format!("d{}", n % DOMAINS).into());
            selector.set_servers(listed.clone());
            Instance {
                selector,
                to_owner: SpeedLink::default(),
                from_owner: SpeedLink::default(),
            }
        });
        Self {
            selection,
            base: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            seed,
            servers: servers.collect(),
            numbers: listed
                .iter()
                .enumerate()
                .map(|(n, s)| (s.id.clone(), n))
                .collect(),
            instances: instances.collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            has_moments: true,
            has_shared_parts: true,
            outcome: Outcome::default(),
        }
    }

    /// All servers at usual speed at all times, without figures.
    pub fn with_equal_servers(mut self) -> Self {
        for server in &mut self.servers {
            server.speed = 1.0;
        }
        self.has_moments = false;
        self
    }

    /// No two prompts share a part, so no server is preferred for any.
    pub fn without_shared_parts(mut self) -> Self {
        self.has_shared_parts = false;
        self
    }

    pub fn run(mut self) -> Outcome {
        self.push(0, Event::Arrive);
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at >= END_US {
                break;
            }
            match event {
                Event::Arrive => self.arrive(at),
                Event::Send(id) => self.send(id, at),
                Event::FirstOutput(id) => self.first_output(id, at),
                Event::Pace(id) => self.pace(id, at),
            }
        }
        let differing = self
            .instances
            .iter()
            .map(|i| i.selector.speeds().evident_servers());
        self.outcome.differing = differing.sum::<usize>() as f64 / INSTANCES as f64;
        let requests = f64::from(self.outcome.requests);
        self.outcome.mean_ms /= requests;
        self.outcome.at_fast /= requests;
        self.outcome.misses /= requests;
        self.outcome.told_bytes /= END_US as f64 / 1e6 * INSTANCES as f64;
        self.outcome
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn time(&self, at: u64) -> Instant {
        self.base + Duration::from_micros(at)
    }

    /// Slowness of a server at a time.
    fn moment(&self, server: usize, at: u64) -> f64 {
        let mut rng = StdRng::seed_from_u64(self.seed ^ (server as u64) << 32 ^ (at / MOMENT.2));
        if self.has_moments && rng.random_bool(MOMENT.1) {
            MOMENT.0
        } else {
            1.0
        }
    }

    fn arrive(&mut self, at: u64) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / REQUESTS_PER_S * 1e6;
        self.push(at + whole(gap), Event::Arrive);
        // A few subjects get most requests.
        let subject = whole(400.0 * self.rng.random::<f64>().powi(2));
        let shared = 300 + u32::try_from(subject * 7919 % 5700).unwrap();
        let part = |id: String, tokens| PromptPart {
            id: id.into(),
            tokens,
        };
        let own = self.rng.random_range(300..3500);
        let number = self.requests.len();
        let (subject, shared) = if self.has_shared_parts {
            (subject, shared)
        } else {
            (1000 + number as u64, 1)
        };
        let prompt = vec![
            part(format!("p{subject}"), shared),
            part(format!("r{number}"), own),
        ];
        let instance = self.rng.random_range(0..INSTANCES);
        self.requests.push(SimRequest {
            instance,
            selection: SelectionRequest {
                pool: "llm".into(),
                prompt,
                seed: self.rng.random(),
                ..SelectionRequest::default()
            },
            selected: None,
            sent_at: 0,
            budget_us: self.rng.random_range(80_000..300_000),
            events: self.rng.random_range(60..250),
            left: 0.0,
            first_at: 0,
        });
        self.tell_owner(instance, at);
        self.push(at + STAGES_US, Event::Send(number));
    }

    /// Lets the instance tell the owner of its cell what it has seen, as with a job.
    fn tell_owner(&mut self, instance: usize, at: u64) {
        let owner = instance % DOMAINS;
        if self.selection == Selection::Equal || owner == instance {
            return;
        }
        let now = self.time(at);
        let sender = &mut self.instances[instance];
        let digest = sender
            .selector
            .speeds_mut()
            .samples(&mut sender.to_owner, now);
        if let Some(digest) = digest {
            self.outcome.told_bytes += digest.encoded_bytes() as f64;
            self.instances[owner]
                .selector
                .speeds_mut()
                .receive(&digest, now);
        }
    }

    /// Lets the owner of the cell tell the instance what it knows, as with the job's events.
    fn tell_submitter(&mut self, instance: usize, at: u64) {
        let owner = instance % DOMAINS;
        if self.selection == Selection::Equal || owner == instance {
            return;
        }
        let now = self.time(at);
        let mut link = std::mem::take(&mut self.instances[instance].from_owner);
        let digest = self.instances[owner]
            .selector
            .speeds_mut()
            .estimates(&mut link, now);
        self.instances[instance].from_owner = link;
        if let Some(digest) = digest {
            self.outcome.told_bytes += digest.encoded_bytes() as f64;
            self.instances[instance]
                .selector
                .speeds_mut()
                .receive(&digest, now);
        }
    }

    fn send(&mut self, id: usize, at: u64) {
        let now = self.time(at);
        self.tell_submitter(self.requests[id].instance, at);
        let request = &mut self.requests[id];
        let selector = &mut self.instances[request.instance].selector;
        let selected = selector.select(&request.selection, now).unwrap();
        selector.record_start(&selected, &request.selection, now);
        request.sent_at = at;
        let number = self.numbers[&selected.id];
        request.selected = Some(selected);
        if self.servers[number].running >= SLOTS {
            self.servers[number].queue.push_back(id);
        } else {
            self.start(id, number, at);
        }
    }

    /// Runs a request in a slot of a server: the prefills of a server run one after the other.
    fn start(&mut self, id: usize, number: usize, at: u64) {
        let prompt = &self.requests[id].selection.prompt;
        let server = &mut self.servers[number];
        let cached = server
            .cached
            .get(&prompt[0].id)
            .is_some_and(|until| *until > at);
        server.cached.insert(prompt[0].id.clone(), at + CACHE_US);
        let tokens = prompt[1].tokens + if cached { 0 } else { prompt[0].tokens };
        if at >= WARM_UP_US {
            self.outcome.misses += f64::from(u8::from(!cached));
        }
        let utilization = f64::from(server.running) / f64::from(SLOTS);
        server.running += 1;
        let mut work = f64::from(tokens) / TOKENS_PER_US / server.speed * (1.0 + 0.5 * utilization);
        let mut end = server.prefilled_at.max(at);
        loop {
            let slowness = self.moment(number, end);
            let left_of_moment = MOMENT.2 - end % MOMENT.2;
            let done = left_of_moment as f64 / slowness;
            if done >= work {
                end += whole(work * slowness);
                break;
            }
            work -= done;
            end += left_of_moment;
        }
        self.servers[number].prefilled_at = end;
        self.push(end + FIXED_US, Event::FirstOutput(id));
    }

    fn first_output(&mut self, id: usize, at: u64) {
        let now = self.time(at);
        let request = &mut self.requests[id];
        request.first_at = at;
        let selected = request.selected.clone().unwrap();
        let (sent_at, budget_us, events) = (request.sent_at, request.budget_us, request.events);
        let instance = request.instance;
        let number = self.numbers[&selected.id];
        let slowness = self.moment(number, at);
        let server = &self.servers[number];
        let report = LoadReport {
            running: server.running,
            waiting: u32::try_from(server.queue.len()).unwrap(),
            slots: SLOTS,
            percent: (self.selection == Selection::BySpeed && self.has_moments)
                .then_some(if slowness > 1.0 { 250 } else { 100 }),
        };
        let took = at - sent_at;
        if at >= WARM_UP_US {
            self.outcome.requests += 1;
            self.outcome.late += u32::from(took > budget_us);
            self.outcome.mean_ms += took as f64 / 1e3;
            self.outcome.at_fast += f64::from(u8::from(server.speed > 1.0));
        }
        self.requests[id].left = f64::from(events);
        self.push(at + PACE_US, Event::Pace(id));
        let selector = &mut self.instances[instance].selector;
        selector.record_load(&selected.id, report, now);
        selector.record_prefill(&selected);
        if self.selection == Selection::BySpeed {
            selector.record_first_output(&selected, Duration::from_micros(took), now);
        }
        // The release of the results of its stages.
        self.tell_owner(instance, at);
    }

    /// Lets a stream go on for a moment.
    fn pace(&mut self, id: usize, at: u64) {
        let selected = self.requests[id].selected.clone().unwrap();
        let number = self.numbers[&selected.id];
        let server = &self.servers[number];
        let load = f64::from(server.running) / f64::from(SLOTS);
        // A prompt that is prefilled takes a part of the server.
        let prefills = if server.prefilled_at > at { 1.5 } else { 1.0 };
        let step = STEP_US / server.speed * (1.0 + 0.5 * load) * prefills * self.moment(number, at);
        let request = &mut self.requests[id];
        request.left -= PACE_US as f64 / step;
        if request.left <= 0.0 {
            self.end(id, at);
            return;
        }
        if self.selection == Selection::BySpeed {
            let (now, mean) = (
                self.base + Duration::from_micros(at),
                Duration::from_micros(whole(step)),
            );
            let selector = &mut self.instances[request.instance].selector;
            selector.record_pace(&selected.id, mean, now);
        }
        self.push(at + PACE_US, Event::Pace(id));
    }

    fn end(&mut self, id: usize, at: u64) {
        let now = self.time(at);
        let request = &self.requests[id];
        let selected = request.selected.clone().unwrap();
        let mean = Duration::from_micros((at - request.first_at) / u64::from(request.events));
        let selector = &mut self.instances[request.instance].selector;
        let answered = AttemptOutcome::Answered(Duration::from_millis(100));
        selector.record_end(&selected, true, answered, now);
        if self.selection == Selection::BySpeed {
            selector.record_event_time(&selected.id, mean, now);
        }
        let number = self.numbers[&selected.id];
        let server = &mut self.servers[number];
        server.running -= 1;
        if let Some(next) = server.queue.pop_front() {
            self.start(next, number, at);
        }
    }
}
