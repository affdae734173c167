//! HTTP codecs and query parsing on input that is split at any byte, malformed or too large.

mod support;

use aggregator_core::protocol::http::{Request, RequestError, Response, ServerCodec, WatchCodec};
use aggregator_core::protocol::leaf::LeafCodec;
use aggregator_core::protocol::query::{self, ClientRequest, NameTables, QueryReply};
use aggregator_core::protocol::{discovery, http};
use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::codec_harness::decode_in_pieces;
use tokio_util::codec::{Decoder, Encoder};

const QUERY: &str =
    "{\"shards\":[{\"shard\":3,\"weight\":0.5,\"cost\":9000},{\"shard\":2,\"weight\":0.5}],\
\"q\":\"c41e77d0\"}";

const CHUNKED: &str = "POST /checkout HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

fn names() -> NameTables {
    let classes = vec!["checkout".to_string()];
    NameTables {
        classes,
        tenants: vec!["acme".into()],
        deadlines: vec![5_000_000_000],
        minimum_coverages: vec![0.6],
        shards: 4,
    }
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-ID: 9b1f\r\nX-Tenant-Id: acme\r\nX-Timeout: 480m\r\n\
{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn decode_request(text: &str) -> Result<Request, RequestError> {
    decode_in_pieces(&mut ServerCodec::default(), text.as_bytes(), &[1000]).remove(0)
}

fn parse(text: &str) -> Result<ClientRequest, u16> {
    decode_request(text)
        .and_then(|request| query::parse_request(&request, &names()))
        .map_err(|rejection| rejection.status)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default()
    })]

    #[test]
    fn a_request_split_anywhere_is_the_same_request(sizes in prop::collection::vec(1usize..40, 1..8)) {
        let chunked = format!(
            "{CHUNKED}5;x=y\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
            &QUERY[..5], QUERY.len() - 5, &QUERY[5..]
        );
        let text = post("/checkout", "", QUERY) + &chunked;
        let found = decode_in_pieces(&mut ServerCodec::default(), text.as_bytes(), &sizes);
        prop_assert_eq!(found.len(), 2);
        for request in found {
            prop_assert_eq!(&request.unwrap().body[..], QUERY.as_bytes());
        }
    }

    #[test]
    fn no_input_breaks_a_codec(
        start in 0usize..4,
        noise in prop::collection::vec(any::<u8>(), 0..200),
        sizes in prop::collection::vec(1usize..40, 1..4),
    ) {
        let starts = ["", "POST /checkout HTTP/1.1\r\n", CHUNKED,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}"];
        let bytes = [starts[start].as_bytes(), &noise].concat();
        decode_in_pieces(&mut ServerCodec::default(), &bytes, &sizes);
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = WatchCodec::default().decode(&mut buffer) {}
        let frame = [&(noise.len() as u32).to_be_bytes()[..], b"A", &noise].concat();
        let mut buffer = BytesMut::from(&frame[..]);
        let mut codec = LeafCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let _ = discovery::parse_message(&noise);
    }
}

#[test]
fn a_query_is_parsed_as_sent() {
    let headers = "X-Retried: 1\r\nIdempotency-Key: k 1\r\n";
    let Ok(ClientRequest::Query(query)) = parse(&post("/checkout?x=1", headers, QUERY)) else {
        panic!()
    };
    assert_eq!(query.idempotency_key.as_deref(), Some("k 1"));
    assert_eq!(
        (query.name.as_str(), query.class, query.tenant),
        ("9b1f", 0, 0)
    );
    assert_eq!((query.timeout, query.is_retry), (480_000_000, true));
    assert_eq!(
        (query.parts[0].shard, query.parts[0].work),
        (3, Some(9_000_000))
    );
    assert_eq!(&query.text[..], b"c41e77d0");
}

#[test]
#[allow(clippy::too_many_lines, reason = "a single list of cases")]
fn invalid_requests_get_distinct_statuses() {
    let status = |text: &str| parse(text).unwrap_err();
    assert_eq!(status("nonsense\r\n\r\n"), 400);
    assert_eq!(status(&post("/checkout", "", "{}")), 400);
    assert_eq!(
        status(&post("/checkout", "", &QUERY.replace(":3", ":9"))),
        400
    );
    assert_eq!(
        status(&post("/checkout", "", &QUERY.replace(":3", ":2"))),
        400
    );
    for weight in ["0.6", "1.5", "-0.5", "1e999"] {
        assert_eq!(
            status(&post("/checkout", "", &QUERY.replacen("0.5", weight, 1))),
            400,
            "{weight}"
        );
    }
    for timeout in [
        "480", "m", "-480m", "nanm", "infm", "4e3m", "0x1m", "1.2.3m",
    ] {
        assert_eq!(
            status(&post("/checkout", "", QUERY).replace("480m", timeout)),
            400,
            "{timeout}"
        );
    }
    assert_eq!(
        status(&post("/checkout", "", QUERY).replace("9b1f", "9b 1f")),
        400
    );
    for key in [String::new(), "k".repeat(129)] {
        assert_eq!(
            status(&post(
                "/checkout",
                &format!("Idempotency-Key: {key}\r\n"),
                QUERY
            )),
            400,
            "{key}"
        );
    }
    assert_eq!(
        status(&post("/checkout", "", QUERY).replace("acme", "nobody")),
        400
    );
    assert_eq!(
        status(&post("/checkout", "Content-Length: 3\r\n", QUERY)),
        400
    );
    assert_eq!(
        status(&post("/checkout", "Transfer-Encoding: chunked\r\n", QUERY)),
        400
    );
    assert_eq!(status(&post("/elsewhere", "", QUERY)), 404);
    assert_eq!(status("GET /checkout HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(status("POST /-/ready HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(
        status("POST /checkout HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
        413
    );
    let chunk = format!("10000\r\n{}\r\n1\r\n", "x".repeat(65536));
    assert_eq!(status(&(CHUNKED.to_string() + &chunk + "x")), 413);
    assert_eq!(
        status(&format!(
            "GET / HTTP/1.1\r\nA: {}",
            "x".repeat(http::MAX_HEAD_BYTES)
        )),
        431
    );
}

#[test]
fn a_connection_is_kept_alive_unless_the_client_says_otherwise() {
    assert!(
        decode_request(&post("/checkout", "", QUERY))
            .unwrap()
            .keep_alive
    );
    assert!(
        !decode_request(&post("/checkout", "Connection: close\r\n", QUERY))
            .unwrap()
            .keep_alive
    );
    assert!(!decode_request("GET / HTTP/1.0\r\n\r\n").unwrap().keep_alive);
}

fn encode(response: Response) -> String {
    let mut out = BytesMut::new();
    ServerCodec::default().encode(response, &mut out).unwrap();
    String::from_utf8(out.to_vec()).unwrap()
}

#[test]
fn replies_carry_retry_after_and_completeness() {
    let rejected = encode(query::render_reply(&QueryReply::Rejected {
        retry_after: Some(500_000_001),
    }));
    assert!(
        rejected.starts_with("HTTP/1.1 503 ") && rejected.contains("Retry-After: 0.501\r\n"),
        "{rejected}"
    );
    let hits = vec![query::QueryHit {
        shard: 3,
        doc: "5be2\"".into(),
    }];
    let answer = encode(Response {
        close: true,
        ..query::render_reply(&QueryReply::Answer {
            complete: false,
            hits,
        })
    });
    assert!(answer.contains("Connection: close\r\n"));
    assert!(answer
        .ends_with("\r\n\r\n{\"complete\":false,\"hits\":[{\"shard\":3,\"doc\":\"5be2\\\"\"}]}"));
    let not_allowed = encode(query::render_reply(&QueryReply::InvalidRequest(
        RequestError {
            status: 405,
            why: "POST",
        },
    )));
    assert!(not_allowed.contains("Allow: POST\r\n"));
}

#[test]
fn a_watch_is_read_line_by_line_across_chunk_boundaries() {
    let text =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n14\r\n{\"index\":43,\"snapsho\r\n\
1a\r\nt\":false,\"endpoints\":[]}\n\n\r\n";
    for sizes in [[1], [9], [1000]] {
        let lines = decode_in_pieces(&mut WatchCodec::default(), text, &sizes);
        let lines: Vec<_> = lines
            .iter()
            .map(|line| discovery::parse_message(line).unwrap())
            .collect();
        assert_eq!(lines.len(), 3);
        assert_eq!(
            lines[1]
                .as_ref()
                .map(|update| (update.index, update.snapshot)),
            Some((43, false))
        );
    }
    assert!(WatchCodec::default()
        .decode(&mut BytesMut::from("HTTP/1.1 503 No\r\n\r\n"))
        .is_err());
}

#[test]
fn a_snapshot_is_read_in_any_layout() {
    let list = serde_json::json!({"index": 43, "snapshot": true, "endpoints": [
        {"name": "s-}\"{", "address": "10.1.0.18:7070", "zone": "a\\", "group": 3, "status": "up", "since_ms": 0},
        {"name": "s-2", "address": "10.1.0.19:7070", "zone": "a", "group": 4, "status": "draining"}]});
    let (plain, indented) = (
        list.to_string(),
        serde_json::to_string_pretty(&list).unwrap(),
    );
    let head = "HTTP/1.1 200 OK\r\n";
    let body = format!(
        "\n{indented}\n\n{plain}\n{plain}{}\r\n",
        indented.replace('\n', "\r\n")
    );
    let chunked = format!(
        "{head}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
        body.len()
    );
    let with_length = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len() + 1);
    // The last message has no line end: it is complete where its outermost bracket closes.
    let without_length = format!("{head}\r\n{}", body.trim_end());
    for text in [chunked, with_length, without_length] {
        for sizes in [[1], [9], [10_000]] {
            let messages = decode_in_pieces(&mut WatchCodec::default(), text.as_bytes(), &sizes);
            let lists = messages
                .iter()
                .filter_map(|message| discovery::parse_message(message).unwrap());
            let lists: Vec<_> = lists
                .map(|list| (list.index, list.endpoints.len()))
                .collect();
            assert_eq!(lists, [(43, 2); 4], "{text}");
        }
    }
    let noise = decode_in_pieces(
        &mut WatchCodec::default(),
        format!("{head}\r\nnoise\n").as_bytes(),
        &[3],
    );
    assert!(
        discovery::parse_message(&noise[0]).is_err(),
        "expected an error for text that is not an endpoint update"
    );
}
