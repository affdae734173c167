//! Schema of the INI sections that configure the gateway.
//!
//! Names of sections and keys, valid values and defaults must not change: operators' files contain
//! them, and the `check` command prints them.

use ini_config::{Key, Kind, Section};

/// Default cluster name. Clients may depend on this name from earlier versions of the program.
pub(super) const DEFAULT_CLUSTER_NAME: &str = "cottonhill";
/// Default name of the header that contains the tenant.
pub(super) const DEFAULT_TENANT_HEADER: &str = "X-Tenant-Id";

// Valid values of `tenant-by`.
pub(super) const TENANT_BY_HEADER: &str = "header";
pub(super) const TENANT_BY_NETWORK: &str = "network";
pub(super) const TENANT_BY_HEADER_OR_NETWORK: &str = "header-or-network";
pub(super) const TENANT_BY_CERTIFICATE: &str = "certificate";

/// Section `[opensearch]`: the listener and the settings that apply to all indices.
pub const GATEWAY_SECTION: Section = Section::new(
    "opensearch",
    &[
        Key::new(
            "listen",
            Kind::Address,
            None,
            "Separate address on which the OpenSearch frontend listens; disabled if unset.",
        ),
        Key::new(
            "connections",
            Kind::Count(1, 100_000),
            Some("64"),
            "Maximum number of open connections; further connections wait to be accepted.",
        ),
        Key::new(
            "body",
            Kind::Bytes,
            Some("64KiB"),
            "Maximum size of a request body, compressed or decompressed.",
        ),
        Key::new(
            "answer",
            Kind::Bytes,
            Some("8MiB"),
            "Maximum total size of the shards' answers to one search.",
        ),
        Key::new(
            "idle",
            Kind::Time,
            Some("60s"),
            "Time after which a connection without a request is closed.",
        ),
        Key::new(
            "cluster",
            Kind::Text,
            Some(DEFAULT_CLUSTER_NAME),
            "Cluster name that is reported to clients.",
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
            "What determines the tenant of a request: a header, the client's network, the header or \
             else the network, or the client's certificate.",
        ),
        Key::new(
            "certificate",
            Kind::Text,
            None,
            "PEM file with the certificate chain; plain HTTP is served if unset.",
        ),
        Key::new(
            "key",
            Kind::Text,
            None,
            "PEM file with the certificate's private key; only the owner may have access to the file.",
        ),
        Key::new(
            "client-ca",
            Kind::Text,
            None,
            "PEM file with the certificate authorities for clients; client certificates are optional.",
        ),
        Key::new(
            "proxies",
            Kind::Text,
            None,
            "Networks of trusted proxies; X-Forwarded-For from other peers is ignored.",
        ),
        Key::new(
            "tenant-header",
            Kind::Text,
            Some(DEFAULT_TENANT_HEADER),
            "Name of the header that contains the tenant.",
        ),
        Key::new(
            "tenant",
            Kind::Text,
            None,
            "Tenant of a search whose tenant cannot be determined.",
        ),
    ],
);

/// Section `[index NAME]`: one index.
pub const INDEX_SECTION: Section = Section::named(
    "index",
    &[
        Key::new(
            "class",
            Kind::Text,
            None,
            "Class of the searches on this index, one of the platform's classes.",
        ),
        Key::new(
            "shards",
            Kind::Text,
            None,
            "Shards of the index: numbers and ranges, for example 0-7,12.",
        ),
        Key::new(
            "weights",
            Kind::Text,
            None,
            "Weights of the shards in the same order, adding up to 1; equal weights if unset.",
        ),
    ],
);

/// Section `[network NAME]`: networks that belong to one tenant.
pub const NETWORK_SECTION: Section = Section::named(
    "network",
    &[
        Key::new(
            "prefixes",
            Kind::Text,
            None,
            "Networks, for example 10.1.0.0/16, 2001:db8::/32; the longest prefix takes precedence.",
        ),
        Key::new(
            "tenant",
            Kind::Text,
            None,
            "Tenant that the networks belong to.",
        ),
    ],
);
