//! Panics that end one piece of work, not the process.
//!
//! A fault in what one request needs must not end those of all other callers. Work whose state is dropped
//! with it, or can be built anew, is therefore run by [`contain`] or [`contain_future`]. Any other panic
//! ends the process, which is then restarted: with one task gone, the others would run on and serve only
//! part of what the instance should. So do panics that keep coming, as they show that the state which
//! outlives the work is damaged.
//!
//! ```
//! use sardineshore_serve::containment::contain;
//!
//! assert_eq!(contain(|| 7).unwrap(), 7);
//! let empty: [u8; 0] = [];
//! assert!(contain(|| empty.iter().max().unwrap()).is_err());
//! ```

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// More contained panics than this in [`WINDOW`] end the process.
const MAX_PANICS: usize = 16;
/// Time in which contained panics are counted.
const WINDOW: Duration = Duration::from_secs(10);

thread_local! {
    /// Nesting depth of contained work.
    static DEPTH: Cell<usize> = const { Cell::new(0) };
    /// Times of recent contained panics.
    static RECENT: RefCell<VecDeque<Instant>> = const { RefCell::new(VecDeque::new()) };
    /// Source file and line of the latest panic, if the hook is installed.
    static PLACE: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Contained work that panicked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("panic at {place}: {message}")]
pub struct Panicked {
    /// Message of the panic.
    pub message: String,
    /// Source file and line; empty unless [`install_hook`] was called.
    pub place: String,
}

impl Panicked {
    fn new(payload: &(dyn Any + Send)) -> Self {
        let text = payload
            .downcast_ref::<&str>()
            .map(|text| (*text).to_owned());
        let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
        Self {
            message: text.unwrap_or_default(),
            place: PLACE.take().unwrap_or_default(),
        }
    }
}

/// Marks this thread as doing contained work while it exists.
struct Containment;

impl Containment {
    fn begin() -> Self {
        DEPTH.set(DEPTH.get() + 1);
        Self
    }
}

impl Drop for Containment {
    fn drop(&mut self) {
        DEPTH.set(DEPTH.get() - 1);
    }
}

/// Does work, and returns its panic as an error. The caller has to drop or renew the state that the work
/// may have left half changed.
pub fn contain<T>(work: impl FnOnce() -> T) -> Result<T, Panicked> {
    let containment = Containment::begin();
    let result = catch_unwind(AssertUnwindSafe(work));
    drop(containment);
    result.map_err(|payload| Panicked::new(&*payload))
}

/// Runs a future like [`contain`] does work.
pub async fn contain_future<T>(work: impl Future<Output = T>) -> Result<T, Panicked> {
    let mut work = pin!(work);
    std::future::poll_fn(|cx| match contain(|| work.as_mut().poll(cx)) {
        Ok(Poll::Ready(output)) => Poll::Ready(Ok(output)),
        Ok(Poll::Pending) => Poll::Pending,
        Err(panicked) => Poll::Ready(Err(panicked)),
    })
    .await
}

/// Has panics abort the process unless they are contained and few.
pub fn install_hook() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        if !is_contained(panic, Instant::now()) {
            std::process::abort();
        }
    }));
}

/// Records a panic, and returns whether the process can go on.
fn is_contained(panic: &PanicHookInfo<'_>, now: Instant) -> bool {
    PLACE.set(panic.location().map(ToString::to_string));
    DEPTH.get() > 0 && RECENT.with_borrow_mut(|recent| count(recent, now)) <= MAX_PANICS
}

/// Adds a time, and returns how many there are in the window that ends with it.
fn count(recent: &mut VecDeque<Instant>, now: Instant) -> usize {
    recent.push_back(now);
    recent.retain(|at| now.saturating_duration_since(*at) < WINDOW);
    recent.len()
}
