//! Request bodies are held within one bound for all of them, and those without room are refused.

use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::failure::Failure;
use crate::gateway::forwarding::{DeclineReason, is_declined};
use crate::gateway::request_memory::{BodyError, UNRESERVED_BYTES, body_budget, read_request_body};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use proptest::prelude::*;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

const LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// A body that arrives in pieces and may break off after them.
struct Pieces<'a> {
    left: VecDeque<usize>,
    is_cut: bool,
    stated_bytes: Option<u64>,
    budget: &'a ByteBudget,
    /// The bytes taken so far.
    taken: usize,
    /// Whether more than [`UNRESERVED_BYTES`] were taken that are not reserved.
    is_exceeded: &'a Cell<bool>,
    /// Whether a piece was ever asked for.
    is_polled: &'a Cell<bool>,
}

impl Body for Pieces<'_> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.is_polled.set(true);
        if self.taken > UNRESERVED_BYTES.max(self.budget.reserved_bytes()) {
            self.is_exceeded.set(true);
        }
        let Some(length) = self.left.pop_front() else {
            let cut = io::Error::from(io::ErrorKind::ConnectionReset);
            let is_cut = std::mem::take(&mut self.is_cut);
            return Poll::Ready(is_cut.then_some(Err(cut)));
        };
        self.taken += length;
        Poll::Ready(Some(Ok(Frame::data(vec![b'a'; length].into()))))
    }

    fn size_hint(&self) -> SizeHint {
        self.stated_bytes
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Reads bodies of one budget and records what they asked for.
struct Reader {
    budget: ByteBudget,
    is_exceeded: Cell<bool>,
    is_polled: Cell<bool>,
}

impl Reader {
    fn new(max_bytes: usize) -> Self {
        Self {
            budget: ByteBudget::new(max_bytes),
            is_exceeded: Cell::default(),
            is_polled: Cell::default(),
        }
    }

    fn read(&self, lengths: &[usize], is_stated: bool, is_cut: bool) -> Result<Bytes, BodyError> {
        self.is_polled.set(false);
        let total: usize = lengths.iter().sum();
        let body = Pieces {
            left: lengths.iter().copied().collect(),
            is_cut,
            stated_bytes: is_stated.then_some(total as u64),
            budget: &self.budget,
            taken: 0,
            is_exceeded: &self.is_exceeded,
            is_polled: &self.is_polled,
        };
        let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
        runtime.block_on(read_request_body(body, LIMIT_BYTES, &self.budget))
    }
}

fn piece_lengths() -> impl Strategy<Value = Vec<usize>> {
    let length = prop_oneof![
        0_usize..2_000,
        0_usize..200_000,
        Just(UNRESERVED_BYTES),
        1_usize << 19..2 << 20,
    ];
    prop::collection::vec(length, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn bodies_are_held_within_their_budget_and_give_it_back(
        bodies in prop::collection::vec((piece_lengths(), any::<bool>(), any::<bool>()), 1..6),
        max_bytes in prop_oneof![Just(0), 0_usize..LIMIT_BYTES, LIMIT_BYTES..4 * LIMIT_BYTES],
    ) {
        let reader = Reader::new(max_bytes);
        let mut held = Vec::new();
        for (lengths, is_stated, is_cut) in bodies {
            let before = reader.budget.reserved_bytes();
            let total: usize = lengths.iter().sum();
            let longest = LIMIT_BYTES.min(max_bytes.max(UNRESERVED_BYTES));
            match reader.read(&lengths, is_stated, is_cut) {
                Ok(body) => {
                    prop_assert!(!is_cut && total <= longest);
                    prop_assert_eq!(body.len(), total);
                    held.push(body);
                }
                Err(error) => {
                    match error {
                        BodyError::Broken => prop_assert!(is_cut),
                        BodyError::TooLong => prop_assert!(total > longest),
                        BodyError::NoRoom => {
                            prop_assert!(total > UNRESERVED_BYTES);
                            prop_assert!(before + 2 * total > max_bytes);
                        }
                    }
                    prop_assert_eq!(reader.budget.reserved_bytes(), before);
                    if is_stated && error != BodyError::Broken {
                        prop_assert!(!reader.is_polled.get(), "nothing of it is read");
                    }
                }
            }
            prop_assert!(reader.budget.reserved_bytes() <= max_bytes);
            let long = held.iter().map(Bytes::len).filter(|length| *length > UNRESERVED_BYTES);
            prop_assert!(long.sum::<usize>() <= reader.budget.reserved_bytes());
        }
        prop_assert!(!reader.is_exceeded.get());
        drop(held);
        prop_assert_eq!(reader.budget.reserved_bytes(), 0);
    }
}

#[test]
fn short_bodies_are_read_while_long_ones_take_all_room() {
    let reader = Reader::new(LIMIT_BYTES);
    let long = reader.read(&[LIMIT_BYTES], true, false);
    assert_eq!(long.as_ref().map(Bytes::len), Ok(LIMIT_BYTES));
    for is_stated in [true, false] {
        let short = reader.read(&[UNRESERVED_BYTES], is_stated, false);
        assert_eq!(short.map(|body| body.len()), Ok(UNRESERVED_BYTES));
        let second = reader.read(&[UNRESERVED_BYTES + 1], is_stated, false);
        assert_eq!(second, Err(BodyError::NoRoom));
    }
    drop(long);
    let second = reader.read(&[LIMIT_BYTES], true, false);
    assert_eq!(second.map(|body| body.len()), Ok(LIMIT_BYTES));
}

#[test]
fn a_body_keeps_its_room_until_its_last_copy_is_sent() {
    let reader = Reader::new(LIMIT_BYTES);
    let body = reader.read(&[1_000_000], true, false).expect("room");
    let sent = body.clone();
    drop(body);
    assert_eq!(reader.budget.reserved_bytes(), 1_000_000);
    drop(sent);
    assert_eq!(reader.budget.reserved_bytes(), 0);
}

#[test]
fn a_body_longer_than_all_room_is_too_long_rather_than_refused_for_now() {
    let reader = Reader::new(1_000_000);
    for is_stated in [true, false] {
        let long = reader.read(&[500_000, 500_001], is_stated, false);
        assert_eq!(long, Err(BodyError::TooLong));
    }
    assert_eq!(
        reader.read(&[LIMIT_BYTES + 1], true, false),
        Err(BodyError::TooLong)
    );
}

#[test]
fn a_vm_of_the_least_usual_memory_holds_many_bodies_of_the_usual_limit() {
    let budget = body_budget(160_000_000);
    assert!(budget.max_bytes() >= 15 * LIMIT_BYTES);
    assert!(budget.max_bytes() < 80_000_000);
}

#[test]
fn a_request_without_room_is_refused_as_not_run_unless_a_server_may_have_run_it() {
    let time_left = Duration::from_secs(12);
    let refusal = Failure::NoBodyRoom.after_runs(0).refusal(time_left);
    assert_eq!(refusal.status, 503);
    let retry_after = refusal.retry_after.expect("the caller may come again");
    assert!(retry_after <= Duration::from_secs(1));
    assert_eq!(Failure::NoBodyRoom.after_runs(1), Failure::Unknown);
    let (declined, _) = DeclineReason::NoBodyRoom.response().into_parts();
    assert!(is_declined(&declined));
}
