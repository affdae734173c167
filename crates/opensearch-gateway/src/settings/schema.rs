//! The sections of the INI file that configure the gateway. Section names, keys, defaults and texts
//! are published: operators write them and see them in the output of `check`.

use ini_config::{Key, Kind, Section};

/// The cluster name that clients are given by default. A published name, kept from earlier
/// versions.
pub(super) const DEFAULT_CLUSTER_NAME: &str = "cottonhill";
/// The header that names the tenant by default.
pub(super) const DEFAULT_TENANT_HEADER: &str = "X-Tenant-Id";

/// Values of `tenant-by`.
pub(super) const TENANT_BY_HEADER: &str = "header";
pub(super) const TENANT_BY_NETWORK: &str = "network";
pub(super) const TENANT_BY_HEADER_OR_NETWORK: &str = "header-or-network";
pub(super) const TENANT_BY_CERTIFICATE: &str = "certificate";

/// `[opensearch]`: the listener and what applies to all indices.
pub const GATEWAY_SECTION: Section = Section::new(
    "opensearch",
    &[
        Key::new(
            "listen",
            Kind::Address,
            None,
            "The address that the frontend listens on, of its own. Off without it.",
        ),
        Key::new(
            "connections",
            Kind::Count(1, 100_000),
            Some("64"),
            "Most connections at once; more wait unaccepted.",
        ),
        Key::new(
            "body",
            Kind::Bytes,
            Some("64KiB"),
            "The longest body that is read.",
        ),
        Key::new(
            "answer",
            Kind::Bytes,
            Some("8MiB"),
            "Most that the shards' answers to one search may hold together.",
        ),
        Key::new(
            "idle",
            Kind::Time,
            Some("60s"),
            "A connection that asks nothing for so long is closed.",
        ),
        Key::new(
            "cluster",
            Kind::Text,
            Some(DEFAULT_CLUSTER_NAME),
            "The cluster name that clients are told.",
        ),
        Key::new(
            "tenant-by",
            Kind::Choice(&[
                TENANT_BY_HEADER,
                TENANT_BY_NETWORK,
                TENANT_BY_HEADER_OR_NETWORK,
                TENANT_BY_CERTIFICATE,
            ]),
            Some(TENANT_BY_HEADER),
            "What tells the tenant: a header, the network, the header where there is one, \
             or a certificate.",
        ),
        Key::new(
            "certificate",
            Kind::Text,
            None,
            "PEM file of the certificate chain; plain HTTP without it.",
        ),
        Key::new(
            "key",
            Kind::Text,
            None,
            "PEM file of its key, which nobody else may read.",
        ),
        Key::new(
            "client-ca",
            Kind::Text,
            None,
            "PEM file of the certificate authorities for clients; client certificates are optional.",
        ),
        Key::new(
            "proxies",
            Kind::Text,
            None,
            "Networks of trusted proxies: only their X-Forwarded-For is believed.",
        ),
        Key::new(
            "tenant-header",
            Kind::Text,
            Some(DEFAULT_TENANT_HEADER),
            "The header that names the tenant.",
        ),
        Key::new(
            "tenant",
            Kind::Text,
            None,
            "The tenant of a search that names none.",
        ),
    ],
);

/// `[index NAME]`: one index.
pub const INDEX_SECTION: Section = Section::named(
    "index",
    &[
        Key::new(
            "class",
            Kind::Text,
            None,
            "The class of its searches, by the platform's name.",
        ),
        Key::new(
            "shards",
            Kind::Text,
            None,
            "Its shards: numbers and ranges, as in 0-7,12.",
        ),
        Key::new(
            "weights",
            Kind::Text,
            None,
            "Their weights in that order, adding up to 1; equal ones if unset.",
        ),
    ],
);

/// `[network NAME]`: the networks of a tenant.
pub const NETWORK_SECTION: Section = Section::named(
    "network",
    &[
        Key::new(
            "prefixes",
            Kind::Text,
            None,
            "Networks, as in 10.1.0.0/16, 2001:db8::/32; the longest prefix wins.",
        ),
        Key::new("tenant", Kind::Text, None, "The tenant whose they are."),
    ],
);
