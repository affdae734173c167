//! Reads little-endian fields at fixed offsets.

use aggregator_policy::api::ReplicaId;

/// The bytes of a header, a record or an entry of an endpoint list.
///
/// The methods panic if a field is out of bounds. Offsets are constants of the layout, and the
/// caller must pass bytes of the full length.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    /// Creates a reader of the fields in `bytes`.
    pub fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields(bytes)
    }

    fn bytes<const N: usize>(self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[offset..offset + N]);
        bytes
    }

    /// Reads an unsigned integer of 1 byte.
    pub fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    /// Reads an unsigned integer of 2 bytes.
    pub fn u16(self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    /// Reads an unsigned integer of 4 bytes.
    pub fn u32(self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    /// Reads an unsigned integer of 8 bytes.
    pub fn u64(self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    /// Reads a floating-point number of 4 bytes.
    pub fn f32(self, offset: usize) -> f32 {
        f32::from_le_bytes(self.bytes(offset))
    }

    /// Reads a replica, which is an address of 4 bytes and a port of 2 bytes, as one number.
    pub fn replica(self, offset: usize) -> ReplicaId {
        const PORT: usize = 4;
        let address = u64::from(self.u32(offset));
        let port = u64::from(self.u16(offset + PORT));
        ReplicaId(address | port << u32::BITS)
    }
}
