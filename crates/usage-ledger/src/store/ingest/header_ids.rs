//! Maps the names in the header of a segment to ids in the store.

use crate::store::database::{NameKind, Store};
use crate::store::error::Result;
use crate::store::uncertainty::RunKey;
use crate::wire::{Header, Record};

/// Name of the tenant for records whose tenant is not in the header. An aggregator without
/// configured tenants writes only such records.
const DEFAULT_TENANT: &str = "all";
/// Name of the class for records whose class is not in the header.
const UNKNOWN_CLASS: &str = "unknown";

/// A class with its id in the store.
#[derive(Clone, Copy)]
pub(super) struct StoredClass {
    pub(super) id: u32,
    pub(super) client_timeout_ms: i64,
}

/// Ids in the store for the names in a header.
pub(super) struct HeaderIds {
    pub(super) run: RunKey,
    tenant_ids: Vec<u32>,
    default_tenant_id: u32,
    classes: Vec<StoredClass>,
    unknown_class: StoredClass,
}

impl HeaderIds {
    /// Looks up the names of a header. Inserts new names into the store.
    pub(super) fn of(store: &mut Store, member: &str, header: &Header) -> Result<HeaderIds> {
        let member_id = store.name_id(NameKind::Member, member)?;
        let mut tenant_ids = Vec::new();
        for tenant in &header.tenants {
            tenant_ids.push(store.name_id(NameKind::Tenant, tenant)?);
        }
        let default_tenant_id = store.name_id(NameKind::Tenant, DEFAULT_TENANT)?;
        let mut classes = Vec::new();
        for class in &header.classes {
            classes.push(StoredClass {
                id: store.name_id(NameKind::Class, &class.name)?,
                client_timeout_ms: class.give_up_ms as i64,
            });
        }
        let unknown_class = StoredClass {
            id: store.name_id(NameKind::Class, UNKNOWN_CLASS)?,
            client_timeout_ms: 0,
        };
        Ok(HeaderIds {
            run: RunKey {
                member_id,
                incarnation: header.incarnation,
            },
            tenant_ids,
            default_tenant_id,
            classes,
            unknown_class,
        })
    }

    /// Returns the id of the tenant of a record, or of the default tenant if the header does not
    /// contain the record's tenant.
    pub(super) fn tenant_id(&self, record: &Record) -> u32 {
        let tenant = self.tenant_ids.get(record.tenant as usize);
        tenant.copied().unwrap_or(self.default_tenant_id)
    }

    /// Returns the class of a record, or the unknown class if the header does not contain it.
    pub(super) fn class(&self, record: &Record) -> StoredClass {
        let class = self.classes.get(record.class as usize);
        class.copied().unwrap_or(self.unknown_class)
    }
}
