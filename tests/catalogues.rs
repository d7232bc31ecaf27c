//! The tables of errors and events are whole, and the documents show the same.

use googletest::prelude::*;
use rattanjunction::{ERROR_RESPONSES, EVENTS, Event, Kind};
use std::collections::HashSet;

/// Every kind; a new one fails to compile in `row_of` until it is added here.
const KINDS: [Kind; 19] = [
    Kind::BodyTimeout,
    Kind::Conflict,
    Kind::Deadline,
    Kind::Interrupted,
    Kind::InvalidInventory,
    Kind::KeyExpired,
    Kind::KeyReused,
    Kind::KeyRequired,
    Kind::Leaving,
    Kind::LogUnavailable,
    Kind::Malformed,
    Kind::NotFound,
    Kind::OutcomeUnknown,
    Kind::Overloaded,
    Kind::Poison,
    Kind::TooLarge,
    Kind::Unavailable,
    Kind::UnknownCaller,
    Kind::UnknownModel,
];

#[googletest::test]
fn every_kind_has_one_row() {
    for kind in KINDS {
        let rows = ERROR_RESPONSES
            .iter()
            .filter(|answer| answer.kind == kind)
            .count();
        expect_that!(rows, eq(1), "{kind:?}");
    }
    expect_that!(ERROR_RESPONSES.len(), eq(KINDS.len()));
}

#[googletest::test]
fn a_refusal_that_may_be_sent_again_says_when() {
    for answer in ERROR_RESPONSES
        .iter()
        .filter(|answer| [429, 503].contains(&answer.status))
    {
        expect_that!(answer.retry_after_s, some(anything()), "{:?}", answer.kind);
    }
}

#[googletest::test]
fn errors_page_shows_the_table() {
    let page = std::fs::read_to_string("docs/ERRORS.md").expect("the page exists");
    for answer in ERROR_RESPONSES {
        let retry = answer
            .retry_after_s
            .map_or("-".to_owned(), |seconds| seconds.to_string());
        let row = format!(
            "| `{}` | {} | {} | {retry} |",
            answer.code,
            answer.status,
            answer.ran.as_str()
        );
        expect_that!(page, contains_substring(row));
    }
}

#[googletest::test]
fn events_have_distinct_numbers_and_the_page_shows_them() {
    let page = std::fs::read_to_string("docs/EVENTS.md").expect("the page exists");
    let mut numbers = HashSet::new();
    for row in EVENTS {
        expect_true!(numbers.insert(row.number));
        let line = format!(
            "| E{} | `{}` | {} | {} |",
            row.number,
            row.name,
            row.level.as_str().to_lowercase(),
            row.text
        );
        expect_that!(page, contains_substring(line));
    }
    expect_that!(Event::Routed.row().name, eq("routed"));
}
