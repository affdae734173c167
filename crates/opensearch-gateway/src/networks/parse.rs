//! Parses lists of networks in the settings.

use ipnet::IpNet;
use std::net::IpAddr;

/// Error from parsing an entry of a list of networks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseNetworkError {
    /// The entry is neither an IP address nor a network.
    #[error("'{text}' is not an IP address or a network (for example 10.1.0.0/16)")]
    Invalid {
        /// The invalid entry.
        text: String,
    },
    /// Bits beyond the prefix are set, which indicates a wrong prefix length.
    #[error("'{text}' has bits set beyond its prefix length; did you mean {truncated}?")]
    HostBitsSet {
        /// The invalid entry.
        text: String,
        /// The network with the bits beyond the prefix cleared.
        truncated: IpNet,
    },
}

/// Parses a comma-separated list of networks and single addresses. Empty entries are skipped.
///
/// # Errors
/// Returns the error of the first invalid entry.
pub fn parse_networks(text: &str) -> Result<Vec<IpNet>, ParseNetworkError> {
    text.split(',')
        .map(str::trim)
        .filter(|entry| !entry.is_empty())
        .map(parse_network)
        .collect()
}

fn parse_network(text: &str) -> Result<IpNet, ParseNetworkError> {
    if let Ok(address) = text.parse::<IpAddr>() {
        return Ok(IpNet::from(address));
    }
    let text = text.to_string();
    let Ok(network) = text.parse::<IpNet>() else {
        return Err(ParseNetworkError::Invalid { text });
    };
    let truncated = network.trunc();
    if network != truncated {
        return Err(ParseNetworkError::HostBitsSet { text, truncated });
    }
    Ok(network)
}
