//! The documents of an index, generated from the shard and the position in it.

use serde_json::{json, Value};

/// Words that titles are made of.
pub const TITLE_WORDS: [&str; 8] = [
    "raga", "tala", "drum", "song", "night", "river", "gold", "road",
];
/// Values of the field `genre`.
pub const GENRES: [&str; 5] = ["baila", "film", "folk", "jazz", "pop"];

/// The shard whose field `plays` is text and not a number.
const SHARD_WITH_TEXTUAL_PLAYS: u32 = 5;
/// From this shard on there are hardly any documents.
const FIRST_SPARSE_SHARD: u32 = 14;
const FIRST_RELEASE_MS: u64 = 1_000_000_000_000;
pub(super) const DAY_MS: u64 = 86_400_000;

/// One document of the index.
pub(super) struct IndexDocument {
    pub(super) id: String,
    pub(super) fields: Value,
}

/// What a pseudo-random number of a document is used for.
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

/// Number of documents of a shard; later shards have fewer, the last ones hardly any.
pub(super) fn document_count(shard: u32) -> u64 {
    u64::from(if shard >= FIRST_SPARSE_SHARD {
        shard - FIRST_SPARSE_SHARD + 1
    } else {
        40 - 2 * shard
    })
}

/// One document. The field `plays` is missing in about a quarter of them, and text in one shard.
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
        fields["plays"] = if shard == SHARD_WITH_TEXTUAL_PLAYS {
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
