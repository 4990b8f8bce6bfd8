//! A machine loses power just before the store comes back from a copy; callers take their streams up elsewhere.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, Work};
use crate::fleet::{Fleet, Instance};
use crate::record::Record;
use crate::store::Store;

const KEY: &str = "9dnn2ctnfzs989anu6ws";
/// Streams that run at the machine that loses power.
const STREAMS: usize = 24;
const EVENTS: u64 = 90;
const EVENT_MS: u64 = 100;
/// Time that a client has for a stream, its tries included.
const DEADLINE: Duration = Duration::from_secs(15);
/// `stable_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3000);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"chat","host":"chat.example","prefix":"/chat/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":2,"service":"model","max_attempts":2,"stages":[],"anonymous":false,"sticky":true,"stream_resume":true,"gap_aim_ms":250}],
"services":[
{"name":"model","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":327170,"kv_token_bytes":163840,"link_mbps":180000.0,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

#[derive(Default)]
struct Seen {
    /// Streams that were taken up, those that went on, and those of them that were whole in the end.
    taken_up: usize,
    went_on: usize,
    whole: usize,
    /// New streams at the machine at which the others were taken up, since the drill, and those that began.
    new: usize,
    begun: usize,
}

struct World {
    fleet: Arc<Fleet>,
    seen: Mutex<Seen>,
    next_id: AtomicU64,
    record: Arc<Record>,
}

/// An answer as far as it was read.
struct Answer {
    status: u16,
    last_event: u64,
    is_whole: bool,
}

impl World {
    fn new_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn ask(
        &self,
        instance: &Instance,
        id: &str,
        resumed: Option<(&str, u64)>,
        left: Duration,
    ) -> Option<Answer> {
        let mut stream = TcpStream::connect(instance.front).ok()?;
        // A client leaves a stream after a gap of four times the objective.
        stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
        let resumed =
            resumed.map(|(first, last)| format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n"));
        let request = format!(
            "POST /chat/1 HTTP/1.1\r\nHost: chat.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 715,270\r\nX-Prompt-Prefix: 5c1e07a2:172,{}:543\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n{}Content-Length: 3\r\n\r\nask",
            &id[..8],
            left.as_millis(),
            resumed.unwrap_or_default()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut rd = BufReader::new(stream);
        let mut line = String::new();
        rd.read_line(&mut line).ok()?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        while !line.trim().is_empty() {
            line.clear();
            rd.read_line(&mut line).ok()?;
        }
        let mut answer = Answer {
            status,
            last_event: 0,
            is_whole: false,
        };
        while status == 200 {
            line.clear();
            let size = rd
                .read_line(&mut line)
                .ok()
                .and_then(|_| usize::from_str_radix(line.trim(), 16).ok());
            let Some(size) = size else { break };
            let mut chunk = vec![0; size + 2];
            if rd.read_exact(&mut chunk).is_err() {
                break;
            }
            if size == 0 {
                answer.is_whole = true;
                break;
            }
            let text = String::from_utf8_lossy(&chunk).into_owned();
            let ids = text
                .lines()
                .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
            answer.last_event = ids.last().unwrap_or(answer.last_event);
        }
        Some(answer)
    }

    /// A stream at the first machine, and its taking up at the second one.
    fn call_and_take_up(&self) {
        let (first, second) = (&self.fleet.instances[0], &self.fleet.instances[1]);
        let until = Instant::now() + DEADLINE;
        let id = self.new_id();
        let Some(answer) = self.ask(first, &id, None, DEADLINE) else {
            return;
        };
        if answer.is_whole || answer.last_event == 0 {
            self.record
                .add(format!("stream {id}: {}, not cut", answer.status));
            return;
        }
        let again = self.new_id();
        let left = until.saturating_duration_since(Instant::now());
        let last = answer.last_event;
        self.record.add(format!(
            "stream {id} was cut after event {last}; {again} takes it up"
        ));
        let answer = self.ask(second, &again, Some((&id, last)), left);
        let answer = answer.unwrap_or(Answer {
            status: 0,
            last_event: 0,
            is_whole: false,
        });
        let (status, is_whole) = (answer.status, answer.is_whole);
        self.record.add(format!(
            "stream {again}: {status}, last event {}, whole: {is_whole}",
            answer.last_event
        ));
        let mut seen = self.seen.lock().expect("seen");
        seen.taken_up += 1;
        seen.went_on += usize::from(answer.last_event > last);
        seen.whole += usize::from(is_whole);
    }

    /// A new stream at the second machine.
    fn call_anew(&self) {
        let id = self.new_id();
        let answer = self.ask(&self.fleet.instances[1], &id, None, DEADLINE);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        self.record.add(format!("new stream {id}: {status}"));
        let mut seen = self.seen.lock().expect("seen");
        seen.new += 1;
        seen.begun += usize::from(answer.is_some_and(|answer| answer.last_event > 0));
    }
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let (store, store_address) = Store::start();
    let mut engines = Vec::new();
    for number in 1..=4 {
        let work = Work::Stream(EVENTS, EVENT_MS);
        engines.push(Engine::start(
            &format!("i-model-{number}"),
            "model",
            "z-a",
            work,
            record,
        ));
    }
    store.write("op", "config", Some(CONFIG));
    for engine in &engines {
        store.write("servers", &engine.id, Some(&engine.entry("ready")));
    }
    let Some(fleet) = Fleet::start(&["z-a", "z-b"], store_address, record) else {
        return Verdict::NotRun("the instances are not ready");
    };
    let world = Arc::new(World {
        fleet,
        seen: Mutex::default(),
        next_id: AtomicU64::new(u64::from(std::process::id()) << 20),
        record: record.clone(),
    });
    std::thread::sleep(Duration::from_secs(6));
    let copy = store.copy();
    record.add("a copy of the store is made".to_owned());
    std::thread::sleep(Duration::from_secs(3));
    let mut callers = Vec::new();
    for _ in 0..STREAMS {
        let world = world.clone();
        callers.push(std::thread::spawn(move || world.call_and_take_up()));
        std::thread::sleep(Duration::from_millis(40));
    }
    std::thread::sleep(Duration::from_secs(1));
    // The machine is dark from now on.
    let dark = world.fleet.instances[0].clone();
    dark.is_disturbed.store(true, Ordering::SeqCst);
    record.add(format!("{} loses power", dark.name));
    world.fleet.signal(&dark, "STOP");
    std::thread::sleep(Duration::from_millis(50));
    if has_trouble {
        store.leave();
        record.add("the store is away".to_owned());
    }
    std::thread::sleep(Duration::from_millis(200));
    if has_trouble {
        store.come_back(copy);
        record.add("the store is back from the copy".to_owned());
        store.write("op", "config", Some(CONFIG));
        for engine in &engines {
            store.write("servers", &engine.id, Some(&engine.entry("ready")));
        }
    }
    let back_at = Instant::now();
    std::thread::sleep(Duration::from_millis(3300));
    // All is in touch from here on; the machine has power again, and its process starts anew.
    let stable_ms = back_at.elapsed().saturating_sub(STABLE).as_millis();
    record.add(format!(
        "{} has power again, {stable_ms} ms after the store became stable",
        dark.name
    ));
    world.fleet.signal(&dark, "KILL");
    for _ in 0..STREAMS {
        let world = world.clone();
        callers.push(std::thread::spawn(move || world.call_anew()));
        std::thread::sleep(Duration::from_millis(40));
    }
    for caller in callers {
        let _ended = caller.join();
    }
    for line in world.fleet.log_lines("version of the stream unknown") {
        record.add(format!("log of {line}"));
    }
    world.fleet.close();
    judge(&world)
}

/// LOST: of 12 or more streams that clients take up again at machines in touch, while two engines of their
/// software version serve, the share that goes on is under half of the share of new streams that begin.
fn judge(world: &World) -> Verdict {
    let seen = world.seen.lock().expect("seen");
    let Seen {
        taken_up,
        went_on,
        whole,
        new,
        begun,
    } = *seen;
    world.record.add(format!("{went_on} of {taken_up} streams that were taken up went on, {whole} were whole; {begun} of {new} new ones began"));
    if taken_up < 12 || new < 12 {
        return Verdict::NotRun("too few streams were taken up");
    }
    let (share, share_of_new) = (went_on as f64 / taken_up as f64, begun as f64 / new as f64);
    if share < share_of_new / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
