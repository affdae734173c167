//! Parsing of networks in the settings.

use ipnet::IpNet;
use std::net::IpAddr;

/// A network in the settings that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseNetworkError {
    /// The text is neither an address nor a network.
    #[error("'{text}' is no network, as in 10.1.0.0/16")]
    Invalid {
        /// The text.
        text: String,
    },
    /// Bits beyond the prefix are set, which hints at a wrong prefix length.
    #[error("'{text}' has bits past its prefix; is it {truncated}?")]
    HostBitsSet {
        /// The text.
        text: String,
        /// The network without these bits.
        truncated: IpNet,
    },
}

/// Parses networks and single addresses that are separated by commas.
///
/// # Errors
/// The first entry that is not a network.
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
