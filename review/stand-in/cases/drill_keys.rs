//! A drill of the store in which one process restarts: it serves a key that was taken away before.

use std::time::{Duration, Instant};

use super::{KEY, Platform, START_TIME, ZONES};
use crate::client::{self, Call};
use crate::engine::{Engine, Listing};
use crate::http::Request;
use crate::{Failure, Setup, Verdict};

/// Key that is taken away.
const REVOKED: &str = "j3kx0qpzw71y5v2m8trn";
/// Time after its acknowledgement from which a configuration's revocations hold everywhere.
const REVOKE_BOUND: Duration = Duration::from_secs(5);
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(8);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Time after which the operator has written again what was lost.
const REWRITE: Duration = Duration::from_millis(1500);

pub fn run(setup: &Setup) -> Result<Verdict, Failure> {
    let mut platform = Platform::start(setup)?;
    platform.write_config(3, &[KEY, REVOKED]);
    let answer = |engine: &Engine, request: &Request, out: &mut std::net::TcpStream| {
        let id = request.head.get("x-attempt-id").unwrap_or_default();
        std::thread::sleep(Duration::from_millis(15));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {}\r\nContent-Length: 6\r\n\r\nbooked",
            engine.id
        );
        std::io::Write::write_all(out, answer.as_bytes())?;
        Ok(true)
    };
    let listing = |id, zone| Listing {
        id,
        service: "floorbook",
        zone,
        version: "v1",
        slots: 6,
    };
    platform.start_engine(&listing("i-book1", ZONES[0]), answer)?;
    platform.start_engine(&listing("i-book2", ZONES[1]), answer)?;
    let mut first = platform.start_instance("front-tpe-a-1", ZONES[0])?;
    let second = platform.start_instance("front-tpe-b-1", ZONES[1])?;
    first.wait_ready(START_TIME)?;
    second.wait_ready(START_TIME)?;
    std::thread::sleep(Duration::from_secs(1));

    let copy = platform.store.copy();
    let copied_at = Instant::now();
    platform.record.line("store: copied");
    std::thread::sleep(Duration::from_millis(500));
    platform.write_config(5, &[KEY]);
    let revoked_at = Instant::now();
    std::thread::sleep(COPY_AGE.saturating_sub(AWAY + copied_at.elapsed()));
    let book = |key: &str| Call {
        method: "POST",
        host: "book.example",
        path: "/slot-book/7".into(),
        id: client::new_id(),
        key: key.into(),
        deadline: Duration::from_millis(600),
        fields: String::new(),
        body: "floor 2, friday".into(),
    };
    if setup.trouble {
        platform.record.line("store: away");
        platform.store.leave();
    }
    // A process is killed and starts again.
    first.kill();
    std::thread::sleep(AWAY);
    if setup.trouble {
        platform.store.come_back_from(copy);
        platform.record.line("store: back from the copy");
    }
    let back_at = Instant::now();
    first.spawn()?;
    let mut rewritten = !setup.trouble;
    let mut late_runs = 0;
    while back_at.elapsed() < Duration::from_secs(5) {
        if !rewritten && back_at.elapsed() >= REWRITE {
            // What the operator wrote is written again.
            platform.write_config(5, &[KEY]);
            rewritten = true;
        }
        for instance in [&first, &second] {
            let call = book(REVOKED);
            let is_late = revoked_at.elapsed() > REVOKE_BOUND;
            client::send(instance.address(), &call, &platform.record, |_| {});
            let runs = platform.runs.lock().unwrap();
            if is_late && runs.contains(&call.id) {
                platform.record.line(&format!(
                    "{} ran with the key that was taken away {:.1} s before, sent to {}",
                    call.id,
                    revoked_at.elapsed().as_secs_f64(),
                    instance.name
                ));
                late_runs += 1;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    first.wait_ready(START_TIME)?;
    let sound = client::send(first.address(), &book(KEY), &platform.record, |_| {});
    if sound.status != 200 {
        return Err(format!("a request with a sound key got {}", sound.status).into());
    }
    first.quote_log("configuration", 10);
    platform.record.line(&format!(
        "{late_runs} requests ran with the key later than the bound"
    ));
    Ok(if late_runs > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
