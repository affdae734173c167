//! Frames between an aggregator and a leaf server.

mod support;

use aggregator_core::protocol::leaf::{CallPart, LeafCodec, LeafRequest, LeafResponse, PartStatus};
use bytes::{Bytes, BytesMut};
use support::codec_harness::decode_in_pieces;
use tokio_util::codec::Encoder;

#[test]
fn frames_are_encoded_and_decoded_as_specified() {
    let part = |id: &str, shard| CallPart {
        id: id.into(),
        shard,
        wait_ms: 240,
        text: Bytes::from("c41e77d0"),
    };
    let mut out = BytesMut::new();
    let mut codec = LeafCodec::default();
    codec
        .encode(
            LeafRequest::Call(vec![part("9b1f.3", 3), part("9b1f.9", 9)]),
            &mut out,
        )
        .unwrap();
    assert_eq!(
        &out[..],
        b"\0\0\0\x33Q9b1f.3 3 d=240 8\nc41e77d09b1f.9 9 d=240 8\nc41e77d0"
    );
    out.clear();
    codec
        .encode(LeafRequest::Cancel("9b1f.3".into()), &mut out)
        .unwrap();
    assert_eq!(&out[..], b"\0\0\0\x07X9b1f.3");
    let answers = b"\0\0\0\x16A9b1f.3 ok 1840 -\n5be2\0\0\0\x03Pok\0\0\0\x11A9b1f.9 busy 0 -\n";
    for sizes in [[1], [7], [100]] {
        let found = decode_in_pieces(&mut LeafCodec::default(), answers, &sizes);
        let (id, report, value) = ("9b1f.3".to_string(), "-".to_string(), Bytes::from("5be2"));
        assert_eq!(
            found[0],
            LeafResponse::PartResult {
                id,
                status: PartStatus::Ok,
                report,
                value
            }
        );
        assert_eq!(
            found[1],
            LeafResponse::HealthCheckResult {
                ok: true,
                report: "ok".into()
            }
        );
        assert!(matches!(
            &found[2],
            LeafResponse::PartResult {
                status: PartStatus::Busy,
                ..
            }
        ));
    }
}

/// Returns a frame with the correct length.
fn frame(text: &str) -> Vec<u8> {
    [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat()
}

#[test]
fn only_a_well_formed_part_result_is_accepted() {
    let read = |bytes: &[u8]| decode_in_pieces(&mut LeafCodec::default(), bytes, &[9]);
    let malformed = |id: Option<&str>| vec![LeafResponse::Malformed(id.map(str::to_string))];
    for text in [
        "A9b1f.3  1840 -\n5be2",
        "A9b1f.3 ? 1 -\n5be2",
        "A9b1f.3 ok x -\n5be2",
        "A9b1f.3 ok 1 -\n",
        "A9b1f.3 ok 1840 -",
        "A9b1f.3 ok 1\n5be2",
    ] {
        assert_eq!(read(&frame(text)), malformed(Some("9b1f.3")), "{text}");
    }
    // An invalid kind or length is rejected before the rest of the frame has arrived.
    for start in [
        "\0\0\0\x36\x01",
        "\0\0\0\0A",
        "xxxx",
        "\x03\0\0\0A9",
        "\0\0\x10\0P",
    ] {
        assert_eq!(read(start.as_bytes()), malformed(None), "{start:?}");
    }
    let noise = [
        frame("A9b1f.3 ok 1840 nan\n5be2"),
        b"\x8f\x9cx noise".to_vec(),
        frame("Pok"),
    ]
    .concat();
    let found = read(&noise);
    assert!(
        matches!(&found[0], LeafResponse::PartResult { status: PartStatus::Ok, report, .. } if report == "nan")
    );
    assert_eq!(
        found[1..],
        malformed(None),
        "expected all input after a malformed frame to be discarded"
    );
    let mut codec = LeafCodec::default();
    assert_eq!(
        codec.end_truncated_frame(b"\0\0\0\x36A9b1f.3 o"),
        malformed(Some("9b1f.3"))[0]
    );
    assert_eq!(
        codec.end_truncated_frame(b"\0\0\0\x36A9b1f"),
        malformed(None)[0],
        "expected no id, since the rest of the id may be missing"
    );
}
