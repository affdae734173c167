//! Builds batches byte by byte, independently of the code under test.

/// Length of a record in bytes.
const RECORD_LENGTH: usize = 56;
/// Time of every batch, in nanoseconds.
pub const CLOCK: u64 = 8_411_201_424;
const CLIENT_TIMEOUT_NS: u64 = 3_000_000_000;
/// Number of the group of queries and parts in tests with one query at a time.
const GROUP_NUMBER: f32 = 4.0;
/// Shard of a request that is a query and not a part.
const NO_SHARD: f32 = -1.0;

/// Valid settings, including a key that the policy does not know.
pub const SETTINGS: &str = "classes.count=1\nclasses.0.aim_ns=2000000000\nclasses.0.give_up_ns=6000000000\n\
classes.0.semantics=read_like\nextra.places=1\nextra.reach=1\nextra.ranges=2\nextra.class_need=1.0\n\
extra.least_share=1.0\nextra.partial_earns=0.9\nextra.second_step=0\nreplicas_of_me=1\ntick_ns=5000000\n\
limits.retry_after=true\nlimits.max_retry_after_ns=7\nnever.heard.of=this\n";

/// Codes of the kinds of endpoint updates.
pub const DELTA: u8 = 0;
pub const SNAPSHOT: u8 = 1;
pub const CACHED: u8 = 2;
pub const UNAVAILABLE: u8 = 3;

/// A ready replica on an endpoint list.
#[derive(Clone, Copy)]
pub struct Endpoint {
    pub cell: u16,
    pub address: [u8; 6],
    pub zone: u16,
    /// Time of the last start, in nanoseconds.
    pub started: u64,
}

/// Builder of a batch.
pub struct Batch {
    number: u32,
    records: Vec<u8>,
    record_count: u32,
    tail: Vec<u8>,
}

impl Batch {
    /// Creates a batch without records.
    pub fn new(number: u32) -> Batch {
        Batch {
            number,
            records: Vec::new(),
            record_count: 0,
            tail: Vec::new(),
        }
    }

    /// Appends a record with these fields, padded with zeros.
    pub fn record(mut self, fields: &[&[u8]]) -> Batch {
        let mut record = fields.concat();
        record.resize(RECORD_LENGTH, 0);
        self.records.extend(record);
        self.record_count += 1;
        self
    }

    /// Starts an instance with these settings.
    pub fn start(mut self, instance: u16, settings: &str) -> Batch {
        let offset = self.tail.len() as u32;
        self.tail.extend(settings.as_bytes());
        self.record(&[
            &[1],
            &instance.to_le_bytes(),
            &[9; 8],
            &offset.to_le_bytes(),
            &(settings.len() as u32).to_le_bytes(),
        ])
    }

    /// Stops an instance.
    pub fn stop(self, instance: u16) -> Batch {
        self.record(&[&[4], &instance.to_le_bytes()])
    }

    /// Sends an endpoint list with one ready replica at this address.
    pub fn endpoint_list(self, number: u32, address: &[u8; 6]) -> Batch {
        let endpoint = Endpoint {
            cell: 0,
            address: *address,
            zone: 0,
            started: 0,
        };
        self.endpoint_list_of(number, &[endpoint])
    }

    /// Sends an endpoint list with these replicas.
    pub fn endpoint_list_of(mut self, number: u32, endpoints: &[Endpoint]) -> Batch {
        let offset = self.tail.len() as u32;
        for endpoint in endpoints {
            let entry = [
                &endpoint.cell.to_le_bytes(),
                &endpoint.address[..],
                &endpoint.zone.to_le_bytes(),
                &1f32.to_le_bytes(),
                &endpoint.started.to_le_bytes(),
                &[0, 0],
                &[1],
            ];
            self.tail.extend(entry.concat());
        }
        self.record(&[
            &[3],
            &number.to_le_bytes(),
            &offset.to_le_bytes(),
            &(endpoints.len() as u32).to_le_bytes(),
        ])
    }

    /// Sends an instance an endpoint update of the kind `CACHED` with this list.
    pub fn endpoints_updated(self, instance: u16, list: u32) -> Batch {
        self.endpoints_updated_as(instance, list, CACHED)
    }

    /// Sends an instance an endpoint update of this kind with this list.
    pub fn endpoints_updated_as(self, instance: u16, list: u32, kind: u8) -> Batch {
        self.record(&[
            &[8],
            &instance.to_le_bytes(),
            &list.to_le_bytes(),
            &[9; 8],
            &[kind],
            &[9; 8],
        ])
    }

    /// Notifies an instance that its timer with the token 0 has fired.
    pub fn timer_fired(self, instance: u16) -> Batch {
        self.record(&[&[5], &instance.to_le_bytes()])
    }

    /// Sends an instance a query in the default group.
    pub fn query(self, instance: u16, id: u64) -> Batch {
        self.query_in_group(instance, id, GROUP_NUMBER)
    }

    /// Sends an instance a query in this group.
    pub fn query_in_group(self, instance: u16, id: u64, group: f32) -> Batch {
        self.request(instance, id, NO_SHARD, group)
    }

    /// Sends an instance a part on this shard, in the default group.
    pub fn part(self, instance: u16, id: u64, shard: f32) -> Batch {
        self.request(instance, id, shard, GROUP_NUMBER)
    }

    /// Sends an instance a part on shard 0, in this group.
    pub fn part_in_group(self, instance: u16, id: u64, group: f32) -> Batch {
        self.request(instance, id, 0.0, group)
    }

    /// Notifies an instance that the client of a query has disconnected.
    pub fn client_disconnected(self, instance: u16, id: u64) -> Batch {
        self.record(&[&[10], &instance.to_le_bytes(), &id.to_le_bytes()])
    }

    fn request(self, instance: u16, id: u64, shard: f32, group: f32) -> Batch {
        self.record(&[
            &[7],
            &instance.to_le_bytes(),
            &id.to_le_bytes(),
            &shard.to_le_bytes(),
            &CLIENT_TIMEOUT_NS.to_le_bytes(),
            &[0; 8],
            &[0; 2],
            &group.to_le_bytes(),
            &[0; 12],
            &[0],
            &1f32.to_le_bytes(),
        ])
    }

    /// Encodes the batch.
    pub fn to_bytes(&self) -> Vec<u8> {
        let body_length = (self.records.len() + self.tail.len()) as u32;
        let mut bytes = Vec::new();
        bytes.extend(self.number.to_le_bytes());
        bytes.extend(body_length.to_le_bytes());
        bytes.extend(CLOCK.to_le_bytes());
        bytes.extend(self.record_count.to_le_bytes());
        bytes.extend(&self.records);
        bytes.extend(&self.tail);
        bytes
    }
}
