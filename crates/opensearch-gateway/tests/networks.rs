//! Tests of tenant lookup by network and of client addresses behind proxies.

use ipnet::Ipv4Net;
use opensearch_gateway::networks::{
    client_address, parse_networks, NetworkSet, TenantNetworkError, TenantNetworks,
};
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr};

fn tenant_networks(rules: &[(&str, &str)]) -> Result<TenantNetworks, TenantNetworkError> {
    let mut networks = TenantNetworks::default();
    for (network, tenant) in rules {
        networks.insert(network.parse().unwrap(), tenant)?;
    }
    Ok(networks)
}

#[test]
fn the_longest_prefix_wins_and_redundant_networks_are_rejected() {
    let networks = tenant_networks(&[
        ("10.0.0.0/8", "a"),
        ("10.1.0.0/16", "b"),
        ("10.1.2.0/24", "a"),
        ("2001:db8::/32", "c"),
    ]);
    let networks = networks.unwrap();
    let cases = [
        ("10.9.9.9", Some("a")),
        ("10.1.9.9", Some("b")),
        ("10.1.2.3", Some("a")),
        ("::ffff:10.1.9.9", Some("b")),
        ("11.0.0.1", None),
        ("2001:db8::1", Some("c")),
        ("2001:db9::1", None),
    ];
    for (address, tenant) in cases {
        assert_eq!(networks.find(address.parse().unwrap()), tenant, "{address}");
    }
    assert!(tenant_networks(&[("10.0.0.0/8", "a"), ("10.0.0.0/8", "b")])
        .unwrap_err()
        .to_string()
        .contains("already assigned to tenant 'a'"));
    assert!(
        tenant_networks(&[("10.0.0.0/8", "a"), ("10.1.0.0/16", "a")])
            .unwrap_err()
            .to_string()
            .contains("has no effect")
    );
    assert!(
        parse_networks("10.1.0.1/16")
            .unwrap_err()
            .to_string()
            .contains("10.1.0.0/16")
            && parse_networks("10.1.0.0/33").is_err()
    );
    assert_eq!(parse_networks("10.1.0.0/16, ::1").unwrap().len(), 2);
}

#[test]
fn forwarded_addresses_are_used_only_from_trusted_proxies() {
    let mut proxies = NetworkSet::default();
    parse_networks("10.0.0.0/24, ::1")
        .unwrap()
        .into_iter()
        .for_each(|network| proxies.insert(network));
    let cases: [(&str, &[&str], &str); 8] = [
        ("192.0.2.1", &["10.9.9.9"], "192.0.2.1"),
        ("10.0.0.1", &["192.0.2.7"], "192.0.2.7"),
        ("10.0.0.1", &["198.51.100.1, 192.0.2.7"], "192.0.2.7"),
        (
            "10.0.0.1",
            &["198.51.100.1", "192.0.2.7, 10.0.0.2"],
            "192.0.2.7",
        ),
        ("10.0.0.1", &["10.0.0.3"], "10.0.0.3"),
        ("10.0.0.1", &["198.51.100.1, unknown"], "10.0.0.1"),
        ("10.0.0.1", &[], "10.0.0.1"),
        ("::ffff:10.0.0.1", &["::ffff:192.0.2.7"], "192.0.2.7"),
    ];
    for (peer, forwarded_for, expected) in cases {
        let client = client_address(peer.parse().unwrap(), forwarded_for, &proxies);
        assert_eq!(
            client,
            expected.parse::<IpAddr>().unwrap(),
            "{peer} {forwarded_for:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn longest_prefix_lookup_agrees_with_a_linear_scan(
        rules in prop::collection::vec((0u32..64, 0u8..=6, 0u8..3), 0..20), address in 0u32..64,
    ) {
        // Only the six leading bits vary, so that networks often overlap.
        let address_from_bits = |bits: u32| Ipv4Addr::from(bits << 26);
        let mut rules: Vec<(Ipv4Net, u8)> = rules.iter().map(|(bits, length, tenant)| {
            (Ipv4Net::new(address_from_bits(*bits), *length).unwrap().trunc(), *tenant)
        }).collect();
        rules.sort_by_key(|(network, _)| network.prefix_len());
        let mut networks = TenantNetworks::default();
        let mut accepted_rules: Vec<(Ipv4Net, u8)> = Vec::new();
        for (network, tenant) in rules {
            if networks.insert(network.into(), &tenant.to_string()).is_ok() {
                accepted_rules.push((network, tenant));
            }
        }
        let address = address_from_bits(address);
        let containing_rules = accepted_rules.iter().filter(|(network, _)| network.contains(&address));
        let narrowest_rule = containing_rules.max_by_key(|(network, _)| network.prefix_len());
        let expected = narrowest_rule.map(|(_, tenant)| tenant.to_string());
        prop_assert_eq!(networks.find(IpAddr::V4(address)).map(str::to_string), expected);
    }
}
