//! Configurations packed for transfers between VMs.

use crate::gateway::Document;
use crate::gateway::document_history::DocumentHistory;
use crate::gateway::packed_document::{pack, unpack};
use proptest::prelude::*;

const LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Lines that hardly repeat, as routes have.
fn lines(count: u64) -> Vec<u8> {
    let lines =
        (1..=count).map(|index| format!("{:x}\n", index.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    lines.collect::<String>().into_bytes()
}

#[test]
fn a_small_difference_to_a_large_text_is_small() {
    let base = lines(100_000);
    let mut text = base.clone();
    text.splice(700_000..700_010, *b"changed");
    let packed = pack(&text, &base).expect("it can be packed");
    assert!(packed.len() < 1_000, "{} bytes", packed.len());
    let unpacked = unpack(&packed, &base, LIMIT_BYTES).expect("it can be unpacked");
    assert_eq!(unpacked, text);
}

#[test]
fn a_text_longer_than_the_limit_is_refused() {
    let text = vec![b' '; 10_000];
    let packed = pack(&text, &[]).expect("it can be packed");
    assert!(unpack(&packed, &[], 9_999).is_err());
    assert!(unpack(&packed, &[], 10_000).is_ok());
}

#[test]
fn the_newest_earlier_text_is_kept_whatever_its_size_and_older_ones_within_a_limit() {
    let mut history = DocumentHistory::default();
    let texts: Vec<Document> = (1..=4)
        .map(|index| Document::copy_of(&vec![index; 900 * 1024]))
        .collect();
    for text in &texts {
        history.push(text.clone());
    }
    let is_kept = |text: &Document| history.find(text.digest()).is_some();
    let kept: Vec<bool> = texts.iter().map(is_kept).collect();
    assert_eq!(kept, [false, false, true, true]);
    let large = Document::copy_of(&vec![9; 3 * 1024 * 1024]);
    history.push(large.clone());
    assert!(history.find(large.digest()).is_some());
    assert!(history.find(texts[3].digest()).is_none());
}

proptest! {
    #[test]
    fn a_packed_text_is_restored_only_with_its_base(
        text in proptest::collection::vec(any::<u8>(), 0..2_000),
        base in proptest::collection::vec(any::<u8>(), 0..2_000),
        other in proptest::collection::vec(any::<u8>(), 0..2_000),
    ) {
        let packed = pack(&text, &base).expect("it can be packed");
        prop_assert_eq!(unpack(&packed, &base, LIMIT_BYTES).ok(), Some(text.clone()));
        let with_other = unpack(&packed, &other, LIMIT_BYTES);
        prop_assert!(with_other.is_err() || with_other.ok() == Some(text));
    }

    #[test]
    fn damaged_data_is_never_taken_for_another_text(
        text in proptest::collection::vec(any::<u8>(), 1..2_000),
        index in any::<prop::sample::Index>(),
        bit in 0..8,
    ) {
        let mut packed = pack(&text, &[]).expect("it can be packed");
        let index = index.index(packed.len());
        packed[index] ^= 1_u8 << bit;
        let damaged = unpack(&packed, &[], LIMIT_BYTES);
        prop_assert!(damaged.is_err() || damaged.ok() == Some(text));
    }
}
