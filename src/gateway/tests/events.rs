//! Events are taken only when they are whole, and within their bound.

use crate::gateway::events::{EventBuffer, MAX_EVENT_BYTES};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn events_are_whole_and_within_their_bound_however_their_bytes_are_split(
        runs in prop::collection::vec(
            (prop_oneof![Just(b'\n'), Just(b'a'), any::<u8>()], prop_oneof![
                1_usize..4,
                1_usize..3_000,
                MAX_EVENT_BYTES - 3..MAX_EVENT_BYTES + 3,
            ]),
            0..12,
        ),
        piece in 1_usize..70_000,
    ) {
        let text: Vec<u8> = runs.iter().flat_map(|(byte, count)| vec![*byte; *count]).collect();
        let mut buffer = EventBuffer::default();
        let mut taken = 0;
        let mut is_too_long = false;
        for (index, bytes) in text.chunks(piece).enumerate() {
            let held = index * piece - taken;
            prop_assert!(held <= MAX_EVENT_BYTES);
            if !buffer.push(bytes) {
                is_too_long = true;
                break;
            }
            while let Some(event) = buffer.next() {
                prop_assert_eq!(&text[taken..taken + event.bytes.len()], &event.bytes[..]);
                let end = event.bytes.windows(2).position(|end| end == b"\n\n");
                prop_assert_eq!(end, Some(event.bytes.len() - 2));
                taken += event.bytes.len();
            }
        }
        let first_end = text[taken..].windows(2).position(|end| end == b"\n\n");
        if is_too_long {
            prop_assert!(text.len() - taken > MAX_EVENT_BYTES);
            prop_assert!(first_end.is_none_or(|end| end + 2 > MAX_EVENT_BYTES));
        } else {
            prop_assert_eq!(first_end, None);
            prop_assert_eq!(buffer.is_empty(), taken == text.len());
        }
    }
}
