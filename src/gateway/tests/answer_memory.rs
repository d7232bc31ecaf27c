//! Answers and events are taken only when they are whole, and within the bounds of memory.

use crate::gateway::answer_memory::{
    AnswerError, AnswerMemory, MAX_ANSWER_BYTES, UNRESERVED_BYTES, read_answer,
};
use crate::gateway::events::{EventBuffer, MAX_EVENT_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use proptest::prelude::*;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// A body that arrives in pieces and may break off after them.
struct Pieces<'a> {
    left: VecDeque<usize>,
    is_cut: bool,
    stated_bytes: Option<u64>,
    /// The bytes taken so far.
    taken: &'a Cell<usize>,
    /// Whether bytes beyond the bounds were ever asked for.
    is_exceeded: &'a Cell<bool>,
    memory: &'a AnswerMemory,
}

impl Body for Pieces<'_> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let taken = self.taken.get();
        let held = taken.max(self.memory.reserved_bytes());
        let is_unreserved = taken > UNRESERVED_BYTES && self.memory.reserved_bytes() == 0;
        if held > MAX_ANSWER_BYTES || is_unreserved {
            self.is_exceeded.set(true);
        }
        let Some(length) = self.left.pop_front() else {
            let cut = io::Error::from(io::ErrorKind::ConnectionReset);
            let is_cut = std::mem::take(&mut self.is_cut);
            return Poll::Ready(is_cut.then_some(Err(cut)));
        };
        self.taken.set(taken + length);
        Poll::Ready(Some(Ok(Frame::data(vec![b'a'; length].into()))))
    }

    fn size_hint(&self) -> SizeHint {
        self.stated_bytes
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn block_on<T>(task: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(task)
}

fn piece_lengths() -> impl Strategy<Value = Vec<usize>> {
    let length = prop_oneof![
        0_usize..2_000,
        0_usize..200_000,
        Just(UNRESERVED_BYTES),
        1_usize << 20..6 << 20,
    ];
    prop::collection::vec(length, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn an_answer_is_read_only_if_it_is_whole_and_within_its_bound(
        lengths in piece_lengths(),
        is_cut: bool,
        stated in prop_oneof![Just(None), Just(Some(0_i64)), (-3_i64..3).prop_map(Some)],
    ) {
        let total: usize = lengths.iter().sum();
        let stated_bytes = stated.map(|beyond| total.saturating_add_signed(beyond as isize) as u64);
        let memory = AnswerMemory::new(MAX_ANSWER_BYTES);
        let (taken, is_exceeded) = (Cell::new(0), Cell::new(false));
        let body = Pieces {
            left: lengths.into(),
            is_cut,
            stated_bytes,
            taken: &taken,
            is_exceeded: &is_exceeded,
            memory: &memory,
        };
        let read = block_on(read_answer(body, &memory));
        let is_whole = !is_cut && stated_bytes.is_none_or(|stated| stated == total as u64);
        let is_short = total <= MAX_ANSWER_BYTES;
        prop_assert!(!is_exceeded.get());
        match &read {
            Ok(bytes) => {
                prop_assert!(is_whole && is_short);
                prop_assert_eq!(bytes.len(), total);
                prop_assert!(memory.reserved_bytes() <= total);
            }
            Err(error) => prop_assert!(!(is_whole && is_short), "{}", error),
        }
        drop(read);
        prop_assert_eq!(memory.reserved_bytes(), 0);
    }

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

#[test]
fn long_answers_wait_for_memory_while_short_ones_pass() {
    let memory = AnswerMemory::new(MAX_ANSWER_BYTES);
    let (taken, is_exceeded) = (Cell::new(0), Cell::new(false));
    let body = |length: usize| Pieces {
        left: [length].into(),
        is_cut: false,
        stated_bytes: None,
        taken: &taken,
        is_exceeded: &is_exceeded,
        memory: &memory,
    };
    block_on(async {
        let first = read_answer(body(UNRESERVED_BYTES + 1), &memory).await;
        let short = read_answer(body(UNRESERVED_BYTES), &memory).await;
        assert_eq!(short.map(|bytes| bytes.len()), Ok(UNRESERVED_BYTES));
        let wait = Duration::from_millis(50);
        let second = read_answer(body(UNRESERVED_BYTES + 1), &memory);
        assert!(compio::time::timeout(wait, second).await.is_err());
        drop(first);
        let second = read_answer(body(UNRESERVED_BYTES + 1), &memory).await;
        assert_eq!(second.map(|bytes| bytes.len()), Ok(UNRESERVED_BYTES + 1));
        let long = read_answer(body(MAX_ANSWER_BYTES + 1), &memory).await;
        assert_eq!(long, Err(AnswerError::TooLong));
        assert_eq!(memory.reserved_bytes(), 0);
    });
}
