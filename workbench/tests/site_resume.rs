//! On the platform: streams go on elsewhere, begun again by the VM or by their caller.

use googletest::prelude::*;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::events::{events, events_text, remaining_events};
use workbench::site::{
    Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, route, runner_service,
};

/// Events of a whole stream.
const EVENTS: u64 = 12;
/// The pause after each event.
const PAUSE_MS: u64 = 40;
/// Events after which a caller leaves in the middle, or a connection is reset.
const PART: u64 = 4;

/// When a caller leaves that gets nothing more: before its VM leaves the silent runner.
const LEAVE_AFTER: Duration = Duration::from_millis(900);
/// Longer than any caller waits.
const LONG: Duration = Duration::from_secs(60);

/// Two runners that hold `m0`, behind some VMs.
async fn model_site(vms: usize) -> Site {
    let mut site = Site::start(vec![("llm", vec![("m0", vec![])]); 2]).await;
    site.configure(
        json!([route("/s/", "streaming", "llm")]),
        json!([runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(vms);
    site.wait_ready().await;
    site
}

fn runs(site: &Site) -> Vec<ReceivedRequest> {
    site.servers.iter().flat_map(|it| it.runs()).collect()
}

/// The events that came whole, and their text.
fn whole_events(body: &str) -> (u64, String) {
    let end = body.rfind("\n\n").map_or(0, |at| at + 2);
    let whole = &body[..end];
    (whole.matches("\n\n").count() as u64, whole.to_owned())
}

#[googletest::test]
fn a_caller_that_goes_on_at_another_vm_gets_each_event_once() {
    block_on(async {
        let site = model_site(2).await;
        for server in &site.servers {
            server.script(|call| {
                if !call.header("last-event-id").is_empty() {
                    return remaining_events(call, EVENTS, PAUSE_MS);
                }
                let mut acts = events(call, 1, PART, 0);
                acts.push(ScriptStep::Wait(LONG));
                acts
            });
        }
        let mut first = CallerRequest::model("/s/x", "m0");
        first.disconnect_after = Some(LEAVE_AFTER);
        let begun = Caller::default().request(site.front(0), &first).await;
        expect_that!(begun.is_complete, eq(false));
        let (last, head) = whole_events(&begun.body);
        expect_that!(last, eq(PART));

        let on = CallerRequest::model("/s/x", "m0").with("Last-Event-Id", &last.to_string());
        let ended = Caller::default().request(site.front(1), &on).await;
        expect_that!(ended.is_complete, eq(true));
        expect_that!(head + &ended.body, eq(&events_text(1, EVENTS)));
        let resumed = runs(&site).into_iter();
        let resumed = resumed.filter(|run| run.header("last-event-id") == last.to_string());
        expect_that!(resumed.count(), eq(1));
    });
}

#[googletest::test]
fn a_stream_whose_connection_is_reset_goes_on_at_the_next_event() {
    block_on(async {
        let site = model_site(1).await;
        let has_broken = Rc::new(Cell::new(false));
        for server in &site.servers {
            let has_broken = has_broken.clone();
            server.script(move |call| {
                if has_broken.replace(true) {
                    return remaining_events(call, EVENTS, PAUSE_MS);
                }
                let mut acts = events(call, 1, PART, PAUSE_MS);
                acts.push(ScriptStep::Reset);
                acts
            });
        }
        let request = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(answer.is_complete, eq(true));
        expect_that!(answer.body, eq(&events_text(1, EVENTS)));
        let runs = runs(&site);
        expect_that!(runs.len(), eq(2));
        let last = runs
            .iter()
            .filter(|run| run.header("last-event-id") == PART.to_string());
        expect_that!(last.count(), eq(1));
    });
}

#[googletest::test]
fn a_stream_reset_before_its_first_event_begins_anew() {
    block_on(async {
        let site = model_site(1).await;
        let has_broken = Rc::new(Cell::new(false));
        for server in &site.servers {
            let has_broken = has_broken.clone();
            server.script(move |call| match has_broken.replace(true) {
                true => remaining_events(call, EVENTS, PAUSE_MS),
                false => vec![ScriptStep::Reset],
            });
        }
        let request = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(answer.is_complete, eq(true));
        expect_that!(answer.body, eq(&events_text(1, EVENTS)));
        let runs = runs(&site);
        expect_that!(runs.len(), eq(2));
        let named = runs
            .iter()
            .filter(|run| !run.header("last-event-id").is_empty());
        expect_that!(named.count(), eq(0));
    });
}
