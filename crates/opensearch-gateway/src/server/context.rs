//! What the handlers of requests share.

use crate::error::GatewayError;
use crate::settings::{GatewaySettings, IndexSettings};
use aggregator_core::net::InternalClient;
use hyper::header::HeaderMap;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

/// The name that addresses all indices.
pub(super) const ALL_INDICES: &str = "_all";
/// The pattern that addresses all indices.
const ALL_INDICES_PATTERN: &str = "*";

/// The state of a running gateway.
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) aggregator: InternalClient,
    /// Prefix of the names of this process's queries: leaf servers must never see a name twice,
    /// neither from another aggregator nor after a restart.
    pub(super) instance_id: String,
    last_query_number: Cell<u64>,
}

/// An index that a request addresses.
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

    /// A name for one more query.
    pub(super) fn next_query_name(&self) -> String {
        let number = self.last_query_number.get() + 1;
        self.last_query_number.set(number);
        format!("{}-{number}", self.instance_id)
    }

    /// The index of this name. All indices may be addressed only if there is just one.
    pub(super) fn find_index(&self, name: &str) -> Result<Index<'_>, GatewayError> {
        let indices = &self.settings.indices;
        let found = if matches!(name, ALL_INDICES | ALL_INDICES_PATTERN) {
            if indices.len() != 1 {
                return Err(GatewayError::AmbiguousIndex);
            }
            indices.iter().next()
        } else {
            indices.get_key_value(name)
        };
        match found {
            Some((name, settings)) => Ok(Index { name, settings }),
            None => Err(GatewayError::UnknownIndex {
                index: name.to_string(),
            }),
        }
    }
}

/// The other end of a connection.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) address: IpAddr,
    /// The common name in its certificate.
    pub(super) certificate_name: Option<String>,
}

/// Who sent a request.
pub(super) struct Client {
    pub(super) headers: HeaderMap,
    /// The client's own address, behind trusted proxies.
    pub(super) address: IpAddr,
    /// The common name in its certificate.
    pub(super) certificate_name: Option<String>,
}

impl Client {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.headers, name)
    }
}

/// The value of a header, if it is text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// What the handlers know of the request beside its target and body.
#[derive(Clone)]
pub(super) struct RequestContext {
    pub(super) gateway: Rc<Gateway>,
    /// When the request's head arrived, in Unix nanoseconds.
    pub(super) received_at_ns: u64,
    pub(super) client: Rc<Client>,
}
