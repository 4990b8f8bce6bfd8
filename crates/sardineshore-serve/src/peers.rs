//! Links between instances: TCP connections on which an instance submits jobs to the owner of
//! their cell and receives their events, or follows a reader of the store.
//!
//! [`Peers`] knows the other instances, opens a link when a job needs one, and accepts the links of
//! others.

mod message;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use message::event_message;
pub use message::{InstanceInfo, Message};
use sardineshore_core::flow::batching::Job;
use sardineshore_core::flow::cells::{OwnerCandidate, rank_owners};
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::heartbeat::{Heartbeat, HeartbeatAction};
use sardineshore_core::flow::quarantine::Evidence;
use sardineshore_core::flow::speed::SpeedDigest;
use sardineshore_core::flow::zones::SendIntervals;
use slog::{Logger, error, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::cell::{JobCallback, JobEvent, JobOutcome, OwnedCells, SubmissionId};
use crate::containment::{contain, contain_future};
use crate::relay::{LinkEvent, StoreRelay};
use crate::speeds::{LinkSpeeds, SpeedExchange};
use crate::state::boot_time;
use crate::stream_versions::VersionRecords;
use crate::upstream::detect_dead_peer;
use crate::zones::{SentFigures, ZoneExchange};

/// Longest time to open a link, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a job waits for a link that is being opened.
const OPEN_WAIT: Duration = Duration::from_millis(180);
/// Time after the start of this instance in which the others may be starting too.
const START_PERIOD: Duration = Duration::from_millis(1500);
/// Delay before a link is tried again in that time.
const START_RETRY_DELAY: Duration = Duration::from_millis(30);
/// Back-off after a link could not be opened.
const REOPEN_BACKOFF: Duration = Duration::from_millis(600);
/// Back-off after an owner redirected a job, as it is shutting down or handed the cell over.
const REDIRECT_BACKOFF: Duration = Duration::from_millis(1500);
/// Longest time to write messages to a link whose other side doesn't read them.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// How often an owner checks whether an instance that ranks before it is reachable again.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time within which something has to have arrived from an instance to which a cell is handed over.
const RESPONSIVE_TIME: Duration = Duration::from_millis(600);
/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A connection that carries length-prefixed messages.
type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// An open link to an owner of cells or a reader of the store.
pub struct Link {
    tx: mpsc::UnboundedSender<Bytes>,
    last_received: Cell<Instant>,
    /// Callbacks of the jobs that have not ended, by the id of the request.
    callbacks: RefCell<HashMap<Name, JobCallback>>,
    speeds: Option<LinkSpeeds>,
    /// When the heartbeats were sent that have not come back.
    heartbeats: RefCell<VecDeque<Instant>>,
    zones: Rc<ZoneExchange>,
    sent_figures: SentFigures,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Link {
    /// Reports the outcome of a job, unless it was released before.
    fn finish(&self, request: &str, outcome: JobOutcome) {
        let callback = self.callbacks.borrow_mut().remove(request);
        if let Some(callback) = callback {
            callback(JobEvent::Ended(outcome));
        }
    }

    /// Sends a message, unless the connection is lost.
    pub fn send(&self, message: &Message) {
        let _closed = self.tx.send(message.encode());
    }

    /// Whether the connection is lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.tx.is_closed()
    }

    /// Whether the other instance was heard of lately. If not, asks it, so that a later call can tell.
    fn is_responsive(&self) -> bool {
        let is_responsive = self.last_received.get().elapsed() < RESPONSIVE_TIME;
        if !is_responsive {
            self.send_heartbeat();
        }
        is_responsive
    }

    fn send_heartbeat(&self) {
        self.heartbeats.borrow_mut().push_back(Instant::now());
        self.send(&Message::Ping);
    }

    /// Time since the heartbeat was sent whose response arrived; `None` without one.
    fn end_heartbeat(&self) -> Option<Duration> {
        let sent_at = self.heartbeats.borrow_mut().pop_front();
        sent_at.map(|at| at.elapsed())
    }

    /// Submits a job to the owner; `callback` gets its events and is dropped if the link is lost.
    /// `home` is the request's home cell, or `None` if another cell refused the job.
    pub fn submit(&self, cell: Name, home: Option<Name>, job: Job, callback: JobCallback) {
        self.callbacks.borrow_mut().insert(job.id.clone(), callback);
        if let Some(figures) = self.zones.due_message(&self.sent_figures) {
            self.send(&figures);
        }
        self.send(&Message::Submit { cell, home, job });
        self.send_samples();
    }

    /// Tells the owner that the job's results were used or that no request waits for it.
    pub fn release(&self, cell: &Name, request: &Name) {
        self.callbacks.borrow_mut().remove(request);
        let (cell, request) = (cell.clone(), request.clone());
        self.send(&Message::Release { cell, request });
        // The first output has just arrived, and with it the load of its server.
        self.send_samples();
    }

    /// Sends what this instance has seen of the servers' speeds, behind a message that is sent anyway.
    fn send_samples(&self) {
        if let Some(message) = self.speeds.as_ref().and_then(LinkSpeeds::samples) {
            self.send(&message);
        }
    }
}

/// State of the link to one instance.
#[derive(Debug)]
enum LinkState {
    /// The first attempt to open it, begun at this time; jobs wait for up to [`OPEN_WAIT`].
    Opening(Instant),
    Up(Rc<Link>),
    /// Could not be opened; no further attempt before this time.
    Down(Instant),
    /// A further attempt to open it; jobs don't wait.
    Reopening,
}

/// The instances of the deployment, this one included, and the links to the others.
#[derive(Debug)]
pub struct Peers {
    own: InstanceInfo,
    started_at: Instant,
    cells: Rc<OwnedCells>,
    instances: RefCell<BTreeMap<Name, InstanceInfo>>,
    links: RefCell<HashMap<Name, LinkState>>,
    /// Owners that redirected a job, and until when they get no further ones.
    backed_off: RefCell<HashMap<Name, Instant>>,
    changed: Notify,
    relay: Rc<StoreRelay>,
    /// Exchange of the servers' speeds; none unless it was set.
    speeds: OnceCell<Rc<SpeedExchange>>,
    /// What holds streams for other instances; nothing unless it was set.
    stream_holder: OnceCell<Weak<VersionRecords>>,
    /// Links that other instances opened, by number.
    served: RefCell<HashMap<u64, mpsc::UnboundedSender<Bytes>>>,
    next_served: Cell<u64>,
    evidence_tx: mpsc::UnboundedSender<Vec<Evidence>>,
    evidence_rx: RefCell<Option<mpsc::UnboundedReceiver<Vec<Evidence>>>>,
    log: Logger,
    weak: Weak<Self>,
}

impl Peers {
    /// Knows only this instance at first.
    #[must_use]
    pub fn new(
        own: InstanceInfo,
        cells: Rc<OwnedCells>,
        relay: Rc<StoreRelay>,
        log: Logger,
    ) -> Rc<Self> {
        relay.set_zones(cells.zones().clone());
        let (evidence_tx, evidence_rx) = mpsc::unbounded_channel();
        Rc::new_cyclic(|weak| Self {
            served: RefCell::default(),
            next_served: Cell::new(0),
            evidence_tx,
            evidence_rx: RefCell::new(Some(evidence_rx)),
            instances: RefCell::new(BTreeMap::from([(own.name.clone(), own.clone())])),
            own,
            started_at: Instant::now(),
            cells,
            links: RefCell::default(),
            backed_off: RefCell::default(),
            changed: Notify::new(),
            relay,
            speeds: OnceCell::new(),
            stream_holder: OnceCell::new(),
            log,
            weak: weak.clone(),
        })
    }

    /// This instance.
    #[must_use]
    pub fn this_instance(&self) -> &InstanceInfo {
        &self.own
    }

    /// What hands the store's rows on between the instances.
    #[must_use]
    pub fn relay(&self) -> &Rc<StoreRelay> {
        &self.relay
    }

    /// Sets the exchange of the servers' speeds, which goes beside messages about jobs.
    pub fn set_speeds(&self, speeds: Rc<SpeedExchange>) {
        let _set_before = self.speeds.set(speeds);
    }

    /// Sets what holds streams for other instances and receives their answers.
    pub fn set_stream_holder(&self, holder: &Rc<VersionRecords>) {
        let _set_before = self.stream_holder.set(Rc::downgrade(holder));
    }

    fn stream_holder(&self) -> Option<Rc<VersionRecords>> {
        self.stream_holder.get()?.upgrade()
    }

    fn receive_speeds(&self, digest: &SpeedDigest) {
        if let Some(speeds) = self.speeds.get() {
            speeds.receive(digest);
        }
    }

    /// What is known of the load of cells and the ways to other failure domains.
    #[must_use]
    pub fn zones(&self) -> &Rc<ZoneExchange> {
        self.cells.zones()
    }

    /// Number of known instances, this one included.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.instances.borrow().len()
    }

    /// Position of this instance among all known ones, in the order of their names.
    #[must_use]
    pub fn rank(&self) -> usize {
        let instances = self.instances.borrow();
        instances
            .keys()
            .take_while(|name| **name != self.own.name)
            .count()
    }

    /// All known instances as candidates for the ownership of a cell.
    #[must_use]
    pub fn candidates(&self) -> Vec<OwnerCandidate> {
        let instances = self.instances.borrow();
        let candidates = instances.values().map(|info| OwnerCandidate {
            name: info.name.clone(),
            domain: info.domain.clone(),
            weight: info.weight,
        });
        candidates.collect()
    }

    /// Replaces the other instances by those that the store lists.
    pub fn set_instances(&self, listed: Vec<InstanceInfo>) {
        let mut instances = self.instances.borrow_mut();
        instances.retain(|name, _| *name == self.own.name);
        for info in listed {
            if info.name != self.own.name {
                instances.insert(info.name.clone(), info);
            }
        }
    }

    /// Adds or updates an instance that introduced itself in a handshake.
    fn add_instance(&self, info: InstanceInfo) {
        if info.name != self.own.name {
            self.instances.borrow_mut().insert(info.name.clone(), info);
        }
    }

    /// Link to an instance, opened if there is none; `None` if that takes too long.
    pub async fn link(&self, name: &Name) -> Option<Rc<Link>> {
        let deadline = Instant::now() + OPEN_WAIT;
        loop {
            let changed = self.changed.notified();
            match self.find_or_open(name) {
                Lookup::Up(link) => return Some(link),
                Lookup::Down => return None,
                Lookup::Opening => {}
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || tokio::time::timeout(left, changed).await.is_err() {
                return None;
            }
        }
    }

    /// Sends evidence about crashes over all open links.
    pub fn broadcast_evidence(&self, evidence: Vec<Evidence>) {
        let encoded = Message::Crashes(evidence).encode();
        let links = self.links.borrow();
        let opened = links.values().filter_map(|state| match state {
            LinkState::Up(link) => Some(&link.tx),
            LinkState::Opening(_) | LinkState::Down(_) | LinkState::Reopening => None,
        });
        for tx in opened.chain(self.served.borrow().values()) {
            let _closed = tx.send(encoded.clone());
        }
    }

    /// Evidence that other instances send; `None` if it was taken before.
    pub fn take_evidence(&self) -> Option<mpsc::UnboundedReceiver<Vec<Evidence>>> {
        self.evidence_rx.borrow_mut().take()
    }

    /// Link to an instance if it is open.
    #[must_use]
    pub fn open_link(&self, name: &Name) -> Option<Rc<Link>> {
        match self.links.borrow().get(name) {
            Some(LinkState::Up(link)) => Some(link.clone()),
            _ => None,
        }
    }

    /// Whether the link to an instance could not be opened and isn't to be tried again yet.
    #[must_use]
    pub fn is_unreachable(&self, name: &Name) -> bool {
        match self.links.borrow().get(name) {
            Some(LinkState::Down(until)) => Instant::now() < *until,
            Some(LinkState::Reopening) => true,
            Some(LinkState::Opening(_) | LinkState::Up(_)) | None => false,
        }
    }

    /// Finds a link or starts to open it.
    fn find_or_open(&self, name: &Name) -> Lookup {
        let now = Instant::now();
        let backed_off = self.backed_off.borrow().get(name).copied();
        if backed_off.is_some_and(|until| now < until) {
            return Lookup::Down;
        }
        match self.links.borrow().get(name) {
            Some(LinkState::Up(link)) => return Lookup::Up(link.clone()),
            Some(LinkState::Opening(since)) => {
                let slow = now.duration_since(*since) > OPEN_WAIT;
                return if slow { Lookup::Down } else { Lookup::Opening };
            }
            Some(LinkState::Reopening) => return Lookup::Down,
            Some(LinkState::Down(until)) if now < *until => return Lookup::Down,
            Some(LinkState::Down(_)) | None => {}
        }
        let retry = self.links.borrow().contains_key(name);
        let Some(info) = self.instances.borrow().get(name).cloned() else {
            return Lookup::Down;
        };
        let state = if retry {
            LinkState::Reopening
        } else {
            LinkState::Opening(now)
        };
        self.set_link(name, state);
        if let Some(peers) = self.weak.upgrade() {
            tokio::task::spawn_local(async move { peers.open(info).await });
        }
        if retry { Lookup::Down } else { Lookup::Opening }
    }

    fn set_link(&self, name: &Name, state: LinkState) {
        self.links.borrow_mut().insert(name.clone(), state);
        self.changed.notify_waiters();
    }

    /// Submits no jobs to an instance for a while: it redirected one.
    pub fn back_off(&self, name: &Name) {
        let until = Instant::now() + REDIRECT_BACKOFF;
        self.backed_off.borrow_mut().insert(name.clone(), until);
    }

    /// Opens a link and serves it until it is lost.
    async fn open(&self, info: InstanceInfo) {
        let Some(frames) = self.connect_in_time(&info).await else {
            self.set_link(&info.name, LinkState::Down(Instant::now() + REOPEN_BACKOFF));
            return;
        };
        let (tx, rx) = mpsc::unbounded_channel();
        let link = Rc::new(Link {
            tx,
            last_received: Cell::new(Instant::now()),
            callbacks: RefCell::default(),
            speeds: self.speeds.get().map(SpeedExchange::link),
            heartbeats: RefCell::default(),
            zones: self.cells.zones().clone(),
            sent_figures: SentFigures::new(SendIntervals::TO_OWNER),
        });
        self.set_link(&info.name, LinkState::Up(link.clone()));
        let running = run_link(frames, &link, rx, |message| match message {
            Message::Store(message) => {
                let event = LinkEvent::Received(message, boot_time());
                self.relay.handle_link_event(&info.name, event);
            }
            Message::Crashes(evidence) => {
                let _stopped = self.evidence_tx.send(evidence);
            }
            Message::Speeds(digest) => self.receive_speeds(&digest),
            Message::Figures(figures) => self.cells.zones().record(figures),
            Message::FoundStream { question, copy } => {
                if let Some(holder) = self.stream_holder() {
                    holder.record_answer(question, copy);
                }
            }
            Message::Pong => {
                if let Some(time) = link.end_heartbeat() {
                    self.cells.zones().record_round_trip(&info.domain, time);
                }
            }
            _ => {}
        });
        if let Err(panicked) = contain_future(running).await {
            error!(self.log, "panic in a link to an owner"; "owner" => &*info.name, "fault" => panicked.to_string());
        }
        self.relay.handle_link_event(&info.name, LinkEvent::Lost);
        self.cells.take_back();
        let lost = link.callbacks.borrow_mut().drain().count();
        // A new process may listen at the same address and accept jobs.
        self.backed_off.borrow_mut().remove(&info.name);
        info!(self.log, "link to owner lost"; "owner" => &*info.name, "waiting" => lost);
        let is_current = matches!(
            self.links.borrow().get(&info.name),
            Some(LinkState::Up(current)) if Rc::ptr_eq(current, &link)
        );
        if is_current {
            self.links.borrow_mut().remove(&info.name);
        }
    }

    /// Connects to an instance. While all instances start, one that doesn't listen yet is tried again
    /// for as long as jobs wait for the link; they would go to several owners otherwise.
    async fn connect_in_time(&self, info: &InstanceInfo) -> Option<Frames> {
        let begun_at = Instant::now();
        loop {
            let connecting = self.connect(info);
            if let Ok(Ok(frames)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                return Some(frames);
            }
            if self.started_at.elapsed() > START_PERIOD || begun_at.elapsed() > OPEN_WAIT {
                return None;
            }
            tokio::time::sleep(START_RETRY_DELAY).await;
        }
    }

    async fn connect(&self, info: &InstanceInfo) -> anyhow::Result<Frames> {
        let begun_at = Instant::now();
        let stream = TcpStream::connect(info.address).await?;
        let zones = self.cells.zones();
        zones.record_round_trip(&info.domain, begun_at.elapsed());
        stream.set_nodelay(true)?;
        detect_dead_peer(&stream)?;
        let mut frames = frames(stream);
        frames
            .send(Message::Hello(self.own.clone()).encode())
            .await?;
        let first_frame = frames
            .next()
            .await
            .ok_or_else(|| anyhow::anyhow!("connection closed before the handshake"))??;
        match Message::decode(&first_frame)? {
            Message::Hello(info) => {
                self.add_instance(info);
                Ok(frames)
            }
            other => anyhow::bail!("expected Hello as the first message, got {other:?}"),
        }
    }

    /// Hands over, forever, the cells for which a responsive instance ranks before this one.
    pub async fn hand_over_cells(self: Rc<Self>) {
        loop {
            tokio::time::sleep(HANDOVER_CHECK_INTERVAL).await;
            for cell in self.cells.cells_with_jobs() {
                let preferred = rank_owners(&cell, &self.candidates())
                    .into_iter()
                    .take_while(|name| *name != self.own.name);
                let mut is_responsive = false;
                for name in preferred {
                    if let Lookup::Up(link) = self.find_or_open(&name) {
                        is_responsive |= link.is_responsive();
                    }
                }
                if is_responsive {
                    self.cells.hand_over(&cell);
                }
            }
        }
    }

    /// Accepts links of other instances forever; fails only if it can't listen.
    pub async fn accept(self: Rc<Self>) -> anyhow::Result<()> {
        let listener = TcpListener::bind(self.own.address).await?;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let peers = self.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = peers.serve(stream).await {
                    info!(peers.log, "link from another instance failed"; "fault" => format!("{error:#}"));
                }
            });
        }
    }

    /// Serves a link that another instance opened, until it ends.
    async fn serve(&self, stream: TcpStream) -> anyhow::Result<()> {
        stream.set_nodelay(true)?;
        detect_dead_peer(&stream)?;
        let mut frames = frames(stream);
        let (tx, mut rx) = mpsc::unbounded_channel();
        let number = self.next_served.replace(self.next_served.get() + 1);
        self.served.borrow_mut().insert(number, tx.clone());
        let mut served = ServedLink {
            tx,
            submissions: HashMap::new(),
            subscription: None,
            speeds: self.speeds.get().map(|speeds| Rc::new(speeds.link())),
            sent_figures: Rc::new(SentFigures::new(SendIntervals::FROM_OWNER)),
        };
        let result = loop {
            tokio::select! {
                Some(message) = rx.recv() => {
                    if let Err(error) = send_all(&mut frames, message, &mut rx).await {
                        break Err(error.into());
                    }
                }
                frame = frames.next() => match frame {
                    Some(Ok(frame)) => match Message::decode(&frame) {
                        Ok(message) => {
                            if let Err(panicked) = contain(|| self.handle(message, &mut served)) {
                                break Err(panicked.into());
                            }
                        }
                        Err(error) => break Err(error),
                    },
                    Some(Err(error)) => break Err(error.into()),
                    None => break Ok(()),
                },
            }
        };
        self.served.borrow_mut().remove(&number);
        for (request, (cell, submission)) in served.submissions {
            self.cells.release(&cell, &request, submission);
        }
        if let Some(id) = served.subscription {
            self.relay.unsubscribe(id);
        }
        result
    }

    /// Handles a message of an instance that submits jobs or follows this one.
    fn handle(&self, message: Message, served: &mut ServedLink) {
        match message {
            Message::Hello(info) => {
                self.add_instance(info);
                served.send(&Message::Hello(self.own.clone()));
            }
            Message::Submit { cell, home, job } => {
                let request = job.id.clone();
                let (id, tx) = (request.clone(), served.tx.clone());
                let speeds = served.speeds.clone();
                let (zones, sent_figures) =
                    (self.cells.zones().clone(), served.sent_figures.clone());
                let callback = Box::new(move |event| {
                    if let Some(figures) = zones.due_message(&sent_figures) {
                        let _closed = tx.send(figures.encode());
                    }
                    let _closed = tx.send(event_message(id.clone(), event).encode());
                    if let Some(message) = speeds.as_ref().and_then(|speeds| speeds.estimates()) {
                        let _closed = tx.send(message.encode());
                    }
                });
                let submission = self.cells.submit(&cell, home.as_ref(), job, callback);
                served.submissions.insert(request, (cell, submission));
            }
            Message::Release { cell, request } => {
                if let Some((_, submission)) = served.submissions.remove(&request) {
                    self.cells.release(&cell, &request, submission);
                }
            }
            Message::Figures(figures) => self.cells.zones().record(figures),
            Message::Ping => {
                if let Some(figures) = self.cells.zones().due_message(&served.sent_figures) {
                    served.send(&figures);
                }
                served.send(&Message::Pong);
            }
            Message::Subscribe { known } => {
                if let Some(id) = served.subscription.take() {
                    self.relay.unsubscribe(id);
                }
                let id = self.relay.subscribe(served.tx.clone(), known);
                served.subscription = Some(id);
                if let Some(message) = self.speeds.get().and_then(|speeds| speeds.snapshot()) {
                    served.send(&message);
                }
            }
            Message::Unsubscribe => {
                if let Some(id) = served.subscription.take() {
                    self.relay.unsubscribe(id);
                }
            }
            Message::Crashes(evidence) => {
                let _stopped = self.evidence_tx.send(evidence);
            }
            Message::Speeds(digest) => self.receive_speeds(&digest),
            Message::HoldStreams(copies) => {
                if let Some(holder) = self.stream_holder() {
                    holder.hold(copies);
                }
            }
            Message::FindStream { question, stream } => {
                let copy = self
                    .stream_holder()
                    .and_then(|holder| holder.find_copy(&stream));
                served.send(&Message::FoundStream { question, copy });
            }
            Message::StageFinished { .. }
            | Message::Finished { .. }
            | Message::Aborted { .. }
            | Message::Refused { .. }
            | Message::Redirected { .. }
            | Message::Withdrawn { .. }
            | Message::Store(_)
            | Message::FoundStream { .. }
            | Message::Pong => {}
        }
    }
}

/// A link that another instance opened.
struct ServedLink {
    tx: mpsc::UnboundedSender<Bytes>,
    /// Jobs submitted over the link and not released, with their cells, by the id of the request.
    submissions: HashMap<Name, (Name, SubmissionId)>,
    /// Id of the other instance as a subscriber.
    subscription: Option<u64>,
    speeds: Option<Rc<LinkSpeeds>>,
    sent_figures: Rc<SentFigures>,
}

impl ServedLink {
    fn send(&self, message: &Message) {
        let _closed = self.tx.send(message.encode());
    }
}

enum Lookup {
    Up(Rc<Link>),
    /// May be open soon.
    Opening,
    /// Not to be waited for.
    Down,
}

/// Sends an encoded message, and the ones queued behind it in the same flush.
async fn send_all(
    frames: &mut Frames,
    first: Bytes,
    rx: &mut mpsc::UnboundedReceiver<Bytes>,
) -> std::io::Result<()> {
    frames.feed(first).await?;
    while let Ok(message) = rx.try_recv() {
        frames.feed(message).await?;
    }
    SinkExt::<Bytes>::flush(frames).await
}

/// Sends and receives messages until the link breaks or times out while jobs wait. `on_other` gets
/// those that are not about jobs.
async fn run_link(
    mut frames: Frames,
    link: &Link,
    mut rx: mpsc::UnboundedReceiver<Bytes>,
    on_other: impl Fn(Message),
) {
    let mut heartbeat = Heartbeat::default();
    loop {
        let is_waiting = !link.callbacks.borrow().is_empty();
        let check_at = heartbeat.next_check(is_waiting, Instant::now());
        let check_in = check_at.map(|at| at.saturating_duration_since(Instant::now()));
        tokio::select! {
            // What has arrived is read before the link counts as silent, also after this process was
            // held up; and what is sent doesn't delay the check.
            biased;
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { return };
                heartbeat.record_received();
                link.last_received.set(Instant::now());
                match Message::decode(&frame) {
                    Ok(Message::Finished { request, inputs }) => {
                        link.finish(&request, JobOutcome::Finished(inputs));
                    }
                    Ok(Message::Aborted { request, retry_after, reason }) => {
                        link.finish(&request, JobOutcome::Aborted { retry_after, reason });
                    }
                    Ok(Message::Refused { request, retry_after, backlog, reason }) => {
                        let outcome = JobOutcome::Refused { retry_after, backlog, reason };
                        link.finish(&request, outcome);
                    }
                    Ok(Message::Redirected { request, accepted }) => {
                        link.finish(&request, JobOutcome::Redirected { accepted });
                    }
                    Ok(Message::Withdrawn { request, accepted }) => {
                        link.finish(&request, JobOutcome::Withdrawn { accepted });
                    }
                    Ok(Message::StageFinished { request, results }) => {
                        if let Some(callback) = link.callbacks.borrow().get(&request) {
                            callback(JobEvent::StageFinished(results));
                        }
                    }
                    Ok(message) => on_other(message),
                    Err(_) => return,
                }
            }
            () = tokio::time::sleep(check_in.unwrap_or_default()), if check_in.is_some() => {
                match heartbeat.check(Instant::now()) {
                    HeartbeatAction::Wait => {}
                    HeartbeatAction::Send => link.send_heartbeat(),
                    HeartbeatAction::Close => return,
                }
            }
            message = rx.recv() => {
                let Some(message) = message else { return };
                let sending = send_all(&mut frames, message, &mut rx);
                if !matches!(tokio::time::timeout(WRITE_TIMEOUT, sending).await, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}
