//! Arbitrary messages of peers are answered and do not change the configuration.

use std::sync::Arc;

use async_std::task::block_on;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sardineshore_core::membership::leaving::LeavingNotice;
use sardineshore_core::{Clock, ManualClock};
use sardineshore_entry::config::ConfigSettings;
use sardineshore_wire::peer::{GossipMessage, InstancePhase};

use crate::fleet::{Simulation, start};

fn notice() -> impl Strategy<Value = LeavingNotice> {
    (".{0,4}", any::<bool>(), any::<u64>()).prop_map(|(server, leaving, age_ms)| LeavingNotice {
        server: server.into(),
        leaving,
        age_ms,
    })
}

fn exchange() -> impl Strategy<Value = GossipMessage> {
    let phases = prop::sample::select(vec![
        InstancePhase::Running,
        InstancePhase::Leaving,
        InstancePhase::Stopped,
    ]);
    (
        "i[1-4]",
        any::<Option<u64>>(),
        phases,
        any::<Option<u64>>(),
        ".{0,8}",
        prop::collection::vec(notice(), 0..3),
    )
        .prop_map(
            |(sender, version, phase, confirmation_age_ms, relay, leaving)| GossipMessage {
                sender: sender.as_str().into(),
                version,
                phase,
                confirmation_age_ms,
                relay: relay.into(),
                leaving,
                ..GossipMessage::default()
            },
        )
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn handle_exchange_any_request(requests in prop::collection::vec(exchange(), 1..6)) {
        block_on(async {
            let simulation = Arc::<Simulation>::default();
            let clock: Arc<dyn Clock> = Arc::new(ManualClock::default());
            let settings = |name: &str| ConfigSettings { name: name.into(), ..ConfigSettings::default() };
            let nodes = ["i1", "i2", "i3"].map(|name| start(&simulation, &clock, settings(name)));
            for node in &nodes {
                node.service.poll_list().await.unwrap();
                node.service.poll_head().await.unwrap();
            }
            for request in requests {
                let reply = nodes[0].service.handle_exchange(request).await;
                assert_eq!(reply.version, Some(0));
                assert_eq!(nodes[0].service.state().log.version(), 0);
            }
            assert!(nodes[0].service.is_ready());
        });
    }
}
