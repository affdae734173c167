//! Amounts of lines, and requests over the allowance.

use usage_ledger::rate::{line_amount, requests_over_allowance, UsageCounts};
use usage_ledger::settings::Price;

#[test]
fn a_line_is_rounded_once_half_up_and_differences_add_up() {
    let price = Price {
        complete: 3,
        partial: 1,
    };
    let counts = |complete, share_millionths| UsageCounts {
        complete,
        share_millionths,
        partial: i64::from(share_millionths > 0),
        ..UsageCounts::default()
    };
    let cases = [
        ((2, 0), 6),
        ((0, 499_999), 0),
        ((0, 500_000), 1),
        ((1, 1_499_999), 4),
        ((1, 1_500_000), 5),
    ];
    for ((complete, share_millionths), expected) in cases {
        assert_eq!(
            line_amount(&counts(complete, share_millionths), price),
            expected,
            "wrong amount for {complete} complete answers and a share of {share_millionths} millionths"
        );
    }
    let (before, after) = (counts(1, 400_000), counts(2, 900_000));
    assert_eq!((after - before).share_millionths, 500_000);
    let mut sum = before;
    sum += after - before;
    assert_eq!(sum, after);
    let maximum = Price {
        complete: u64::MAX,
        partial: u64::MAX,
    };
    assert_eq!(line_amount(&counts(i64::MAX, i64::MAX), maximum), i64::MAX);
}

#[test]
fn answered_requests_beyond_the_allowance_are_counted() {
    assert_eq!(
        (
            requests_over_allowance(5, None),
            requests_over_allowance(5, Some(3)),
            requests_over_allowance(3, Some(3)),
            requests_over_allowance(0, Some(0))
        ),
        (0, 2, 0, 0)
    );
}
