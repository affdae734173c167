//! The gateway's state, and what the handlers know of one request.

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
    /// Prefix of the names of this process's queries. It makes them unique over all aggregators and
    /// restarts, as leaf servers require.
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

    /// A unique name for a query.
    pub(super) fn next_query_name(&self) -> String {
        let number = self.last_query_number.get() + 1;
        self.last_query_number.set(number);
        format!("{}-{number}", self.instance_id)
    }

    /// The index of this name. All indices may be addressed only if there is just one.
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

/// The other end of a connection.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) address: IpAddr,
    /// The common name in its certificate.
    pub(super) certificate_name: Option<String>,
}

/// The headers of a request, and the client that sent it.
pub(super) struct GatewayRequestHead {
    pub(super) headers: HeaderMap,
    /// The client's own address, not that of a trusted proxy.
    pub(super) client_address: IpAddr,
    /// The common name in the client's certificate.
    pub(super) client_certificate_name: Option<String>,
}

impl GatewayRequestHead {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.headers, name)
    }
}

/// The value of a header, if it is text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// What the handlers know of a request besides its target and body.
#[derive(Clone)]
pub(super) struct RequestContext {
    pub(super) gateway: Rc<Gateway>,
    /// When the request's head arrived, in Unix nanoseconds.
    pub(super) received_at_ns: u64,
    pub(super) head: Rc<GatewayRequestHead>,
}
