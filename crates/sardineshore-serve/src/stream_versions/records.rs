//! Writes the records of streams and removes those that are needed no more.

use std::borrow::Cow;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::cells::rank_owners;
use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::stream_versions::{
    RecordSweep, StreamLife, StreamOrigin, StreamRecord,
};
use slog::{info, warn};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use super::{CHECK_INTERVAL, VersionRecords};
use crate::store::StoreError;

/// Name under which one instance is chosen to remove records that were left behind.
const SWEEP: &str = "stream records";
/// Number of partitions over which records are spread.
const PARTITIONS: u64 = 16;
/// Maximum number of records that one call writes, and of those that it removes.
const MAX_BATCH: usize = 48;
/// Back-off after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often records are looked for that instances have left behind.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);
/// How often a stream whose record is not written checks whether it has to wait for it any longer.
const WAIT_STEP: Duration = Duration::from_millis(200);

/// What the first event of a stream waits for.
#[derive(Debug)]
pub struct PendingRecord {
    /// Key of its route.
    pub(super) route: Name,
    pub(super) pool: Name,
    pub(super) stream: Name,
    /// Time for which the stream may be taken up.
    pub(super) life: StreamLife,
    /// Told when its record is written; `None` if it needs none.
    pub(super) written: Option<oneshot::Receiver<()>>,
}

/// A record in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RecordKey {
    pub(super) part: String,
    key: String,
}

#[derive(Debug)]
pub(super) struct QueuedRecord {
    stream: Name,
    number: u32,
    key: RecordKey,
    value: Vec<u8>,
    /// When the stream can't be taken up any more.
    expires_at: Instant,
    /// It is not written before this time.
    due_at: Instant,
    /// Told when it is written, if someone waits for it.
    written: Option<oneshot::Sender<()>>,
}

impl VersionRecords {
    /// Queues the record of a stream with this number, to be written after `delay`.
    pub(super) fn queue_record(
        &self,
        stream: &Name,
        number: u32,
        origin: Option<StreamOrigin>,
        life: StreamLife,
        delay: Duration,
    ) -> Option<oneshot::Receiver<()>> {
        let value = postcard::to_stdvec(&StreamRecord { origin, life }).ok()?;
        let (tx, written) = oneshot::channel();
        let key = RecordKey {
            part: partition(stream),
            // Instances that take a stream up write records of their own, which last longer.
            key: format!(
                "{}/{number:04}-{}",
                row_id(stream),
                self.peers.this_instance().name
            ),
        };
        self.queue.borrow_mut().push_back(QueuedRecord {
            stream: stream.clone(),
            number,
            key,
            value,
            expires_at: Instant::now() + life.retention(),
            due_at: Instant::now() + delay,
            written: Some(tx),
        });
        self.to_write.notify_one();
        Some(written)
    }

    /// Waits until a stream's record is written, if the stream might be taken for one of another version
    /// without it, and until the stated life covers the stream.
    pub async fn wait_written(&self, record: &mut PendingRecord) {
        loop {
            let life_changed = self.life_changed.notified();
            let (awaits_record, awaits_life) = {
                let known = self.known.borrow();
                let (route, pool, stream) = (&record.route, &record.pool, &record.stream);
                let must_await = known.must_await_record(pool, stream, Instant::now())
                    || known.must_await_split_record(route, pool, stream);
                let awaits_life = !known.life().covers(record.life);
                (record.written.is_some() && must_await, awaits_life)
            };
            match &mut record.written {
                Some(written) if awaits_record => {
                    if tokio::time::timeout(WAIT_STEP, written).await.is_ok() {
                        record.written = None;
                    }
                }
                _ if awaits_life => {
                    let _unchanged = tokio::time::timeout(WAIT_STEP, life_changed).await;
                }
                _ => return,
            }
        }
    }

    /// Writes records, forever.
    pub async fn write_records(self: Rc<Self>) {
        loop {
            let (part, batch) = match self.next_batch() {
                Ok(next) => next,
                Err(due_at) => {
                    let due_in = due_at.map(|at| at.saturating_duration_since(Instant::now()));
                    let due_in = due_in.unwrap_or(CHECK_INTERVAL);
                    let _due = tokio::time::timeout(due_in, self.to_write.notified()).await;
                    continue;
                }
            };
            let expired = self.take_expired(Some(&part));
            match self.write_batch(&part, &batch, &expired).await {
                Ok(()) => {
                    self.is_failing.set(false);
                    let mut written = self.written.borrow_mut();
                    for record in batch {
                        written.insert((record.expires_at, record.key));
                        // The stream may have ended.
                        let _ended = record.written.map(|written| written.send(()));
                    }
                }
                Err(error) => {
                    if !self.is_failing.replace(true) {
                        warn!(self.log, "can't record versions of streams; retrying"; "streams" => batch.len(), "fault" => error.to_string());
                    }
                    self.requeue(batch, expired);
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// The oldest due record with others of its partition. Without one, the time at which the next one is
    /// due. Streams that have ended need none, nor do requests that others have taken the place of.
    fn next_batch(&self) -> Result<(String, Vec<QueuedRecord>), Option<Instant>> {
        let mut queue = self.queue.borrow_mut();
        let known = self.known.borrow();
        let now = Instant::now();
        queue.retain(|record| {
            let is_current = known.is_current_record(&record.stream, record.number);
            record.expires_at > now && is_current
        });
        drop(known);
        let Some(first) = queue.iter().find(|record| record.due_at <= now) else {
            return Err(queue.iter().map(|record| record.due_at).min());
        };
        let part = first.key.part.clone();
        let is_next = |record: &QueuedRecord| record.key.part == part && record.due_at <= now;
        let (mut batch, rest): (Vec<_>, Vec<_>) = queue.drain(..).partition(is_next);
        queue.extend(rest);
        let excess = batch.split_off(batch.len().min(MAX_BATCH));
        for record in excess.into_iter().rev() {
            queue.push_front(record);
        }
        Ok((part, batch))
    }

    pub(super) fn requeue(&self, batch: Vec<QueuedRecord>, expired: Vec<RecordKey>) {
        let mut queue = self.queue.borrow_mut();
        for record in batch.into_iter().rev() {
            queue.push_front(record);
        }
        let now = Instant::now();
        let expired = expired.into_iter().map(|key| (now, key));
        self.written.borrow_mut().extend(expired);
    }

    /// Takes records whose streams can't be taken up any more, of one partition.
    pub(super) fn take_expired(&self, part: Option<&str>) -> Vec<RecordKey> {
        let now = Instant::now();
        let mut written = self.written.borrow_mut();
        let due = || written.iter().take_while(|(at, _)| *at <= now);
        let Some((_, first)) = due().next() else {
            return Vec::new();
        };
        let part = part.unwrap_or(&first.part);
        let expired = due().filter(|(_, key)| key.part == part);
        let expired: Vec<_> = expired.take(MAX_BATCH).cloned().collect();
        for record in &expired {
            written.remove(record);
        }
        expired.into_iter().map(|(_, key)| key).collect()
    }

    pub(super) async fn write_batch(
        &self,
        part: &str,
        batch: &[QueuedRecord],
        expired: &[RecordKey],
    ) -> Result<(), StoreError> {
        let records: Vec<(&str, &[u8])> = batch
            .iter()
            .map(|record| (record.key.key.as_str(), record.value.as_slice()))
            .collect();
        let expired: Vec<&str> = expired.iter().map(|key| key.key.as_str()).collect();
        let dialect = self.store.dialect();
        let call = dialect.put_stream_records_call(part, &records, &expired);
        self.store.write(call).await
    }

    /// Removes records that instances have left behind, forever. One instance does so for all.
    pub async fn sweep(self: Rc<Self>) {
        let mut seen = RecordSweep::default();
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let owners = rank_owners(SWEEP, &self.peers.candidates());
            if owners.first() != Some(&self.peers.this_instance().name) {
                seen = RecordSweep::default();
                continue;
            }
            for part in (0..PARTITIONS).map(partition_name) {
                if let Err(error) = self.sweep_partition(&part, &mut seen).await {
                    info!(self.log, "can't remove old records of streams"; "fault" => error.to_string());
                }
            }
        }
    }

    /// Removes the old records among the first of a partition.
    async fn sweep_partition(&self, part: &str, seen: &mut RecordSweep) -> Result<(), StoreError> {
        let dialect = self.store.dialect();
        let call = dialect.read_stream_records_call(part, None);
        let page = self.store.read_page(call).await?;
        let records = page.rows.into_iter().map(|row| {
            let record = row
                .value
                .as_deref()
                .map(postcard::from_bytes::<StreamRecord>);
            let life = match record {
                Some(Ok(record)) => record.life,
                Some(Err(_)) | None => StreamLife::new(None),
            };
            (row.key, life.retention())
        });
        let old = seen.update(part, records, Instant::now());
        let old: Vec<&str> = old.iter().map(|key| &**key).collect();
        for keys in old.chunks(MAX_BATCH) {
            let call = dialect.put_stream_records_call(part, &[], keys);
            self.store.write(call).await?;
        }
        Ok(())
    }
}

/// Longest id of a stream that is part of its records' keys as it is, in bytes: the store bounds keys.
const MAX_ID_BYTES: usize = 100;

/// What stands for a stream in the keys of its records.
pub(super) fn row_id(stream: &str) -> Cow<'_, str> {
    if stream.len() <= MAX_ID_BYTES {
        return stream.into();
    }
    format!("#{:032x}", xxh3_128(stream.as_bytes())).into()
}

/// Partition of the store that holds the records of a stream.
pub(super) fn partition(stream: &str) -> String {
    partition_name(xxh3_64(stream.as_bytes()) % PARTITIONS)
}

fn partition_name(number: u64) -> String {
    format!("{number:x}")
}
