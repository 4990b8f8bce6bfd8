//! Links between instances: jobs go to the owner of their cell, ends come back.

mod message;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
pub use message::{InstanceInfo, Message};
use message::event_message;
use sardineshore_core::flow::batching::Job;
use sardineshore_core::flow::cells::{OwnerCandidate, rank_owners};
use sardineshore_core::flow::config::Name;
use slog::{Logger, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::cell::{JobCallback, JobEvent, JobOutcome, OwnedCells};

/// Longest time to open a link, its greeting included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a job waits for a link that is being opened.
const OPEN_WAIT: Duration = Duration::from_millis(180);
/// Pause before a link that could not be opened is tried again.
const REOPEN_PAUSE: Duration = Duration::from_millis(600);
/// Pause before an owner that is stopping is asked again.
const MOVED_PAUSE: Duration = Duration::from_millis(1500);
/// A link with waiting jobs that was silent for so long is asked for a sign of life.
const QUIET: Duration = Duration::from_millis(250);
/// A link with waiting jobs that was silent for so long is given up.
const SILENT: Duration = Duration::from_millis(800);
/// How often an owner looks for one that goes before it.
const RESIGN_CHECK: Duration = Duration::from_millis(300);
/// Longest message, in bytes.
const MAX_MESSAGE: usize = 1 << 20;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE)
        .new_codec();
    Framed::new(stream, codec)
}

/// An open link to an owner.
pub struct Link {
    tx: mpsc::UnboundedSender<Message>,
    heard: Cell<Instant>,
    waiting: RefCell<HashMap<Name, JobCallback>>,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Link {
    fn end(&self, request: &str, end: JobOutcome) {
        let callback = self.waiting.borrow_mut().remove(request);
        if let Some(callback) = callback {
            callback(JobEvent::Ended(end));
        }
    }

    /// Whether the link is lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.tx.is_closed()
    }

    /// Hands a job over; the callback hears of it and is dropped if the link is lost.
    pub fn submit(&self, cell: Name, job: Job, callback: JobCallback) {
        self.waiting.borrow_mut().insert(job.id.clone(), callback);
        let _closed = self.tx.send(Message::Submit { cell, job });
    }

    /// Tells the owner that a job's results were used or that nobody waits for it.
    pub fn release(&self, cell: &Name, request: &Name) {
        self.waiting.borrow_mut().remove(request);
        let (cell, request) = (cell.clone(), request.clone());
        let _closed = self.tx.send(Message::Release { cell, request });
    }
}

#[derive(Debug)]
enum LinkState {
    /// Opened for the first time since it was lost: jobs wait a little.
    Opening(Instant),
    Up(Rc<Link>),
    /// Could not be opened; tried again from a time on.
    Down(Instant),
    /// Tried again: jobs don't wait.
    Reopening,
}

/// Known instances and links to them.
#[derive(Debug)]
pub struct Peers {
    own: InstanceInfo,
    cells: Rc<OwnedCells>,
    known: RefCell<BTreeMap<Name, InstanceInfo>>,
    links: RefCell<HashMap<Name, LinkState>>,
    /// Owners that take no jobs, and until when they are left alone.
    avoided: RefCell<HashMap<Name, Instant>>,
    changed: Notify,
    log: Logger,
    weak: Weak<Self>,
}

impl Peers {
    /// Knows only this instance.
    #[must_use]
    pub fn new(own: InstanceInfo, cells: Rc<OwnedCells>, log: Logger) -> Rc<Self> {
        Rc::new_cyclic(|weak| Self {
            known: RefCell::new(BTreeMap::from([(own.name.clone(), own.clone())])),
            own,
            cells,
            links: RefCell::default(),
            avoided: RefCell::default(),
            changed: Notify::new(),
            log,
            weak: weak.clone(),
        })
    }

    /// This instance.
    #[must_use]
    pub fn this_instance(&self) -> &InstanceInfo {
        &self.own
    }

    /// Number of known instances.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.known.borrow().len()
    }

    /// All known instances as candidates for ownership.
    #[must_use]
    pub fn candidates(&self) -> Vec<OwnerCandidate> {
        let known = self.known.borrow();
        let candidates = known.values().map(|info| OwnerCandidate {
            name: info.name.clone(),
            domain: info.domain.clone(),
            weight: info.weight,
        });
        candidates.collect()
    }

    /// Replaces the known instances by the store's rows.
    pub fn set_instances(&self, listed: Vec<InstanceInfo>) {
        let mut known = self.known.borrow_mut();
        known.retain(|name, _| *name == self.own.name);
        for info in listed {
            if info.name != self.own.name {
                known.insert(info.name.clone(), info);
            }
        }
    }

    fn meet(&self, info: InstanceInfo) {
        if info.name != self.own.name {
            self.known.borrow_mut().insert(info.name.clone(), info);
        }
    }

    /// Link to an instance; `None` if it can't be opened soon.
    pub async fn link(&self, name: &Name) -> Option<Rc<Link>> {
        let patience = Instant::now() + OPEN_WAIT;
        loop {
            let changed = self.changed.notified();
            match self.look(name) {
                Look::Up(link) => return Some(link),
                Look::Down => return None,
                Look::Opening => {}
            }
            let left = patience.saturating_duration_since(Instant::now());
            if left.is_zero() || tokio::time::timeout(left, changed).await.is_err() {
                return None;
            }
        }
    }

    fn look(&self, name: &Name) -> Look {
        let now = Instant::now();
        let avoided = self.avoided.borrow().get(name).copied();
        if avoided.is_some_and(|until| now < until) {
            return Look::Down;
        }
        match self.links.borrow().get(name) {
            Some(LinkState::Up(link)) => return Look::Up(link.clone()),
            Some(LinkState::Opening(since)) => {
                let slow = now.duration_since(*since) > OPEN_WAIT;
                return if slow { Look::Down } else { Look::Opening };
            }
            Some(LinkState::Reopening) => return Look::Down,
            Some(LinkState::Down(until)) if now < *until => return Look::Down,
            Some(LinkState::Down(_)) | None => {}
        }
        let again = self.links.borrow().contains_key(name);
        let Some(info) = self.known.borrow().get(name).cloned() else {
            return Look::Down;
        };
        let state = if again {
            LinkState::Reopening
        } else {
            LinkState::Opening(now)
        };
        self.set(name, state);
        if let Some(peers) = self.weak.upgrade() {
            tokio::task::spawn_local(async move { peers.open(info).await });
        }
        if again { Look::Down } else { Look::Opening }
    }

    fn set(&self, name: &Name, state: LinkState) {
        self.links.borrow_mut().insert(name.clone(), state);
        self.changed.notify_waiters();
    }

    /// An owner said that it takes no jobs: it is left alone for a while.
    pub fn back_off(&self, name: &Name) {
        let until = Instant::now() + MOVED_PAUSE;
        self.avoided.borrow_mut().insert(name.clone(), until);
    }

    async fn open(&self, info: InstanceInfo) {
        let opening = self.greet(info.address);
        let Ok(Ok(frames)) = tokio::time::timeout(CONNECT_TIMEOUT, opening).await else {
            self.set(&info.name, LinkState::Down(Instant::now() + REOPEN_PAUSE));
            return;
        };
        let (tx, rx) = mpsc::unbounded_channel();
        let link = Rc::new(Link {
            tx,
            heard: Cell::new(Instant::now()),
            waiting: RefCell::default(),
        });
        self.set(&info.name, LinkState::Up(link.clone()));
        drive(frames, &link, rx).await;
        let lost = link.waiting.borrow_mut().drain().count();
        // A new process behind the same address may take jobs again.
        self.avoided.borrow_mut().remove(&info.name);
        info!(self.log, "link to owner lost"; "owner" => &*info.name, "waiting" => lost);
        let is_current = matches!(
            self.links.borrow().get(&info.name),
            Some(LinkState::Up(current)) if Rc::ptr_eq(current, &link)
        );
        if is_current {
            self.links.borrow_mut().remove(&info.name);
        }
    }

    async fn greet(&self, address: SocketAddr) -> anyhow::Result<Frames> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut frames = frames(stream);
        frames
            .send(Message::Hello(self.own.clone()).encode())
            .await?;
        let answer = frames
            .next()
            .await
            .ok_or_else(|| anyhow::anyhow!("closed before its greeting"))??;
        match Message::decode(&answer)? {
            Message::Hello(info) => {
                self.meet(info);
                Ok(frames)
            }
            other => anyhow::bail!("expected a greeting, got {other:?}"),
        }
    }

    /// Gives cells up whose proper owner can be reached again, for ever.
    pub async fn hand_over_cells(self: Rc<Self>) {
        loop {
            tokio::time::sleep(RESIGN_CHECK).await;
            for cell in self.cells.cells_with_jobs() {
                let better = rank_owners(&cell, &self.candidates())
                    .into_iter()
                    .take_while(|name| *name != self.own.name);
                let mut reached = false;
                for name in better {
                    reached |= matches!(self.look(&name), Look::Up(_));
                }
                if reached {
                    self.cells.hand_over(&cell);
                }
            }
        }
    }

    /// Accepts links of other instances for ever.
    pub async fn accept(self: Rc<Self>) -> anyhow::Result<()> {
        let listener = TcpListener::bind(self.own.address).await?;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let peers = self.clone();
            tokio::task::spawn_local(async move {
                if let Err(fault) = peers.serve(stream).await {
                    info!(peers.log, "link ended"; "fault" => format!("{fault:#}"));
                }
            });
        }
    }

    async fn serve(&self, stream: TcpStream) -> anyhow::Result<()> {
        stream.set_nodelay(true)?;
        let mut frames = frames(stream);
        let (tx, mut rx) = mpsc::unbounded_channel();
        let mut jobs: HashMap<Name, Name> = HashMap::new();
        let result = loop {
            tokio::select! {
                Some(message) = rx.recv() => {
                    if let Err(fault) = send_all(&mut frames, message, &mut rx).await {
                        break Err(fault.into());
                    }
                }
                frame = frames.next() => match frame {
                    Some(Ok(frame)) => match Message::decode(&frame) {
                        Ok(message) => self.handle(message, &tx, &mut jobs),
                        Err(fault) => break Err(fault.into()),
                    },
                    Some(Err(fault)) => break Err(fault.into()),
                    None => break Ok(()),
                },
            }
        };
        for (request, cell) in jobs {
            self.cells.release(&cell, &request);
        }
        result
    }

    fn handle(
        &self,
        message: Message,
        tx: &mpsc::UnboundedSender<Message>,
        jobs: &mut HashMap<Name, Name>,
    ) {
        match message {
            Message::Hello(info) => {
                self.meet(info);
                let _closed = tx.send(Message::Hello(self.own.clone()));
            }
            Message::Submit { cell, job } => {
                let request = job.id.clone();
                jobs.insert(request.clone(), cell.clone());
                let tx = tx.clone();
                let callback = Box::new(move |event| {
                    let _closed = tx.send(event_message(request.clone(), event));
                });
                self.cells.submit(&cell, job, callback);
            }
            Message::Release { cell, request } => {
                jobs.remove(&request);
                self.cells.release(&cell, &request);
            }
            Message::Ping => {
                let _closed = tx.send(Message::Pong);
            }
            Message::StageFinished { .. }
            | Message::Finished { .. }
            | Message::Aborted { .. }
            | Message::Refused { .. }
            | Message::Redirected { .. }
            | Message::Pong => {}
        }
    }
}

enum Look {
    Up(Rc<Link>),
    Opening,
    Down,
}

/// Sends a message together with all that wait behind it.
async fn send_all(
    frames: &mut Frames,
    first: Message,
    rx: &mut mpsc::UnboundedReceiver<Message>,
) -> std::io::Result<()> {
    frames.feed(first.encode()).await?;
    while let Ok(message) = rx.try_recv() {
        frames.feed(message.encode()).await?;
    }
    SinkExt::<Bytes>::flush(frames).await
}

/// Carries messages until the link breaks or falls silent while jobs wait.
async fn drive(mut frames: Frames, link: &Link, mut rx: mpsc::UnboundedReceiver<Message>) {
    let mut asked: Option<Instant> = None;
    loop {
        tokio::select! {
            message = rx.recv() => {
                let Some(message) = message else { return };
                if send_all(&mut frames, message, &mut rx).await.is_err() {
                    return;
                }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { return };
                link.heard.set(Instant::now());
                asked = None;
                match Message::decode(&frame) {
                    Ok(Message::Finished { request, inputs }) => {
                        link.end(&request, JobOutcome::Finished(inputs));
                    }
                    Ok(Message::Aborted { request, retry_after }) => {
                        link.end(&request, JobOutcome::Aborted(retry_after));
                    }
                    Ok(Message::Refused { request, retry_after, backlog }) => {
                        link.end(&request, JobOutcome::Refused { retry_after, backlog });
                    }
                    Ok(Message::Redirected { request, accepted }) => {
                        link.end(&request, JobOutcome::Redirected { accepted });
                    }
                    Ok(Message::StageFinished { request, results }) => {
                        if let Some(callback) = link.waiting.borrow().get(&request) {
                            callback(JobEvent::StageFinished(results));
                        }
                    }
                    Ok(_) => {}
                    Err(_) => return,
                }
            }
            () = tokio::time::sleep(QUIET), if !link.waiting.borrow().is_empty() => {
                match asked {
                    None => {
                        asked = Some(Instant::now());
                        if frames.send(Message::Ping.encode()).await.is_err() {
                            return;
                        }
                    }
                    Some(at) if at.elapsed() + QUIET > SILENT => return,
                    Some(_) => {}
                }
            }
        }
    }
}
