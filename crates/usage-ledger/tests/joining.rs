//! Joining, settling and adjusting against a naive model, under random retries, deaths, reorderings
//! and late arrivals.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use usage_ledger::join::{Joiner, LogicalRequest, Outcome, RecordId, UsageRecord};
use usage_ledger::period::Period;
use usage_ledger::rate::Counts;
use usage_ledger::settle::{
    adjustments, decide_closing, Bounds, CarryOver, ClosingDecision, LineKey, Lines,
    MemberProgress, PeriodSettler,
};

const SKEW: i64 = 20;
const WINDOW: i64 = 100;
const HORIZON: i64 = 150;
const PERIOD: i64 = 400;
const BOUNDS: Bounds = Bounds {
    horizon: HORIZON,
    skew: SKEW,
};

fn one(at: i64, sequence: u64) -> UsageRecord {
    UsageRecord {
        at,
        member: 1,
        incarnation: 1,
        sequence,
        tenant: 1,
        class: 1,
        outcome: Outcome::Rejected,
        parts: 2,
        attempts: 3,
        crossed: 1,
        repeat: false,
        key: 2,
        keyed: false,
        client_timeout_ms: WINDOW,
        reply_uncertain: false,
    }
}

fn join(mut tries: Vec<UsageRecord>) -> Vec<LogicalRequest> {
    tries.sort_by_key(UsageRecord::id);
    let mut uses = Vec::new();
    let mut joiner = Joiner::new(SKEW, HORIZON);
    for it in tries {
        joiner.push(it, &mut |it| uses.push(it));
    }
    joiner.finish(&mut |it| uses.push(it));
    uses.sort_by_key(|it| it.first().id());
    uses
}

/// The rule as it is stated, over everything at once: no streaming, nothing closed early.
fn naive(mut tries: Vec<UsageRecord>) -> Vec<Vec<RecordId>> {
    tries.sort_by_key(UsageRecord::id);
    let mut uses: Vec<Vec<UsageRecord>> = tries
        .iter()
        .filter(|it| !it.repeat && !it.keyed)
        .map(|it| vec![*it])
        .collect();
    for retry in tries.iter().filter(|it| it.repeat || it.keyed) {
        let same = |it: &UsageRecord| {
            (it.tenant, it.class, it.key, it.keyed)
                == (retry.tenant, retry.class, retry.key, retry.keyed)
        };
        let window = if retry.keyed { HORIZON } else { WINDOW };
        let fits = |it: &&mut Vec<UsageRecord>| {
            let (first, last) = (it[0], it[it.len() - 1]);
            let open = retry.keyed
                || last.reply_uncertain
                || !matches!(last.outcome, Outcome::Complete | Outcome::Partial(_));
            same(&first)
                && first.at + window + SKEW >= retry.at
                && last.at <= retry.at + SKEW
                && open
        };
        let rank = |it: &&mut Vec<UsageRecord>| {
            let last = it[it.len() - 1];
            let answered =
                !retry.keyed && matches!(last.outcome, Outcome::Complete | Outcome::Partial(_));
            (
                answered,
                last.at > retry.at,
                if retry.keyed { it[0].id() } else { last.id() },
            )
        };
        match uses.iter_mut().filter(fits).min_by_key(rank) {
            Some(it) => it.push(*retry),
            None => uses.push(vec![*retry]),
        }
    }
    let mut ids: Vec<Vec<RecordId>> = uses
        .iter()
        .map(|it| it.iter().map(UsageRecord::id).collect())
        .collect();
    ids.sort();
    ids
}

fn ids(uses: &[LogicalRequest]) -> Vec<Vec<RecordId>> {
    let mut ids: Vec<Vec<RecordId>> = uses
        .iter()
        .map(|it| it.records.iter().map(UsageRecord::id).collect())
        .collect();
    ids.sort();
    ids
}

fn tries() -> impl Strategy<Value = Vec<UsageRecord>> {
    let outcome = prop_oneof![
        Just(Outcome::Complete),
        (1u32..1_000_000).prop_map(Outcome::Partial),
        Just(Outcome::Rejected),
        Just(Outcome::Rejected),
        Just(Outcome::Failed),
        Just(Outcome::Cancelled),
    ];
    let it = (
        0i64..1600,
        1u32..4,
        1u32..3,
        1u64..4,
        any::<bool>(),
        outcome,
        0u8..8,
    );
    prop::collection::vec(it, 0..60).prop_map(|all| {
        let make = |(n, (at, member, tenant, key, repeat, outcome, dice)): (
            usize,
            (i64, u32, u32, u64, bool, _, u8),
        )| {
            let keyed = dice == 0;
            let key = key * 2 + u64::from(keyed);
            UsageRecord {
                member,
                tenant,
                key,
                keyed,
                repeat,
                outcome,
                reply_uncertain: dice == 1,
                ..one(at, n as u64 + 1)
            }
        };
        all.into_iter().enumerate().map(make).collect()
    })
}

/// Settles one period after the other, as the store does.
fn settle(tries: &[UsageRecord], period: Period, before: &CarryOver) -> (Lines, CarryOver) {
    let arrivals = BOUNDS.arrivals(period);
    let mut seen: Vec<UsageRecord> = tries
        .iter()
        .filter(|it| arrivals.contains(&it.at))
        .copied()
        .collect();
    seen.sort_by_key(UsageRecord::id);
    let mut settler = PeriodSettler::new(period, BOUNDS, before.clone());
    seen.into_iter().for_each(|it| settler.push(it));
    let settled = settler.finish();
    (settled.lines, settled.carry_over)
}

fn period(n: i64) -> Period {
    Period {
        start: n * PERIOD,
        end: (n + 1) * PERIOD,
    }
}

fn total(lines: impl IntoIterator<Item = Counts>) -> Counts {
    let mut sum = Counts::default();
    lines.into_iter().for_each(|counts| sum += counts);
    sum
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn streaming_joins_as_the_rule_says_each_try_once(tries in tries()) {
        let uses = join(tries.clone());
        prop_assert_eq!(ids(&uses), naive(tries.clone()));
        let all: BTreeSet<RecordId> = uses.iter().flat_map(|it| it.records.iter().map(UsageRecord::id)).collect();
        prop_assert_eq!(all.len(), uses.iter().map(|it| it.records.len()).sum::<usize>());
        prop_assert_eq!(all.len(), tries.len());
    }

    #[test]
    fn periods_one_by_one_come_to_what_all_together_do(tries in tries()) {
        let mut expected: BTreeMap<i64, Lines> = BTreeMap::new();
        for it in join(tries.clone()) {
            let (at, key) = (it.first().at, LineKey { tenant: it.first().tenant, class: it.first().class });
            expected.entry(at.div_euclid(PERIOD)).or_default().entry(key).or_default().add(&it);
        }
        let mut carried = CarryOver::default();
        for n in 0..4 {
            let (lines, next) = settle(&tries, period(n), &carried);
            prop_assert_eq!(lines, expected.remove(&n).unwrap_or_default(), "period {}", n);
            carried = next;
        }
        prop_assert!(expected.is_empty());
    }

    /// Some records come only after the periods were closed: statements and adjustments together
    /// come to what all records do, whatever the order.
    #[test]
    fn late_records_are_made_good_by_adjustments(tries in tries(), late in any::<u64>()) {
        let early: Vec<UsageRecord> = tries.iter().filter(|it| late >> (it.sequence % 64) & 1 == 0).copied().collect();
        let mut said: Vec<Lines> = Vec::new();
        let mut carried = CarryOver::default();
        for n in 0..4 {
            let (lines, next) = settle(&early, period(n), &carried);
            said.push(lines);
            carried = next;
        }
        let mut carried = CarryOver::default();
        for n in 0..4 {
            let (now, next) = settle(&tries, period(n), &carried);
            let adjusted = adjustments(&now, &said[n as usize]);
            let both = said[n as usize].values().chain(adjusted.values()).copied();
            prop_assert_eq!(total(both), total(now.values().copied()));
            carried = next;
        }
    }
}

#[test]
fn retries_are_joined_one_to_one_and_in_order() {
    let retry = |at, sequence| UsageRecord {
        repeat: true,
        ..one(at, sequence)
    };
    let whole = |it: UsageRecord| UsageRecord {
        outcome: Outcome::Complete,
        ..it
    };
    // Two clients with the same text at the same moment are two uses, each with its retry.
    let uses = join(vec![
        one(0, 1),
        one(0, 2),
        whole(retry(30, 3)),
        whole(retry(31, 4)),
    ]);
    assert_eq!(uses.len(), 2);
    assert!(uses
        .iter()
        .all(|it| it.outcome == Outcome::Complete && it.records.len() == 2));
    assert!(
        !uses[0].ambiguous.is_empty(),
        "there were two to join, and that is told"
    );
    // Its first try never arrived: a use of its own.
    let uses = join(vec![whole(retry(30, 1))]);
    assert_eq!((uses.len(), uses[0].ambiguous.len()), (1, 0));
    // An answered one has had its retries.
    let uses = join(vec![whole(one(0, 1)), whole(retry(30, 2))]);
    assert_eq!((uses.len(), uses[1].ambiguous.len()), (2, 1));
    // Unless its mixer died before the answer can have left for certain.
    let died = UsageRecord {
        reply_uncertain: true,
        ..whole(one(0, 1))
    };
    assert_eq!(join(vec![died, whole(retry(30, 2))]).len(), 1);
    // Past the class's give-up time it is no retry of that.
    assert_eq!(join(vec![one(0, 1), retry(WINDOW + SKEW, 2)]).len(), 1);
    assert_eq!(join(vec![one(0, 1), retry(WINDOW + SKEW + 1, 2)]).len(), 2);
    // A clock that is behind: the retry seems to come before its first try.
    let uses = join(vec![one(100, 1), whole(retry(100 - SKEW, 2))]);
    assert_eq!((uses.len(), uses[0].first().at), (1, 100));
    assert_eq!(join(vec![one(100, 1), whole(retry(99 - SKEW, 2))]).len(), 2);
}

#[test]
fn a_key_of_the_clients_own_joins_whatever_became_of_the_tries() {
    let keyed = |at, sequence, outcome| UsageRecord {
        keyed: true,
        key: 7,
        outcome,
        ..one(at, sequence)
    };
    let tries = vec![
        keyed(0, 1, Outcome::Complete),
        keyed(40, 2, Outcome::Partial(700_000)),
        keyed(HORIZON, 3, Outcome::Rejected),
        UsageRecord {
            tenant: 2,
            ..keyed(10, 4, Outcome::Complete)
        },
    ];
    let uses = join(tries);
    assert_eq!(
        uses.iter()
            .map(|it| (it.records.len(), it.outcome))
            .collect::<Vec<_>>(),
        [(3, Outcome::Complete), (1, Outcome::Complete)]
    );
}

#[test]
fn a_period_waits_for_its_members_until_the_grace_is_over() {
    let known = |member: &str, complete| MemberProgress {
        member: member.into(),
        complete,
    };
    let until = BOUNDS.arrivals(period(0)).end;
    let both = |b| [known("a", Some(until)), known("b", b)];
    let closes =
        |now, members: &[MemberProgress]| decide_closing(period(0), BOUNDS, 1000, now, members);
    assert_eq!(closes(until, &both(Some(until))), ClosingDecision::Complete);
    assert_eq!(
        closes(until, &both(Some(until - 1))),
        ClosingDecision::Wait(vec!["b".into()])
    );
    assert_eq!(
        closes(until + 999, &both(None)),
        ClosingDecision::Wait(vec!["b".into()])
    );
    assert_eq!(
        closes(until + 1000, &both(None)),
        ClosingDecision::Incomplete(vec!["b".into()])
    );
    assert_eq!(
        closes(until - 1, &both(Some(until))),
        ClosingDecision::Wait(vec![]),
        "a clock ahead closes nothing early"
    );
}
