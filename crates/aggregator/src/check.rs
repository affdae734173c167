//! `query-aggregator check`: what would be in force, and where each value came from.

use crate::output::{self, Done, Failure};
use crate::{program, settings, Files};
use comfy_table::Table;
use ini_config::Origin;
use opensearch_gateway::settings::GatewaySettings;
use usage_ledger::settings::{Ledger, UsageLog};

pub fn run(files: &Files) -> Done {
    let own = settings::read(files)?;
    UsageLog::read(&own, &settings::SCHEMA).map_err(Failure::configuration)?;
    Ledger::read(&own, &settings::SCHEMA).map_err(Failure::configuration)?;
    GatewaySettings::read(&own, &settings::SCHEMA).map_err(Failure::configuration)?;
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(["SETTING", "VALUE", "FROM", "CHANGES"]);
    let mut row = |name: &str, value: &str, from: &str, live: bool| {
        table.add_row([
            name,
            value,
            from,
            if live { "on SIGHUP" } else { "at a start" },
        ]);
    };
    if let Some(path) = &files.config {
        let config = program::read(path)?;
        let (from, addresses) = (path.display().to_string(), &config.addresses);
        row("name", &config.name, &from, false);
        row("listen", &config.listen.to_string(), &from, false);
        row("discovery", &addresses.discovery.to_string(), &from, true);
        row("peers", &addresses.peers.len().to_string(), &from, true);
        row(
            "limits.sockets",
            &config.descriptors.to_string(),
            &from,
            false,
        );
        row(
            "known",
            &format!("{} endpoints", config.known.endpoints.len()),
            &from,
            false,
        );
        row(
            "settings.classes",
            &config.site.classes.join(" "),
            &from,
            false,
        );
        row(
            "settings.orgs",
            &config.site.tenants.join(" "),
            &from,
            false,
        );
        row(
            "settings.localities",
            &config.site.zones.join(" "),
            &from,
            false,
        );
        row(
            "settings.extra.ranges",
            &config.site.shards.to_string(),
            &from,
            false,
        );
        row(
            "settings.limits.open_cap",
            &config.site.max_open.to_string(),
            &from,
            false,
        );
    } else {
        row(
            "(configuration)",
            "(none)",
            "neither --config nor BALANCER_CONFIG",
            false,
        );
    }
    let file = files
        .settings
        .as_ref()
        .map(|path| path.display().to_string())
        .unwrap_or_default();
    for shown in own.shown(&settings::SCHEMA) {
        let from = match shown.origin {
            Origin::Line(line) => format!("{file}:{line}"),
            Origin::Default => "default".into(),
        };
        row(
            &format!("[{}] {}", shown.section, shown.key),
            &shown.value,
            &from,
            shown.live,
        );
    }
    output::print(format!("{table}\n").as_bytes())
}
