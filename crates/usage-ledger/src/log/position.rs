//! Positions in a usage log.

/// Position in a log: a run and the last record in it that has been read. Positions sort in the
/// order of the log; the default position precedes all records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Incarnation of the run.
    pub incarnation: u64,
    /// Sequence number of the last record of the run that has been read; 0 before the first one.
    pub sequence: u64,
}
