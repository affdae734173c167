//! Documents of an index, generated from the shard number and the position in the shard.

use serde_json::{json, Value};

/// Words from which titles are composed.
pub const TITLE_WORDS: [&str; 8] = [
    "raga", "tala", "drum", "song", "night", "river", "gold", "road",
];
/// Values of the field `genre`.
pub const GENRES: [&str; 5] = ["baila", "film", "folk", "jazz", "pop"];

/// Number of the shard in which the field `plays` is a string instead of a number.
const SHARD_WITH_STRING_PLAYS: u32 = 5;
/// Number of the first shard with only a few documents.
const FIRST_SPARSE_SHARD: u32 = 14;
const FIRST_RELEASE_MS: u64 = 1_000_000_000_000;
pub(super) const DAY_MS: u64 = 86_400_000;

/// Document of the index.
pub(super) struct IndexDocument {
    pub(super) id: String,
    pub(super) fields: Value,
}

/// Purpose of a document's pseudo-random number; each purpose gets its own number.
#[derive(Clone, Copy)]
enum Draw {
    FirstWord = 1,
    SecondWord = 2,
    ThirdWord = 3,
    Genre = 4,
    Year = 5,
    Released = 6,
    HasPlays = 7,
    Plays = 8,
}

/// Returns the number of documents in a shard: 40 in the first, 2 fewer in each further shard, and
/// only a few from [`FIRST_SPARSE_SHARD`] on.
pub(super) fn document_count(shard: u32) -> u64 {
    u64::from(if shard >= FIRST_SPARSE_SHARD {
        shard - FIRST_SPARSE_SHARD + 1
    } else {
        40 - 2 * shard
    })
}

/// Generates one document. The field `plays` is missing in about a quarter of the documents, and is
/// a string in one shard.
pub(super) fn document(shard: u32, position: u64) -> IndexDocument {
    let draw = |draw: Draw| pseudo_random(shard, position, draw);
    let word = |which: Draw| TITLE_WORDS[(draw(which) % TITLE_WORDS.len() as u64) as usize];
    let title = [Draw::FirstWord, Draw::SecondWord, Draw::ThirdWord]
        .map(word)
        .join(" ");
    let mut fields = json!({
        "title": title,
        "genre": GENRES[(draw(Draw::Genre) % GENRES.len() as u64) as usize],
        "year": 1960 + draw(Draw::Year) % 60,
        "released": FIRST_RELEASE_MS + draw(Draw::Released) % 40 * DAY_MS,
    });
    if !draw(Draw::HasPlays).is_multiple_of(4) {
        let plays = draw(Draw::Plays) % 500;
        fields["plays"] = if shard == SHARD_WITH_STRING_PLAYS {
            json!(plays.to_string())
        } else {
            json!(plays)
        };
    }
    IndexDocument {
        id: format!("s{shard}-{position}"),
        fields,
    }
}

fn pseudo_random(shard: u32, position: u64, draw: Draw) -> u64 {
    let mut state = u64::from(shard) << 40 ^ position << 8 ^ draw as u64 ^ 0x9e37_79b9_7f4a_7c15;
    for _ in 0..3 {
        state = (state ^ (state >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    state ^ (state >> 29)
}
