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

/// Part results whose length does not fit, with other frames behind them.
mod wrong_length {
    use super::{decode_in_pieces, frame, LeafCodec, LeafResponse, PartStatus};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// Length of a frame's length prefix, in bytes.
    const LENGTH_BYTES: usize = 4;

    /// Returns the frame of a result whose length is off by `error` bytes.
    fn result_with_wrong_length(id: &str, value: &str, error: i32) -> Vec<u8> {
        let mut frame = frame(&format!("A{id} ok 1 -\n{value}"));
        let length = (frame.len() - LENGTH_BYTES) as u32;
        let announced = length.checked_add_signed(error).unwrap();
        frame[..LENGTH_BYTES].copy_from_slice(&announced.to_be_bytes());
        frame
    }

    fn sound_result(id: &str, value: &str) -> Vec<u8> {
        result_with_wrong_length(id, value, 0)
    }

    /// Guards against a value that is served together with the beginning of the next frame.
    #[test]
    fn a_result_that_is_too_long_is_malformed() {
        for excess in 1..=20 {
            let input = [
                result_with_wrong_length("q1.3", "40df6412", excess),
                sound_result("q2.5", "5be2a07c"),
            ]
            .concat();
            for pieces in [1, 7, 100] {
                let found = decode_in_pieces(&mut LeafCodec::default(), &input, &[pieces]);
                let expected = [LeafResponse::Malformed(Some("q1.3".to_string()))];
                assert_eq!(found, expected, "{excess} bytes too long");
            }
        }
    }

    /// Guards against a value that is served without its end.
    #[test]
    fn a_result_that_is_too_short_is_malformed() {
        for missing in 1..=8 {
            let cut_off = result_with_wrong_length("q1.3", "40df6412", -missing);
            let followed = [cut_off.clone(), sound_result("q2.5", "5be2a07c")].concat();
            for input in [cut_off, followed] {
                let found = decode_in_pieces(&mut LeafCodec::default(), &input, &[input.len()]);
                let expected = [LeafResponse::Malformed(Some("q1.3".to_string()))];
                assert_eq!(found, expected, "{missing} bytes too short");
            }
        }
    }

    /// Guards against a rejected part that counts as never executed although its length is wrong.
    #[test]
    fn a_rejection_that_is_too_long_is_malformed() {
        let mut rejection = frame("Aq1.3 busy 0 -\n");
        rejection[LENGTH_BYTES - 1] += 6;
        let input = [rejection, sound_result("q2.5", "5be2a07c")].concat();
        let found = decode_in_pieces(&mut LeafCodec::default(), &input, &[input.len()]);
        assert_eq!(found, [LeafResponse::Malformed(Some("q1.3".to_string()))]);
    }

    /// A result as a leaf server sends it.
    #[derive(Clone, Debug)]
    struct SentResult {
        value: String,
        /// Difference between the announced and the real length.
        length_error: i32,
    }

    fn any_result() -> impl Strategy<Value = SentResult> {
        let length_error = prop_oneof![3 => Just(0), 1 => -12..=40];
        ("[a-z0-9\u{e9}\u{20ac}]{1,24}", length_error).prop_map(|(value, length_error)| {
            SentResult {
                value,
                length_error,
            }
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 512, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default()
        })]

        /// Guards against any value that no leaf server made, whatever the lengths are.
        #[test]
        fn a_served_value_is_the_one_that_was_sent(
            results in prop::collection::vec(any_result(), 1..6),
            pieces in prop::collection::vec(1_usize..200, 1..6),
        ) {
            let mut input = Vec::new();
            for (number, result) in results.iter().enumerate() {
                let SentResult { value, length_error } = result;
                input.extend(result_with_wrong_length(&format!("q.{number}"), value, *length_error));
            }
            // A frame that is too short cannot be told from a sound one until more has arrived.
            let is_any_too_short = results.iter().any(|result| result.length_error < 0);
            let pieces = if is_any_too_short { vec![input.len()] } else { pieces };
            for frame in decode_in_pieces(&mut LeafCodec::default(), &input, &pieces) {
                if let LeafResponse::PartResult { id, status, value, .. } = frame {
                    let number: usize = id.strip_prefix("q.").unwrap().parse().unwrap();
                    prop_assert_eq!(status, PartStatus::Ok);
                    prop_assert_eq!(&value, results[number].value.as_bytes());
                }
            }
        }
    }
}
