//! Reading a log: partial writes, flipped bits, and start positions.

use crate::harness::{follow, run_tables, settings, write, write_run, AFTER_ALL_RECORDS};
use std::fs;
use usage_ledger::log::{self, LogPosition, SegmentItem};
use usage_ledger::writer::{self, FileSystem};

#[test]
fn a_partial_write_is_removed_without_loss_of_earlier_records() {
    let folder = tempfile::tempdir().unwrap();
    write_run(folder.path(), 1 << 20, 6);
    let segment = log::segments(folder.path()).unwrap().remove(0);
    let complete = fs::read(&segment.path).unwrap();
    let start = log::parse_header(&complete).unwrap().entries_start;
    let ends: Vec<usize> = (1..=6)
        .map(|count| log::read_items(&complete, start, count).end)
        .collect();
    for length in 0..=complete.len() {
        fs::write(&segment.path, &complete[..length]).unwrap();
        let complete_records = ends.iter().filter(|end| **end <= length).count() as u64;
        let mut second_run = writer::start_on(
            FileSystem,
            &settings(folder.path(), 1 << 20),
            run_tables(),
            0,
        )
        .unwrap();
        write(&mut second_run, 1..=2);
        second_run.close();
        let contents = follow(folder.path(), LogPosition::default(), 100);
        if length >= start {
            let sequences = contents.sequences_of(segment.incarnation);
            assert_eq!(
                sequences,
                (1..=complete_records).collect::<Vec<_>>(),
                "wrong records after a cut at byte {length}"
            );
        }
        let damage = &contents.damage;
        assert!(
            damage.is_empty(),
            "expected no damage after a cut at byte {length}: {damage:?}"
        );
        assert!(
            contents.sequences().ends_with(&[1, 2]),
            "expected the records of the second run after a cut at byte {length}"
        );
        for other in log::segments(folder.path()).unwrap() {
            if other.path != segment.path {
                fs::remove_file(&other.path).unwrap();
            }
        }
    }
}

#[test]
fn a_flipped_bit_damages_only_its_frame_and_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    write_run(folder.path(), 1 << 20, 8);
    let segment = log::segments(folder.path()).unwrap().remove(0);
    let complete = fs::read(&segment.path).unwrap();
    let start = log::parse_header(&complete).unwrap().entries_start;
    let ends: Vec<usize> = std::iter::once(start)
        .chain((1..=8).map(|count| log::read_items(&complete, start, count).end))
        .collect();
    // Adds a later segment, so that unreadable bytes at the end of the first one can't be a write
    // in progress.
    let mut second_run = writer::start_on(
        FileSystem,
        &settings(folder.path(), 1 << 20),
        run_tables(),
        0,
    )
    .unwrap();
    write(&mut second_run, 1..=1);
    second_run.close();
    for offset in start..complete.len() {
        for bit in [0x01, 0x80] {
            let mut bytes = complete.clone();
            bytes[offset] ^= bit;
            fs::write(&segment.path, &bytes).unwrap();
            let damaged_sequence = ends
                .windows(2)
                .position(|pair| (pair[0]..pair[1]).contains(&offset))
                .unwrap() as u64
                + 1;
            let contents = follow(folder.path(), LogPosition::default(), 3);
            assert_eq!(
                contents.sequences_of(segment.incarnation),
                (1..=8)
                    .filter(|sequence| *sequence != damaged_sequence)
                    .collect::<Vec<_>>(),
                "wrong records after a flipped bit at byte {offset}"
            );
            let [damage] = &contents.damage[..] else {
                panic!(
                    "expected one damaged range for a flipped bit at byte {offset}: {:?}",
                    contents.damage
                )
            };
            assert_eq!(damage.segment, segment.name());
            let range = damage.from..damage.to;
            assert!(
                range.contains(&(offset as u64)),
                "expected a damaged range that contains byte {offset}: {range:?}"
            );
        }
    }
    // The records are still read if the header is damaged.
    let mut bytes = complete.clone();
    bytes[start - 1] ^= 1;
    fs::write(&segment.path, &bytes).unwrap();
    let items = log::read_items(&bytes, log::MAGIC.len(), 100).items;
    assert_eq!(
        items
            .iter()
            .filter(|item| matches!(item, SegmentItem::Entry(_)))
            .count(),
        8
    );
}

#[test]
fn a_follower_resumes_from_any_position_across_segments() {
    let folder = tempfile::tempdir().unwrap();
    write_run(folder.path(), 1024, 200);
    write_run(folder.path(), 1024, 100);
    assert!(
        log::segments(folder.path()).unwrap().len() > 4,
        "expected several segments per run"
    );
    let contents = follow(folder.path(), LogPosition::default(), 7);
    let all = &contents.records;
    assert_eq!((all.len(), contents.damage.len()), (300, 0));
    for (index, after) in all.iter().enumerate() {
        let rest = follow(folder.path(), *after, 1 + index % 90).records;
        assert_eq!(
            rest,
            all[index + 1..],
            "wrong records after the position of record {index}"
        );
    }
    // Settled segments are removed, except for the last one of the log.
    let segment_count = log::segments(folder.path()).unwrap().len();
    let settled = all[120];
    let removed_segments = log::remove_settled(folder.path(), settled).unwrap();
    assert!(
        removed_segments > 0
            && log::segments(folder.path()).unwrap().len() == segment_count - removed_segments
    );
    assert_eq!(follow(folder.path(), settled, 50).records, all[121..]);
    log::remove_settled(folder.path(), AFTER_ALL_RECORDS).unwrap();
    assert_eq!(log::segments(folder.path()).unwrap().len(), 1);
}
