//! A restarted instance does not confirm a version to its peers on the basis of confirmations that
//! are older than its restart.

use std::time::{Duration, Instant};

use sardineshore_core::InstanceId;
use sardineshore_core::quorum::peer_status::{PeerStatuses, Roster};
use sardineshore_core::quorum::{PeerReply, QuorumConfig, QuorumTracker};

fn names() -> Vec<InstanceId> {
    ["e1", "e2", "e3"].map(InstanceId::from).to_vec()
}

fn reply(quorum: &QuorumTracker, member: &str, now: Instant) -> PeerReply {
    PeerReply {
        member: member.into(),
        version: quorum.advertised_version(),
        confirmed_age: quorum.confirmation_age(now),
        stopped: false,
        statuses: PeerStatuses::of(quorum, &Roster::new(names()), now),
    }
}

#[test]
fn restart_confirms_only_on_later_replies() {
    let second = Duration::from_secs(1);
    let origin = Instant::now() + 1_000 * second;
    let at = |n: u32| origin + n * second;
    let member = |name: &str, start| {
        let mut quorum = QuorumTracker::new(name.into(), QuorumConfig::default());
        quorum.update_members(&names(), start, start);
        quorum.record_active_version(1, start);
        quorum
    };
    let mut e1 = member("e1", at(0));
    let mut e3 = member("e3", at(0));
    e1.record_store_head(1, at(0), at(0));
    e3.record_store_head(1, at(0), at(0));
    e3.record_reply(&reply(&e1, "e1", at(0)), at(0), at(0));
    // From here on, the store has a newer version, which e2 held before it was restarted.
    let mut e2 = member("e2", at(1));
    e2.record_reply(&reply(&e3, "e3", at(1)), at(1), at(1));
    assert_eq!(
        e2.advertised_version(),
        None,
        "what e3 heard of e1 is older"
    );
    e3.record_reply(&reply(&e2, "e2", at(2)), at(2), at(2));
    e2.record_reply(&reply(&e3, "e3", at(3)), at(3), at(3));
    assert!(!e2.may_dispatch(at(4)));
    assert!(!e3.may_dispatch(at(4)));
}
