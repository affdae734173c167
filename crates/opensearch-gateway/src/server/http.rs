//! Handles one HTTP request: reads the body, calls the router and renders the response.

use super::body::read_body;
use super::context::{header_text, Gateway, GatewayRequestHead, Peer, RequestContext};
use super::router;
use crate::compression::{self, MIN_COMPRESSED_BYTES};
use crate::error::GatewayError;
use crate::networks;
use crate::response::to_json_bytes;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    HeaderValue, ACCEPT_ENCODING, CONNECTION, CONTENT_ENCODING, CONTENT_TYPE, RETRY_AFTER,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;

/// Header with an identifier that the client chooses and the response repeats.
const X_OPAQUE_ID: &str = "x-opaque-id";
const X_FORWARDED_FOR: &str = "x-forwarded-for";
const JSON_CONTENT_TYPE: &str = "application/json; charset=UTF-8";

/// Properties of a request that determine the form of its response.
#[derive(Clone, Copy)]
struct ResponseOptions {
    /// Whether the response has no body, because the request's method is `HEAD`.
    omits_body: bool,
    accepts_gzip: bool,
}

impl ResponseOptions {
    fn from_request(parts: &Parts) -> ResponseOptions {
        let accepted_encodings = header_text(&parts.headers, ACCEPT_ENCODING.as_str());
        ResponseOptions {
            omits_body: parts.method == Method::HEAD,
            accepts_gzip: accepted_encodings.is_some_and(|encodings| encodings.contains("gzip")),
        }
    }
}

/// Handles one request. An error is rendered as a response.
pub(super) async fn handle_request(
    gateway: Rc<Gateway>,
    peer: Peer,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let aggregator = gateway.aggregator.clone();
    let received_at_ns = aggregator.now();
    // Counts the request as open until this function returns the response.
    let _open_request = aggregator.open_request();
    let (parts, body) = request.into_parts();
    let name = header_text(&parts.headers, X_OPAQUE_ID);
    tracing::debug!(address = %peer.address, name, "request read");
    let options = ResponseOptions::from_request(&parts);
    let mut response = match run_request(gateway, peer, &parts, body, received_at_ns).await {
        Ok(body) => success_response(body, options),
        Err(error) => error_response(&error, options),
    };
    let headers = response.headers_mut();
    if let Some(opaque_id) = parts.headers.get(X_OPAQUE_ID) {
        headers.insert(X_OPAQUE_ID, opaque_id.clone());
    }
    if aggregator.is_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads the request's body, calls the handler and returns the body of the successful response.
async fn run_request(
    gateway: Rc<Gateway>,
    peer: Peer,
    parts: &Parts,
    body: Incoming,
    received_at_ns: u64,
) -> Result<Vec<u8>, GatewayError> {
    let body = read_body(&parts.headers, body, gateway.settings.max_body_bytes).await?;
    let forwarded_for: Vec<&str> = parts
        .headers
        .get_all(X_FORWARDED_FOR)
        .iter()
        .filter_map(|line| line.to_str().ok())
        .collect();
    let proxies = &gateway.settings.trusted_proxies;
    let head = Rc::new(GatewayRequestHead {
        headers: parts.headers.clone(),
        client_address: networks::client_address(peer.address, &forwarded_for, proxies),
        client_certificate_name: peer.certificate_name,
    });
    let context = RequestContext {
        gateway,
        received_at_ns,
        head,
    };
    router::dispatch(&context, &parts.method, &parts.uri, &body).await
}

fn success_response(body: Vec<u8>, options: ResponseOptions) -> Response<Full<Bytes>> {
    if options.omits_body {
        return json_response(StatusCode::OK, Vec::new());
    }
    if options.accepts_gzip && body.len() >= MIN_COMPRESSED_BYTES {
        if let Some(compressed) = compression::compress(&body) {
            let mut response = json_response(StatusCode::OK, compressed);
            let gzip = HeaderValue::from_static("gzip");
            response.headers_mut().insert(CONTENT_ENCODING, gzip);
            return response;
        }
    }
    json_response(StatusCode::OK, body)
}

fn error_response(error: &GatewayError, options: ResponseOptions) -> Response<Full<Bytes>> {
    let error = error.to_response();
    let body = if options.omits_body {
        Vec::new()
    } else {
        to_json_bytes(&error.body)
    };
    let mut response = json_response(error.status, body);
    if let Some(delay) = error.retry_after {
        // The unit of the header is one second, so the delay is rounded up.
        let seconds = HeaderValue::from(delay.as_millis().div_ceil(1000) as u64);
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn json_response(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(JSON_CONTENT_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
