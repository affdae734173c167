//! A request that was read from a client, with the memory that is held for it.

use super::peer_close::DecodedRequest;
use crate::api::Nanos;
use crate::memory::{ConnectionMemory, MemoryReservation, ReservationError};
use crate::net::open_requests::OpenRequest;
use crate::net::shared::Shared;
use crate::protocol::http::RequestError;
use crate::protocol::query::{parse_request, ClientRequest};

/// A request with its time of arrival. It is parsed as soon as it is read: the head of a request
/// may be much larger than what is needed of it.
pub(super) struct ReceivedRequest {
    /// Time at which the last byte of the request arrived, in Unix nanoseconds.
    pub(super) arrived_at: Nanos,
    pub(super) request: Result<ClientRequest, RequestError>,
    /// Whether the connection may serve another request afterwards.
    pub(super) keep_alive: bool,
    /// Memory that is held until the request is answered.
    pub(super) memory: MemoryReservation,
    /// Guard that is dropped once the request is answered. A shutdown waits for that.
    pub(super) open_request: OpenRequest,
}

impl ReceivedRequest {
    /// Parses a request whose last byte has just been read. It becomes an error if there is no
    /// memory to hold it.
    pub(super) fn new(
        shared: &Shared,
        memory: &ConnectionMemory,
        request: DecodedRequest,
    ) -> ReceivedRequest {
        let mut received = ReceivedRequest {
            arrived_at: shared.clock.now(),
            keep_alive: request.as_ref().is_ok_and(|request| request.keep_alive),
            request: request.and_then(|request| parse_request(&request, &shared.names)),
            memory: memory.empty_reservation(),
            open_request: shared.open_requests.open(),
        };
        if let Err(error) = received.reserve_memory() {
            received.reject(error.into());
        }
        // Not kept alive after an invalid request: a client that sends invalid requests would send
        // another one as soon as it has its response.
        received.keep_alive &= received.request.is_ok();
        received
    }

    fn reserve_memory(&mut self) -> Result<(), ReservationError> {
        self.request.as_ref().map_or(Ok(()), |request| {
            self.memory.resize(size_of::<Self>() + request.heap_bytes())
        })
    }

    /// Returns whether the request is a valid query.
    pub(super) fn is_query(&self) -> bool {
        matches!(self.request, Ok(ClientRequest::Query(_)))
    }

    /// Replaces the request by an error, after whose response the connection is closed.
    pub(super) fn reject(&mut self, error: RequestError) {
        self.request = Err(error);
        self.keep_alive = false;
        // Cannot fail, since the request becomes smaller.
        let _ = self.memory.resize(0);
    }
}
