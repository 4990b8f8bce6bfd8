//! Golden logs of claim machines: what each instance writes to the table, sends to peers and
//! backend servers, and replies to its caller, under faults of the store and the network.

#![allow(clippy::needless_raw_string_hashes, reason = "expect-test writes them")]

#[path = "claim_session/support.rs"]
mod support;

use expect_test::{Expect, expect};
use sardineshore_core::claim::{ClaimEvent, DispatchResult, RunReport, RunResult};
use sardineshore_core::{NotRunReason, UnknownReason};
use support::{Fault, Session};

fn check(session: &Session, expected: &Expect) {
    expected.assert_eq(&session.log);
}

fn finish_run(s: &mut Session, name: &'static str) {
    s.step(name, ClaimEvent::Dispatched(DispatchResult::Answered));
    s.step(
        name,
        ClaimEvent::RunEnded(RunResult::Answered("{\"ok\":1}".into())),
    );
}

fn lose_connection(s: &mut Session, name: &'static str) {
    let lost = DispatchResult::Lost(UnknownReason::ConnectionLost);
    s.step(name, ClaimEvent::Dispatched(lost));
}

fn report_status(s: &mut Session, name: &'static str, incarnation: u64, report: RunReport) {
    let server = "orders-1".into();
    let event = ClaimEvent::Status {
        server,
        incarnation,
        report,
    };
    s.step(name, event);
}

#[test]
fn session_single_run() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.advance(5);
    s.dispatch("e1");
    s.advance(20);
    finish_run(&mut s, "e1");
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00005 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00005 e1:   -> Dispatch { server: "orders-1", run_id: "e1-a.2" }
            00025 e1: Dispatched(Answered)
            00025 e1: RunEnded(Answered("{\"ok\":1}"))
            00025 e1:   -> reply answered {"ok":1}
            00025 e1:   -> write answered over revision 1
            00025 e1: applied at 2
            00025 e1:   -> Done
        "#]],
    );
}

#[test]
fn session_confirmations_lost() {
    let mut s = Session::default();
    s.faults = vec![Fault::AnswerLost];
    s.admit("e1", "one");
    s.advance(40);
    s.step("e1", ClaimEvent::Tick);
    s.dispatch("e1");
    s.faults = vec![Fault::AnswerLost];
    finish_run(&mut s, "e1");
    s.advance(40);
    s.step("e1", ClaimEvent::Tick);
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: Committed(Err(Unconfirmed))
            00040 e1: Tick
            00040 e1:   -> write claimed over revision 0
            00040 e1: conflict: claimed by e1-a
            00040 e1:   -> Held
            00040 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00040 e1:   -> Dispatch { server: "orders-1", run_id: "e1-a.2" }
            00040 e1: Dispatched(Answered)
            00040 e1: RunEnded(Answered("{\"ok\":1}"))
            00040 e1:   -> reply answered {"ok":1}
            00040 e1:   -> write answered over revision 1
            00040 e1: Committed(Err(Unconfirmed))
            00080 e1: Tick
            00080 e1:   -> write answered over revision 1
            00080 e1: conflict: answered by e1-a
            00080 e1:   -> Done
        "#]],
    );
}

#[test]
fn session_store_outage() {
    let mut s = Session::default();
    s.faults = vec![Fault::Refused, Fault::Refused];
    s.admit("e1", "one");
    s.advance(40);
    s.step("e1", ClaimEvent::Tick);
    s.advance(3000);
    s.step("e1", ClaimEvent::Tick);
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: Committed(Err(Unavailable))
            00040 e1: Tick
            00040 e1:   -> write claimed over revision 0
            00040 e1: Committed(Err(Unavailable))
            03040 e1: Tick
            03040 e1:   -> reply NotRun { reason: StoreUnavailable }
            03040 e1:   -> Done
        "#]],
    );
}

#[test]
fn session_late_write_after_timeout() {
    let mut s = Session::default();
    s.faults = vec![Fault::AppliedLate, Fault::Refused];
    s.admit("e1", "one");
    s.advance(3000);
    s.step("e1", ClaimEvent::Tick);
    s.apply_late_writes();
    s.admit("e2", "one");
    s.peer("e2", "e1");
    s.advance(40);
    s.step("e1", ClaimEvent::Tick);
    s.dispatch("e2");
    finish_run(&mut s, "e2");
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: Committed(Err(Unconfirmed))
            03000 e1: Tick
            03000 e1:   -> reply NotRun { reason: StoreUnavailable }
            03000 e1:   -> write released over revision 0
            03000 e1: Committed(Err(Unavailable))
            03000 table: late write, applied at 1
            03000 e2: admitted
            03000 e2:   -> write claimed over revision 0
            03000 e2: conflict: claimed by e1-a
            03000 e2:   -> AskPeer { instance: "e1", attempt: "e1-a" }
            03000 e2: PeerReplied(NeverRuns)
            03000 e2:   -> write claimed over revision 1
            03000 e2: applied at 2
            03000 e2:   -> Held
            03040 e1: Tick
            03040 e1:   -> write released over revision 0
            03040 e1: conflict: claimed by e2-a
            03040 e1:   -> Done
            03040 e2: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            03040 e2:   -> Dispatch { server: "orders-1", run_id: "e2-a.2" }
            03040 e2: Dispatched(Answered)
            03040 e2: RunEnded(Answered("{\"ok\":1}"))
            03040 e2:   -> reply answered {"ok":1}
            03040 e2:   -> write answered over revision 2
            03040 e2: applied at 3
            03040 e2:   -> Done
        "#]],
    );
}

#[test]
fn session_claimant_paused_past_deadline() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.advance(7000);
    s.dispatch("e1");
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            07000 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            07000 e1:   -> write released over revision 1
            07000 e1: applied at 2
            07000 e1:   -> reply NotRun { reason: DeadlineUnreachable }
            07000 e1:   -> Done
        "#]],
    );
}

#[test]
fn session_repeat_while_running() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.dispatch("e1");
    s.admit("e2", "one");
    s.peer("e2", "e1");
    s.advance(100);
    finish_run(&mut s, "e1");
    s.step("e2", ClaimEvent::Tick);
    s.peer("e2", "e1");
    s.admit("e3", "one");
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00000 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00000 e1:   -> Dispatch { server: "orders-1", run_id: "e1-a.2" }
            00000 e2: admitted
            00000 e2:   -> write claimed over revision 0
            00000 e2: conflict: claimed by e1-a
            00000 e2:   -> AskPeer { instance: "e1", attempt: "e1-a" }
            00000 e2: PeerReplied(InFlight)
            00100 e1: Dispatched(Answered)
            00100 e1: RunEnded(Answered("{\"ok\":1}"))
            00100 e1:   -> reply answered {"ok":1}
            00100 e1:   -> write answered over revision 1
            00100 e1: applied at 2
            00100 e1:   -> Done
            00100 e2: Tick
            00100 e2:   -> AskPeer { instance: "e1", attempt: "e1-a" }
            00100 e2: PeerReplied(Answered { answer: "{\"ok\":1}" })
            00100 e2:   -> reply answered {"ok":1}
            00100 e2:   -> Done
            00100 e3: admitted
            00100 e3:   -> write claimed over revision 0
            00100 e3: conflict: answered by e1-a
            00100 e3:   -> reply answered {"ok":1}
            00100 e3:   -> Done
        "#]],
    );
}

#[test]
fn session_repeat_after_claimant_died() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.dispatch("e1");
    s.machines.remove("e1");
    s.admit("e2", "one");
    s.peer("e2", "e1");
    report_status(&mut s, "e2", 5, RunReport::Ran("{\"ok\":1}".into()));
    s.admit("e3", "one");
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00000 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00000 e1:   -> Dispatch { server: "orders-1", run_id: "e1-a.2" }
            00000 e2: admitted
            00000 e2:   -> write claimed over revision 0
            00000 e2: conflict: claimed by e1-a
            00000 e2:   -> AskPeer { instance: "e1", attempt: "e1-a" }
            00000 e2: PeerReplied(Unreachable)
            00000 e2:   -> read row
            00000 e2: row at 1
            00000 e2:   -> AskServer { server: "orders-1", run_id: "e1-a.2" }
            00000 e2: Status { server: "orders-1", incarnation: 5, report: Ran("{\"ok\":1}") }
            00000 e2:   -> reply answered {"ok":1}
            00000 e2:   -> write answered over revision 1
            00000 e2: applied at 2
            00000 e2:   -> Done
            00000 e3: admitted
            00000 e3:   -> write claimed over revision 0
            00000 e3: conflict: answered by e1-a
            00000 e3:   -> reply answered {"ok":1}
            00000 e3:   -> Done
        "#]],
    );
}

#[test]
fn session_repeat_after_claimant_died_before_sending() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.machines.remove("e1");
    s.admit("e2", "one");
    s.peer("e2", "e1");
    report_status(&mut s, "e2", 5, RunReport::Sealed);
    s.dispatch("e2");
    finish_run(&mut s, "e2");
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00000 e2: admitted
            00000 e2:   -> write claimed over revision 0
            00000 e2: conflict: claimed by e1-a
            00000 e2:   -> AskPeer { instance: "e1", attempt: "e1-a" }
            00000 e2: PeerReplied(Unreachable)
            00000 e2:   -> read row
            00000 e2: row at 1
            00000 e2:   -> AskServer { server: "orders-1", run_id: "e1-a.2" }
            00000 e2: Status { server: "orders-1", incarnation: 5, report: Sealed }
            00000 e2:   -> write claimed over revision 1
            00000 e2: applied at 2
            00000 e2:   -> Held
            00000 e2: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00000 e2:   -> Dispatch { server: "orders-1", run_id: "e2-a.2" }
            00000 e2: Dispatched(Answered)
            00000 e2: RunEnded(Answered("{\"ok\":1}"))
            00000 e2:   -> reply answered {"ok":1}
            00000 e2:   -> write answered over revision 2
            00000 e2: applied at 3
            00000 e2:   -> Done
        "#]],
    );
}

#[test]
fn session_repeat_cannot_determine_outcome() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.dispatch("e1");
    s.machines.remove("e1");
    s.admit("e2", "one");
    s.peer("e2", "e1");
    report_status(&mut s, "e2", 6, RunReport::Sealed);
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00000 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00000 e1:   -> Dispatch { server: "orders-1", run_id: "e1-a.2" }
            00000 e2: admitted
            00000 e2:   -> write claimed over revision 0
            00000 e2: conflict: claimed by e1-a
            00000 e2:   -> AskPeer { instance: "e1", attempt: "e1-a" }
            00000 e2: PeerReplied(Unreachable)
            00000 e2:   -> read row
            00000 e2: row at 1
            00000 e2:   -> AskServer { server: "orders-1", run_id: "e1-a.2" }
            00000 e2: Status { server: "orders-1", incarnation: 6, report: Sealed }
            00000 e2:   -> reply Unknown { reason: ClaimantUnreachable }
            00000 e2:   -> Done
        "#]],
    );
}

#[test]
fn session_connection_lost_and_sent_again() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.dispatch("e1");
    lose_connection(&mut s, "e1");
    report_status(&mut s, "e1", 5, RunReport::Running);
    s.advance(100);
    s.step("e1", ClaimEvent::Tick);
    report_status(&mut s, "e1", 5, RunReport::Sealed);
    s.dispatch("e1");
    lose_connection(&mut s, "e1");
    report_status(&mut s, "e1", 6, RunReport::Sealed);
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00000 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00000 e1:   -> Dispatch { server: "orders-1", run_id: "e1-a.2" }
            00000 e1: Dispatched(Lost(ConnectionLost))
            00000 e1:   -> AskServer { server: "orders-1", run_id: "e1-a.2" }
            00000 e1: Status { server: "orders-1", incarnation: 5, report: Running }
            00100 e1: Tick
            00100 e1:   -> AskServer { server: "orders-1", run_id: "e1-a.2" }
            00100 e1: Status { server: "orders-1", incarnation: 5, report: Sealed }
            00100 e1:   -> Resolved(None)
            00100 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00100 e1:   -> Dispatch { server: "orders-1", run_id: "e1-a.2" }
            00100 e1: Dispatched(Lost(ConnectionLost))
            00100 e1:   -> AskServer { server: "orders-1", run_id: "e1-a.2" }
            00100 e1: Status { server: "orders-1", incarnation: 6, report: Sealed }
            00100 e1:   -> reply Unknown { reason: ConnectionLost }
        "#]],
    );
}

#[test]
fn session_given_up_before_confirmation() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.dispatch("e1");
    finish_run(&mut s, "e1");
    s.faults = vec![Fault::Refused];
    s.admit("e2", "one");
    s.step(
        "e2",
        ClaimEvent::RunEnded(RunResult::GaveUp(NotRunReason::NoServer)),
    );
    s.advance(40);
    s.step("e2", ClaimEvent::Tick);
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00000 e1: DispatchRequested { stage: 2, server: "orders-1", incarnation: 5, may_dispatch: true }
            00000 e1:   -> Dispatch { server: "orders-1", run_id: "e1-a.2" }
            00000 e1: Dispatched(Answered)
            00000 e1: RunEnded(Answered("{\"ok\":1}"))
            00000 e1:   -> reply answered {"ok":1}
            00000 e1:   -> write answered over revision 1
            00000 e1: applied at 2
            00000 e1:   -> Done
            00000 e2: admitted
            00000 e2:   -> write claimed over revision 0
            00000 e2: Committed(Err(Unavailable))
            00000 e2: RunEnded(GaveUp(NoServer))
            00040 e2: Tick
            00040 e2:   -> write claimed over revision 0
            00040 e2: conflict: answered by e1-a
            00040 e2:   -> reply answered {"ok":1}
            00040 e2:   -> Done
        "#]],
    );
}

#[test]
fn session_key_reused() {
    let mut s = Session::default();
    s.admit("e1", "one");
    s.admit("e2", "two");
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00000 e2: admitted
            00000 e2:   -> write claimed over revision 0
            00000 e2: conflict: claimed by e1-a
            00000 e2:   -> reply NotRun { reason: KeyReused }
            00000 e2:   -> Done
        "#]],
    );
}

#[test]
fn session_key_expired() {
    let mut s = Session::default();
    s.admit_key("e1", "one", "01a31335-f400-7000-8000-000000000001");
    s.admit_key("e1", "one", "01a31865-77c0-7000-8000-000000000001");
    s.advance(1);
    s.admit_key("e1", "one", "01a31335-f400-7000-8000-000000000001");
    s.admit_key("e1", "one", "01a31865-77c2-7000-8000-000000000001");
    check(
        &s,
        &expect![[r#"
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 1
            00000 e1:   -> Held
            00000 e1: admitted
            00000 e1:   -> write claimed over revision 0
            00000 e1: applied at 2
            00000 e1:   -> Held
            00001 e1: admitted
            00001 e1:   -> reply NotRun { reason: KeyExpired }
            00001 e1:   -> Done
            00001 e1: admitted
            00001 e1:   -> reply NotRun { reason: KeyExpired }
            00001 e1:   -> Done
        "#]],
    );
}
