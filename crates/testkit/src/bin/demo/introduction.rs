//! Introduction: addresses of the installation and example requests.

use crate::output::print_line;
use aggregator_testkit::installation::{Aggregator, Installation};

/// Bodies of the example requests.
const EXAMPLE_QUERY: &str =
    r#"{"shards":[{"shard":3,"weight":0.5},{"shard":9,"weight":0.5}],"q":"c41e77d0"}"#;
const EXAMPLE_SEARCH: &str = r#"{"query":{"match":{"title":"river"}},"size":3}"#;

/// Prints the addresses of the aggregators and example commands.
pub fn print_introduction(installation: &Installation) {
    print_line(
        "discovery, 12 leaf servers in three zones, three aggregators and their ledger are running:",
    );
    for aggregator in &installation.aggregators {
        let (name, address) = (&aggregator.name, aggregator.address);
        print_line(&format!(
            "  aggregator {name}  http://{address}/   counters: http://{address}/-/stats"
        ));
    }
    print_example_requests(&installation.aggregators[0]);
    print_usage_command(installation);
    print_line("\nPress Ctrl-C to stop all of them.");
}

fn print_example_requests(aggregator: &Aggregator) {
    let (address, gateway_address) = (aggregator.address, aggregator.gateway_address);
    print_line("\nSend a query:");
    print_line(&format!(
        "  curl -s http://{address}/chart-ranking -H 'X-Request-ID: mine-1' \
         -H 'X-Tenant-Id: alpha' \\\n    -H 'X-Timeout: 900m' \\\n    -d '{EXAMPLE_QUERY}'"
    ));
    print_line("\nSend a search to the OpenSearch gateway:");
    print_line(&format!(
        "  curl -s http://{gateway_address}/chart-ranking/_search -H 'X-Tenant-Id: alpha' \
         -H 'Content-Type: application/json' \\\n    -d '{EXAMPLE_SEARCH}'"
    ));
}

fn print_usage_command(installation: &Installation) {
    let program = installation.program.display();
    let settings = installation.ledger.settings_file.display();
    print_line("\nPrint the usage by tenant, in periods of 10 s:");
    print_line(&format!(
        "  {program} ledger statement --settings {settings}"
    ));
}
