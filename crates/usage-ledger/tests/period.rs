//! Billing periods of calendars with days of different lengths.

use jiff::tz::TimeZone;
use jiff::Timestamp;
use usage_ledger::period::{Calendar, Period, PeriodLength};

fn unix_ms(text: &str) -> i64 {
    text.parse::<Timestamp>().unwrap().as_millisecond()
}

#[test]
fn periods_are_contiguous_where_an_hour_is_repeated_or_skipped() {
    let zone = |name| TimeZone::get(name).unwrap();
    let calendars = [
        (
            Calendar(PeriodLength::CivilDay(zone("Europe/Berlin"))),
            "2026-10-20T12:00:00Z",
            25,
            23,
        ),
        (
            Calendar(PeriodLength::CivilDay(zone("Asia/Colombo"))),
            "2026-10-20T12:00:00Z",
            24,
            24,
        ),
        (
            Calendar(PeriodLength::CivilMonth(zone("Europe/Berlin"))),
            "2026-01-10T12:00:00Z",
            31 * 24 + 1,
            28 * 24,
        ),
    ];
    for (calendar, from, longest_hours, shortest_hours) in calendars {
        let mut period = calendar.period_at(unix_ms(from));
        let mut hours = Vec::new();
        for _ in 0..200 {
            assert_eq!(calendar.period_at(period.start_ms), period);
            assert_eq!(calendar.period_at(period.end_ms - 1), period);
            hours.push((period.end_ms - period.start_ms) / 3_600_000);
            let next = calendar.period_after(period);
            assert_eq!(next.start_ms, period.end_ms);
            period = next;
        }
        assert_eq!(
            (hours.iter().max(), hours.iter().min()),
            (Some(&longest_hours), Some(&shortest_hours))
        );
    }
    // Both hours between two and three o'clock local time belong to the same day.
    let berlin = Calendar(PeriodLength::CivilDay(zone("Europe/Berlin")));
    assert_eq!(
        berlin.period_at(unix_ms("2026-10-25T00:30:00Z")),
        berlin.period_at(unix_ms("2026-10-25T01:30:00Z"))
    );
    assert_eq!(
        Calendar(PeriodLength::Milliseconds(5000)).period_at(12_345),
        Period {
            start_ms: 10_000,
            end_ms: 15_000
        }
    );
}
