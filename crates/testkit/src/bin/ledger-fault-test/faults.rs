//! Faults that are injected while clients send requests.

use crate::load::LedgerLoad;
use crate::receiver::RestartableReceiver;
use aggregator_testkit::installation::{now_ms, Installation, LeafStart};
use aggregator_testkit::test_program::TestProgramError;
use std::time::Duration;
use tokio::time::sleep;

/// Index of the aggregator that is killed.
const KILLED_AGGREGATOR: usize = 1;
/// Index of the zone that is lost.
const LOST_ZONE: usize = 2;

/// Times between the end of a process or of the receiver and its restart.
const AGGREGATOR_DOWN_TIME: Duration = Duration::from_millis(300);
const FIRST_SETTLEMENT_DOWN_TIME: Duration = Duration::from_millis(700);
const SECOND_SETTLEMENT_DOWN_TIME: Duration = Duration::from_millis(400);
const RECEIVER_DOWN_TIME: Duration = Duration::from_millis(200);
/// Delay after which a restarted aggregator is about to recover its usage log, or is doing so.
const RECOVERY_DELAY: Duration = Duration::from_millis(15);
/// Duration of the zone loss, in percent of a period.
const ZONE_LOSS_PERCENT: u64 = 40;

/// Injects all faults one after the other. The first kill of the settlement and the restart of the
/// receiver occur while the installation is still recovering from the previous fault.
pub async fn inject(
    installation: &mut Installation,
    load: &LedgerLoad,
    receiver: &mut RestartableReceiver,
) -> Result<(), TestProgramError> {
    let period_ms = load.period_ms;
    sleep_into_next_period(period_ms, 40).await;
    kill_aggregator_twice(installation, load).await?;
    kill_settlement(installation, FIRST_SETTLEMENT_DOWN_TIME).await?;
    // Late enough in the period for the zone to be lost across its end.
    sleep_into_next_period(period_ms, 85).await;
    installation.lose_zone(LOST_ZONE);
    sleep(Duration::from_millis(period_ms * ZONE_LOSS_PERCENT / 100)).await;
    installation
        .restore_zone(LOST_ZONE, LeafStart::JustNow)
        .await?;
    receiver.stop();
    sleep(RECEIVER_DOWN_TIME).await;
    receiver.restart().await?;
    sleep_into_next_period(period_ms, 50).await;
    kill_settlement(installation, SECOND_SETTLEMENT_DOWN_TIME).await
}

/// Kills an aggregator, restarts it, and kills it again while it recovers.
async fn kill_aggregator_twice(
    installation: &mut Installation,
    load: &LedgerLoad,
) -> Result<(), TestProgramError> {
    load.mark_killed(KILLED_AGGREGATOR);
    installation.aggregators[KILLED_AGGREGATOR].kill();
    sleep(AGGREGATOR_DOWN_TIME).await;
    installation.launch_aggregator(KILLED_AGGREGATOR)?;
    sleep(RECOVERY_DELAY).await;
    installation.aggregators[KILLED_AGGREGATOR].kill();
    installation.start_aggregator(KILLED_AGGREGATOR).await?;
    Ok(())
}

async fn kill_settlement(
    installation: &mut Installation,
    down_time: Duration,
) -> Result<(), TestProgramError> {
    installation.ledger.kill_settlement();
    sleep(down_time).await;
    installation.ledger.start_settlement()?;
    Ok(())
}

/// Sleeps until `percent` of the next period have passed.
async fn sleep_into_next_period(period_ms: u64, percent: u64) {
    let now_ms = now_ms();
    let wake_ms = now_ms - now_ms % period_ms + period_ms + period_ms * percent / 100;
    sleep(Duration::from_millis(wake_ms.saturating_sub(now_ms))).await;
}
