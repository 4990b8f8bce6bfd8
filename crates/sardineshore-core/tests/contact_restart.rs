//! A restarted instance does not vouch for a version on knowledge that is older than its restart.

use std::time::{Duration, Instant};

use sardineshore_core::InstanceId;
use sardineshore_core::contact::relay::{Relay, Roster};
use sardineshore_core::contact::{Contact, ContactSettings, Hearing};

fn names() -> Vec<InstanceId> {
    ["e1", "e2", "e3"].map(InstanceId::from).to_vec()
}

fn hearing(contact: &Contact, member: &str, now: Instant) -> Hearing {
    Hearing {
        member: member.into(),
        version: contact.told_version(),
        confirmed_age: contact.confirmation_age(now),
        stopped: false,
        relay: Relay::of(contact, &Roster::new(names()), now),
    }
}

#[test]
fn restart_joins_only_on_later_knowledge() {
    let second = Duration::from_secs(1);
    let origin = Instant::now() + 1_000 * second;
    let at = |n: u32| origin + n * second;
    let member = |name: &str, start| {
        let mut contact = Contact::new(name.into(), ContactSettings::default());
        contact.list_read(&names(), start, start);
        contact.adopted(1, start);
        contact
    };
    let mut e1 = member("e1", at(0));
    let mut e3 = member("e3", at(0));
    e1.head_read(1, at(0), at(0));
    e3.head_read(1, at(0), at(0));
    e3.exchanged(&hearing(&e1, "e1", at(0)), at(0), at(0));
    // The table has a newer version from here on, which e2 held; e2 is started again.
    let mut e2 = member("e2", at(1));
    e2.exchanged(&hearing(&e3, "e3", at(1)), at(1), at(1));
    assert_eq!(e2.told_version(), None, "what e3 heard of e1 is older");
    e3.exchanged(&hearing(&e2, "e2", at(2)), at(2), at(2));
    e2.exchanged(&hearing(&e3, "e3", at(3)), at(3), at(3));
    assert!(!e2.may_dispatch(at(4)));
    assert!(!e3.may_dispatch(at(4)));
}
