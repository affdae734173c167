//! The settlement service.
//!
//! One task per member collects the log of that member (`collectors`, `collector`) and passes
//! batches to the single loop that writes to the store and closes periods (`service`, `closer`). A
//! thread delivers documents (`exporter`). The rules of settlement are defined in
//! [`closing_decision`](crate::closing_decision) and [`period_settler`](crate::period_settler).
//!
//! Collection resumes at the stored position. After a crash of the aggregator or of the settlement,
//! batches may be delivered again; the store ignores records that it already has.

mod clock;
mod closer;
mod collector;
mod collectors;
mod exporter;
mod lock;
mod service;

pub use clock::unix_time_ms;
pub use service::{serve, SettlementSignal};
