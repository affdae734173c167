//! Pool of reusable buffers of one size. Each open connection uses two of them.

use bytes::BytesMut;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Encoder, Framed, FramedParts};

/// Size of a buffer, in bytes. It holds nearly every request, frame and response; a buffer grows
/// for a larger one. With the most descriptors, the buffers of all connections take 8 MB.
pub(super) const BUFFER_BYTES: usize = 4 * 1024;
/// Maximum number of unused buffers that are kept, 1 MiB in total.
const MAX_FREE_BUFFERS: usize = 256;

/// The unused buffers. All clones refer to the same pool.
#[derive(Clone, Debug, Default)]
pub(super) struct BufferPool(Rc<RefCell<Vec<BytesMut>>>);

impl BufferPool {
    fn take(&self) -> BytesMut {
        self.0
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| BytesMut::with_capacity(BUFFER_BYTES))
    }

    /// Keeps a buffer for reuse, unless it has grown for a large message. Otherwise, all buffers
    /// would eventually be large.
    fn put_back(&self, mut buffer: BytesMut) {
        buffer.clear();
        let mut free = self.0.borrow_mut();
        let has_capacity = free.len() < MAX_FREE_BUFFERS;
        if has_capacity && buffer.try_reclaim(BUFFER_BYTES) && buffer.capacity() == BUFFER_BYTES {
            free.push(buffer);
        }
    }

    /// Replaces the buffers of a connection that have grown for a large message and are empty.
    pub(super) fn shrink<T, C>(&self, framed: &mut Framed<T, C>) {
        self.shrink_buffer(framed.read_buffer_mut());
        self.shrink_buffer(framed.write_buffer_mut());
    }

    fn shrink_buffer(&self, buffer: &mut BytesMut) {
        if buffer.is_empty() && buffer.try_reclaim(BUFFER_BYTES + 1) {
            *buffer = self.take();
        }
    }

    /// Wraps a connection, on which messages of type `M` are written, with a codec and two buffers
    /// of the pool.
    pub(super) fn frame<M, T: AsyncRead + AsyncWrite, C: Encoder<M>>(
        &self,
        io: T,
        codec: C,
    ) -> Framed<T, C> {
        let mut parts = FramedParts::new::<M>(io, codec);
        parts.read_buf = self.take();
        parts.write_buf = self.take();
        Framed::from_parts(parts)
    }

    /// Returns the buffers of a connection to the pool and closes the connection.
    pub(super) fn recover<T: AsyncRead + AsyncWrite, C>(&self, framed: Framed<T, C>) {
        let parts = framed.into_parts();
        self.put_back(parts.read_buf);
        self.put_back(parts.write_buf);
    }
}
