//! Renders replies as HTTP responses.

use super::{QueryHit, QueryReply};
use crate::protocol::http::{RequestError, Response};
use serde::Serialize;

#[derive(Serialize)]
struct AnswerBody<'a> {
    complete: bool,
    hits: &'a [QueryHit],
}

/// Renders a reply as a response that leaves the connection open.
pub fn render_reply(reply: &QueryReply) -> Response {
    let response = |status: u16, body: Vec<u8>| Response {
        status,
        body,
        ..Response::default()
    };
    match reply {
        QueryReply::Answer { complete, hits } => {
            let body = serde_json::to_vec(&AnswerBody {
                complete: *complete,
                hits,
            });
            response(200, body.unwrap_or_default())
        }
        QueryReply::Rejected { retry_after } => Response {
            retry_after: *retry_after,
            ..response(503, error_body("refused, try again"))
        },
        QueryReply::Failed => response(504, error_body("failed")),
        QueryReply::Ready(true) => response(200, b"{\"ready\":true}".to_vec()),
        QueryReply::Ready(false) => response(503, b"{\"ready\":false}".to_vec()),
        QueryReply::Stats(text) => response(200, text.clone()),
        QueryReply::InvalidRequest(RequestError { status: 405, why }) => Response {
            allow: Some(why),
            ..response(405, error_body("method not allowed"))
        },
        QueryReply::InvalidRequest(RequestError { status, why }) => {
            response(*status, error_body(why))
        }
    }
}

fn error_body(message: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({ "error": message })).unwrap_or_default()
}
