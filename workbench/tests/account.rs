//! The account of where requests went, from log lines.

use googletest::prelude::*;
use workbench::account::{Account, Limits};

const LIMITS: Limits = Limits {
    first_ms: 250,
    pause_ms: 150,
    span_s: 2,
};

const LOG: &str = r#"
{"timestamp":"2026-01-01T00:59:59.9Z","message":"started","vm":"vm-1"}
 1.5 vm-1 {"timestamp":"2026-01-01T01:00:00.1Z","message":"routed","model":"m0","candidates":3,"load":0.5,"prompts_wait_ms":20}
 1.6 vm-2 {"timestamp":"2026-01-01T01:00:01.2Z","message":"routed","model":"m0","candidates":1,"load":0.7,"prompts_wait_ms":40}
{"timestamp":"2026-01-01T01:00:01.3Z","message":"request refused","model":"m0","failure":"Full"}
{"timestamp":"2026-01-01T01:00:01.4Z","message":"stream complete","first_ms":251,"longest_pause_ms":150}
{"timestamp":"2026-01-01T01:00:02.0Z","message":"stream complete","first_ms":250,"longest_pause_ms":151}
{"timestamp":"2026-01-01T01:00:02.1Z","message":"stream broken off"}
{"timestamp":"2026-01-01T01:00:02.2Z","message":"stream comp
no log line
"#;

#[googletest::test]
fn spans_count_what_became_of_requests() {
    let mut account = Account::new(LIMITS);
    account.read(LOG);
    let table = account.table();
    let rows: Vec<Vec<&str>> = table
        .lines()
        .skip(1)
        .map(|row| row.split_whitespace().collect())
        .collect();
    expect_that!(rows.len(), eq(3));
    expect_that!(
        rows[1].join(" "),
        eq("2 1 1 0 0 Full 1; m0 2+1 2.0 0.60 30")
    );
    expect_that!(rows[2].join(" "), eq("4 1 0 1 1 ;"));
}

#[googletest::test]
fn no_lines_make_an_empty_table() {
    let mut account = Account::new(LIMITS);
    account.read("");
    expect_that!(account.table().lines().count(), eq(1));
}
