//! The database connection, and the ids that replace names in records.

use super::error::Result;
use super::schema;
use rusqlite::{params, Connection, Transaction, TransactionBehavior};
use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

/// Maximum time that an operation waits for another process to finish its transaction.
const BUSY_TIMEOUT: Duration = Duration::from_secs(60);
/// Size of SQLite's page cache. A negative number is a size in KiB.
const CACHE_SIZE: i64 = -8192;

/// Kind of a name that has an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum NameKind {
    Member,
    Tenant,
    Class,
}

impl NameKind {
    /// Returns the value of the column `kind`.
    fn as_str(self) -> &'static str {
        match self {
            NameKind::Member => "member",
            NameKind::Tenant => "tenant",
            NameKind::Class => "class",
        }
    }
}

/// An open store: a connection to the SQLite database.
pub struct Store {
    pub(super) db: Connection,
    /// Cache of the ids of names.
    name_ids: HashMap<(NameKind, String), u32>,
}

impl Store {
    /// Opens the store and migrates it to the current schema version. Creates the file if it does
    /// not exist.
    ///
    /// # Errors
    /// The file can't be opened, or a newer release has written it.
    pub fn open(path: &Path) -> Result<Store> {
        let mut db = Connection::open(path)?;
        db.busy_timeout(BUSY_TIMEOUT)?;
        db.pragma_update(None, "journal_mode", "wal")?;
        db.pragma_update(None, "synchronous", "full")?;
        db.pragma_update(None, "cache_size", CACHE_SIZE)?;
        schema::migrate(&mut db)?;
        Ok(Store {
            db,
            name_ids: HashMap::new(),
        })
    }

    /// Begins an immediate transaction, which takes the write lock from the start.
    pub(super) fn begin(&mut self) -> Result<Transaction<'_>> {
        let behavior = TransactionBehavior::Immediate;
        Ok(self.db.transaction_with_behavior(behavior)?)
    }

    /// Returns the id of a name. Inserts the name if it is new.
    pub(super) fn name_id(&mut self, kind: NameKind, name: &str) -> Result<u32> {
        let cache_key = (kind, name.to_string());
        if let Some(id) = self.name_ids.get(&cache_key) {
            return Ok(*id);
        }
        let row = params![kind.as_str(), name];
        let insert = "INSERT OR IGNORE INTO name (kind, text) VALUES (?, ?)";
        self.db.execute(insert, row)?;
        let select = "SELECT id FROM name WHERE kind = ? AND text = ?";
        let id: u32 = self.db.query_row(select, row, |row| row.get(0))?;
        self.name_ids.insert(cache_key, id);
        Ok(id)
    }
}
