//! The numbers that the names of a segment's header have in the store.

use crate::store::database::{NameKind, Store};
use crate::store::error::Result;
use crate::store::uncertainty::RunKey;
use crate::wire::{Header, Record};

/// Where an aggregator knows no tenants, all requests are of this one.
const DEFAULT_TENANT: &str = "all";
/// The class of records whose class the header does not name.
const UNKNOWN_CLASS: &str = "unknown";

/// A class in the store.
#[derive(Clone, Copy)]
pub(super) struct ClassId {
    pub(super) id: u32,
    pub(super) client_timeout_ms: i64,
}

/// The numbers that a header's names have in the store.
pub(super) struct HeaderIds {
    pub(super) run: RunKey,
    tenants: Vec<u32>,
    default_tenant: u32,
    classes: Vec<ClassId>,
    unknown_class: ClassId,
}

impl HeaderIds {
    /// Looks up the names of a header; new names are added to the store.
    pub(super) fn of(store: &mut Store, member: &str, header: &Header) -> Result<HeaderIds> {
        let member = store.name_id(NameKind::Member, member)?;
        let mut tenants = Vec::new();
        for tenant in &header.tenants {
            tenants.push(store.name_id(NameKind::Tenant, tenant)?);
        }
        let default_tenant = store.name_id(NameKind::Tenant, DEFAULT_TENANT)?;
        let mut classes = Vec::new();
        for class in &header.classes {
            classes.push(ClassId {
                id: store.name_id(NameKind::Class, &class.name)?,
                client_timeout_ms: class.give_up_ms as i64,
            });
        }
        let unknown_class = ClassId {
            id: store.name_id(NameKind::Class, UNKNOWN_CLASS)?,
            client_timeout_ms: 0,
        };
        Ok(HeaderIds {
            run: RunKey {
                member,
                incarnation: header.incarnation,
            },
            tenants,
            default_tenant,
            classes,
            unknown_class,
        })
    }

    /// The tenant of a record.
    pub(super) fn tenant(&self, record: &Record) -> u32 {
        let tenant = self.tenants.get(record.tenant as usize);
        tenant.copied().unwrap_or(self.default_tenant)
    }

    /// The class of a record.
    pub(super) fn class(&self, record: &Record) -> ClassId {
        let class = self.classes.get(record.class as usize);
        class.copied().unwrap_or(self.unknown_class)
    }
}
