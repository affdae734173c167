//! The state of the gateway and the context of one request.

use crate::error::GatewayError;
use crate::settings::{GatewaySettings, IndexSettings};
use aggregator_core::net::InternalClient;
use hyper::header::HeaderMap;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

/// The index name that refers to all indices.
pub(super) const ALL_INDICES: &str = "_all";
/// The index pattern that refers to all indices.
const ALL_INDICES_PATTERN: &str = "*";

/// The state of a running gateway.
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) aggregator: InternalClient,
    /// Prefix of query names, random for each process, and the cluster UUID that is reported to
    /// clients. Leaf servers require query names to be unique across all aggregators and restarts.
    pub(super) instance_id: String,
    /// Number in the most recent query name; 0 before the first query.
    last_query_number: Cell<u64>,
}

/// A configured index with its name.
#[derive(Clone, Copy)]
pub(super) struct Index<'a> {
    pub(super) name: &'a str,
    pub(super) settings: &'a IndexSettings,
}

impl Gateway {
    pub(super) fn new(settings: GatewaySettings, aggregator: InternalClient) -> Gateway {
        Gateway {
            settings,
            aggregator,
            instance_id: format!("os{:016x}", rand::random::<u64>()),
            last_query_number: Cell::new(0),
        }
    }

    /// Returns a new, unique query name.
    pub(super) fn next_query_name(&self) -> String {
        let number = self.last_query_number.get() + 1;
        self.last_query_number.set(number);
        format!("{}-{number}", self.instance_id)
    }

    /// Returns the index with the given name.
    ///
    /// A name that refers to all indices is valid only if exactly one index is configured.
    pub(super) fn find_index(&self, name: &str) -> Result<Index<'_>, GatewayError> {
        if matches!(name, ALL_INDICES | ALL_INDICES_PATTERN) {
            return self.only_index();
        }
        let Some((name, settings)) = self.settings.indices.get_key_value(name) else {
            let index = name.to_string();
            return Err(GatewayError::UnknownIndex { index });
        };
        Ok(Index { name, settings })
    }

    fn only_index(&self) -> Result<Index<'_>, GatewayError> {
        let mut indices = self.settings.indices.iter();
        match (indices.next(), indices.next()) {
            (Some((name, settings)), None) => Ok(Index { name, settings }),
            _ => Err(GatewayError::AmbiguousIndex),
        }
    }
}

/// The remote end of a connection, which may be a proxy.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) address: IpAddr,
    /// The common name in the peer's certificate, if the peer presented one.
    pub(super) certificate_name: Option<String>,
}

/// The headers of a request and the identity of the client that sent it.
pub(super) struct GatewayRequestHead {
    pub(super) headers: HeaderMap,
    /// The client's address; differs from the peer's address behind a trusted proxy.
    pub(super) client_address: IpAddr,
    /// The common name in the certificate of the connection's peer.
    pub(super) client_certificate_name: Option<String>,
}

impl GatewayRequestHead {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.headers, name)
    }
}

/// Returns the value of a header, or `None` if the header is missing or not visible ASCII.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The context in which a handler runs: the gateway and the request's head.
#[derive(Clone)]
pub(super) struct RequestContext {
    pub(super) gateway: Rc<Gateway>,
    /// Time at which the request's head arrived, in nanoseconds since the Unix epoch.
    pub(super) received_at_ns: u64,
    pub(super) head: Rc<GatewayRequestHead>,
}
