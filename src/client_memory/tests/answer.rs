//! Answers are taken only when they are whole, and within the bounds of memory.

use crate::client_memory::tests::{block_on, memory_for_long, reserved_bytes};
use crate::client_memory::{
    AnswerError, COVERED_BYTES, ClientAccount, MAX_ANSWER_BYTES, SHORT_BYTES, read_answer,
};
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
    account: &'a ClientAccount,
}

impl Body for Pieces<'_> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let taken = self.taken.get();
        let reserved = reserved_bytes(self.account);
        let is_unreserved = taken > COVERED_BYTES && reserved < taken;
        if taken.max(reserved) > MAX_ANSWER_BYTES || is_unreserved {
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

fn piece_lengths() -> impl Strategy<Value = Vec<usize>> {
    let length = prop_oneof![
        0_usize..2_000,
        0_usize..200_000,
        Just(SHORT_BYTES),
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
        let account = memory_for_long(MAX_ANSWER_BYTES).account();
        let (taken, is_exceeded) = (Cell::new(0), Cell::new(false));
        let body = Pieces {
            left: lengths.into(),
            is_cut,
            stated_bytes,
            taken: &taken,
            is_exceeded: &is_exceeded,
            account: &account,
        };
        let read = block_on(read_answer(body, &account));
        let is_whole = !is_cut && stated_bytes.is_none_or(|stated| stated == total as u64);
        let is_short = total <= MAX_ANSWER_BYTES;
        prop_assert!(!is_exceeded.get());
        match &read {
            Ok(bytes) => {
                prop_assert!(is_whole && is_short);
                prop_assert_eq!(bytes.len(), total);
                prop_assert!(reserved_bytes(&account) <= total);
            }
            Err(error) => prop_assert!(!(is_whole && is_short), "{}", error),
        }
        drop(read);
        prop_assert_eq!(reserved_bytes(&account), 0);
    }
}

#[test]
fn long_answers_wait_for_memory_while_short_ones_pass() {
    let account = memory_for_long(MAX_ANSWER_BYTES).account();
    let (taken, is_exceeded) = (Cell::new(0), Cell::new(false));
    let body = |length: usize| Pieces {
        left: [length].into(),
        is_cut: false,
        stated_bytes: None,
        taken: &taken,
        is_exceeded: &is_exceeded,
        account: &account,
    };
    block_on(async {
        let first = read_answer(body(SHORT_BYTES + 1), &account).await;
        let short = read_answer(body(SHORT_BYTES), &account).await;
        assert_eq!(short.map(|bytes| bytes.len()), Ok(SHORT_BYTES));
        let wait = Duration::from_millis(50);
        let second = read_answer(body(SHORT_BYTES + 1), &account);
        assert!(compio::time::timeout(wait, second).await.is_err());
        drop(first);
        let second = read_answer(body(SHORT_BYTES + 1), &account).await;
        assert_eq!(second.map(|bytes| bytes.len()), Ok(SHORT_BYTES + 1));
        let long = read_answer(body(MAX_ANSWER_BYTES + 1), &account).await;
        assert_eq!(long, Err(AnswerError::TooLong));
        assert_eq!(reserved_bytes(&account), 0);
    });
}
