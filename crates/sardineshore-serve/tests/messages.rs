//! Messages between instances: long ones are compressed, and no bytes make the decoder fail badly.

use std::time::Duration;

use proptest::prelude::*;
use sardineshore_core::flow::replica::{StoreRow, StoreVersion, TableChanges};
use sardineshore_core::flow::speed::{DigestKind, SpeedDigest, SpeedEntry};
use sardineshore_core::flow::stream_versions::{StreamCopy, StreamLife, StreamOrigin};
use sardineshore_core::flow::zones::CellFigures;
use sardineshore_serve::dialect::Table;
use sardineshore_serve::peers::Message;
use sardineshore_serve::relay::ReaderMessage;

fn servers(count: u64) -> Message {
    let rows = (0..count).map(|n| {
        let value = format!(
            r#"{{"service":"engines","address":"10.1.64.{n}:8080","zone":"z","state":"ready"}}"#
        );
        StoreRow {
            key: format!("i-{n:08x}").into(),
            value: Some(value.into_bytes().into()),
            version: StoreVersion { era: 1, number: n },
        }
    });
    Message::Store(ReaderMessage::Changes {
        table: Table::Servers,
        changes: TableChanges {
            rows: rows.collect(),
            ..TableChanges::default()
        },
        stamp: None,
        after_outage: false,
    })
}

#[test]
fn encode_long_message_is_compressed_and_decodes() {
    let message = servers(300);
    let rows_bytes = 300 * 80;
    let encoded = message.encode();
    assert!(encoded.len() * 2 < rows_bytes, "{} bytes", encoded.len());
    assert_eq!(Message::decode(&encoded).unwrap(), message);
}

/// Guards against more bytes about speeds than links account for.
#[test]
fn encode_speeds_is_no_longer_than_accounted() {
    let entry = SpeedEntry {
        key: [0xff; 4],
        value: -1,
        weight: 255,
        figure: i8::MIN,
        age: 255,
    };
    for count in [1, 8] {
        let digest = SpeedDigest {
            kind: DigestKind::Estimates,
            entries: vec![entry; count],
        };
        let accounted = digest.encoded_bytes();
        let message = Message::Speeds(digest);
        let encoded = message.encode();
        // The frame begins with its length.
        assert!(encoded.len() + 4 <= accounted, "{} bytes", encoded.len());
        assert_eq!(Message::decode(&encoded).unwrap(), message);
    }
}

/// Figures go along with many messages; the bound of `zones.rs` counts on their size.
#[test]
fn encode_figures_stay_small() {
    let homes = ["zone-a", "zone-b", "zone-c"];
    let figures = homes.map(|cell| CellFigures {
        cell: cell.into(),
        age_ms: 1999,
        queue_ms: 60_000,
        capacity: 1_000_000,
        demand: homes.map(|home| (home.into(), 1_000_000)).to_vec(),
    });
    let message = Message::Figures(figures.to_vec());
    let encoded = message.encode();
    assert!(encoded.len() <= 3 * 60, "{} bytes", encoded.len());
    assert_eq!(Message::decode(&encoded).unwrap(), message);
}

/// Every stream is copied to some instances while several versions serve.
#[test]
fn encode_copies_of_streams_stay_small() {
    let copies = (0..100_u64).map(|n| StreamCopy {
        id: format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into(),
        origin: StreamOrigin {
            pool: "sardina-llm".into(),
            version: Some("2026.12.1".into()),
        },
        life: StreamLife::new(Some(Duration::from_millis(15_000 - n))),
    });
    let message = Message::HoldStreams(copies.collect());
    let encoded = message.encode();
    assert!(encoded.len() <= 100 * 60, "{} bytes", encoded.len());
    assert_eq!(Message::decode(&encoded).unwrap(), message);
}

#[test]
fn decode_claimed_size_without_limit_is_refused() {
    let mut frame = vec![1];
    frame.extend(u32::MAX.to_le_bytes());
    frame.extend([0; 16]);
    assert!(Message::decode(&frame).is_err());
}

proptest! {
    #[test]
    fn decode_any_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _refused = Message::decode(&bytes);
    }

    #[test]
    fn decode_damaged_message_does_not_panic(at in 0_usize..2000, byte in any::<u8>()) {
        let mut encoded = servers(40).encode().to_vec();
        let at = at % encoded.len();
        encoded[at] = byte;
        let _refused = Message::decode(&encoded);
    }
}
