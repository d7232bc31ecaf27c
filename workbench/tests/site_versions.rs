//! On the platform: streams of servers whose software is in two versions, which do not fit together.

use futures_util::future::{join, join_all};
use googletest::prelude::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::proxy::Proxy;
use workbench::site::events::remaining_events_of;
use workbench::site::{
    Answer, Caller, CallerRequest, ScriptStep, ServerStandIn, Site, route, runner_service,
};

/// Events of a whole stream.
const EVENTS: u64 = 12;
/// The pause after each event.
const PAUSE_MS: u64 = 20;
/// Events after which a stream breaks in the middle.
const PART: u64 = 4;
/// Steps of the script of a stream until then: the head, and each event with its pause.
const PART_STEPS: usize = 1 + 2 * PART as usize;
/// Streams whose first events arrive a millisecond after each other, and when the first one does.
const STAGGERED: u64 = 40;
const FIRST_EVENT_MS: u64 = 400;
/// Streams of one test.
const STREAMS: usize = 24;
/// When a caller leaves that gets nothing more.
const LEAVE_AFTER: Duration = Duration::from_millis(700);
/// Longer than any caller waits.
const LONG: Duration = Duration::from_secs(60);
/// How long after the start of a VM its streams may have begun before it.
const STREAM_LIFETIME: Duration = Duration::from_secs(31);
/// Time in which VMs hear of a change of the directory.
const SETTLE: Duration = Duration::from_millis(2_500);
/// Time within which a stream that cannot go on has to be refused.
const REFUSAL_LIMIT: Duration = Duration::from_millis(600);

/// A stream of which a caller has received the beginning.
struct BegunStream {
    id: String,
    version: String,
}

/// What a caller has received of a stream: the data of its events.
fn data(answer: &Answer) -> Vec<String> {
    let lines = answer.body.lines();
    let data = lines.filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

/// Two runners of each version, which hold the same model.
async fn start(vms: usize) -> Site {
    let mut site = start_servers(&["v1", "v1", "v2", "v2"]).await;
    site.start_vms(vms);
    site.wait_ready().await;
    site
}

async fn start_servers(versions: &[&str]) -> Site {
    let mut site = Site::start(Vec::new()).await;
    for version in versions {
        add_server(&mut site, version).await;
    }
    site.configure(
        json!([route("/s/", "streaming", "llm")]),
        json!([runner_service("llm", &[("m0", 0)])]),
    );
    site
}

/// Adds a runner whose streams stop in the middle unless they were taken up there.
async fn add_server(site: &mut Site, version: &str) -> Rc<ServerStandIn> {
    let holds = vec![("m0", vec![])];
    let server = site.add_server_of_version("llm", holds, version).await;
    let version = version.to_owned();
    server.script(move |call| {
        let mut steps = remaining_events_of(call, &version, EVENTS, PAUSE_MS);
        if call.header("last-event-id").is_empty() {
            steps.truncate(PART_STEPS);
            steps.push(ScriptStep::Wait(LONG));
        }
        steps
    });
    server
}

/// Begins streams at a VM; their callers leave after the first events.
async fn begin(site: &Site, vm: usize) -> Vec<BegunStream> {
    let begun = (0..STREAMS).map(|_| async {
        let mut request = CallerRequest::model("/s/x", "m0");
        request.disconnect_after = Some(LEAVE_AFTER);
        let answer = Caller::default().request(site.front(vm), &request).await;
        let data = data(&answer);
        assert_eq!(data.len(), PART as usize, "{answer:?}");
        BegunStream {
            id: request.id,
            version: data[0].clone(),
        }
    });
    join_all(begun).await
}

/// Goes on with streams at a VM.
async fn take_up(site: &Site, vm: usize, begun: &[BegunStream]) -> Vec<Answer> {
    take_up_after(site, vm, begun, PART).await
}

/// Goes on behind an event with streams at a VM.
async fn take_up_after(site: &Site, vm: usize, begun: &[BegunStream], last: u64) -> Vec<Answer> {
    let answers = begun.iter().map(|stream| async move {
        let request = CallerRequest::model("/s/x", "m0")
            .with("Resumes", &stream.id)
            .with("Last-Event-Id", &last.to_string());
        Caller::default().request(site.front(vm), &request).await
    });
    join_all(answers).await
}

/// Checks that no stream got an event of another version than the one that began it; returns how many
/// went on to their end.
fn complete_streams(begun: &[BegunStream], answers: &[Answer]) -> usize {
    let mut complete = 0;
    for (stream, answer) in begun.iter().zip(answers) {
        let others = data(answer).into_iter().filter(|it| *it != stream.version);
        expect_that!(others.collect::<BTreeSet<String>>(), is_empty());
        complete += usize::from(answer.status == Some(200) && answer.is_complete);
    }
    complete
}

fn versions(begun: &[BegunStream]) -> BTreeSet<&str> {
    begun.iter().map(|it| it.version.as_str()).collect()
}

#[googletest::test]
fn a_broken_stream_goes_on_at_the_software_version_that_began_it() {
    block_on(async {
        let site = start(1).await;
        for server in &site.servers {
            let version = server.software();
            server.script(move |call| {
                let mut steps = remaining_events_of(call, &version, EVENTS, PAUSE_MS);
                if call.header("last-event-id").is_empty() {
                    steps.truncate(PART_STEPS);
                    steps.push(ScriptStep::Reset);
                }
                steps
            });
        }
        let request = CallerRequest::model("/s/x", "m0");
        let answers = (0..STREAMS).map(|_| async {
            let request = CallerRequest {
                id: CallerRequest::get("/").id,
                ..request.clone()
            };
            Caller::default().request(site.front(0), &request).await
        });
        let mut begun_at = BTreeSet::new();
        for answer in join_all(answers).await {
            let data: BTreeSet<String> = data(&answer).into_iter().collect();
            expect_that!(answer.is_complete, eq(true));
            expect_that!(data.len(), eq(1), "{data:?}");
            begun_at.extend(data);
        }
        expect_that!(begun_at.len(), eq(2));
    });
}

#[googletest::test]
fn a_stream_taken_up_at_another_vm_goes_on_at_the_version_that_began_it() {
    block_on(async {
        let site = start(3).await;
        let begun = begin(&site, 0).await;
        expect_that!(versions(&begun).len(), eq(2));
        let answers = take_up(&site, 1, &begun).await;
        expect_that!(complete_streams(&begun, &answers), eq(STREAMS));
    });
}

#[googletest::test]
fn a_stream_taken_up_at_a_vm_that_started_since_goes_on_at_the_version_that_began_it() {
    block_on(async {
        let mut site = start(3).await;
        site.vms[1].kill();
        let begun = begin(&site, 0).await;
        site.restart_vm(1);
        site.wait("the VM is ready", async || site.is_ready(1).await)
            .await;
        let answers = take_up(&site, 1, &begun).await;
        expect_that!(complete_streams(&begun, &answers), eq(STREAMS));
    });
}

#[googletest::test]
fn a_stream_whose_vm_was_killed_goes_on_at_the_version_that_began_it() {
    block_on(async {
        let mut site = start(3).await;
        let begun = begin(&site, 0).await;
        site.vms[0].kill();
        let answers = take_up(&site, 2, &begun).await;
        expect_that!(complete_streams(&begun, &answers), eq(STREAMS));
    });
}

#[googletest::test]
fn a_stream_taken_up_at_a_vm_that_reaches_no_server_goes_on_at_the_version_that_began_it() {
    block_on(async {
        let mut site = start_servers(&["v1", "v1", "v2", "v2"]).await;
        site.vms_with_paths.insert(2);
        let mut paths = Vec::new();
        for (index, server) in site.servers.iter().enumerate() {
            paths.push(Proxy::start(site.path_address(index), server.address()).await);
        }
        site.start_vms(3);
        site.wait_ready().await;
        for path in &paths {
            path.close();
            path.cut();
        }
        // The VM notices the cut by requests that fail.
        site.wait("the VM is cut off", async || {
            begin_one(&site, 2).await;
            site.metric(2, "is_cut_off").await == Some(1.0)
        })
        .await;
        let begun = begin(&site, 0).await;
        let answers = take_up(&site, 2, &begun).await;
        expect_that!(complete_streams(&begun, &answers), eq(STREAMS));
    });
}

/// Kills all VMs at once and starts them again.
async fn restart_all_vms(site: &mut Site) {
    for vm in &mut site.vms {
        vm.kill();
    }
    for vm in 0..site.vms.len() {
        site.restart_vm(vm);
    }
    site.wait_ready().await;
}

/// Checks that streams taken up at a VM are refused at once as not run.
async fn expect_refused(site: &Site, vm: usize, begun: &[BegunStream]) {
    for answer in take_up(site, vm, begun).await {
        expect_that!(answer.promises_not_run(), eq(true), "{answer:?}");
        expect_that!(answer.duration, lt(REFUSAL_LIMIT));
    }
}

async fn begin_one(site: &Site, vm: usize) {
    let mut request = CallerRequest::model("/s/x", "m0");
    request.disconnect_after = Some(LEAVE_AFTER);
    Caller::default().request(site.front(vm), &request).await;
}

#[googletest::test]
fn a_stream_that_no_vm_knows_any_more_goes_on_at_no_version() {
    block_on(async {
        let mut site = start(3).await;
        let begun = begin(&site, 0).await;
        restart_all_vms(&mut site).await;
        expect_refused(&site, 1, &begun).await;
    });
}

#[googletest::test]
fn a_stream_whose_version_left_before_all_vms_restarted_goes_on_at_no_other() {
    for vms in [1, 3] {
        block_on(async {
            let mut site = start_servers(&["v1", "v1"]).await;
            site.start_vms(vms);
            site.wait_ready().await;
            let begun = begin(&site, 0).await;
            for _ in 0..2 {
                add_server(&mut site, "v2").await;
            }
            for server in &site.servers[..2] {
                site.remove(server);
                server.die();
            }
            restart_all_vms(&mut site).await;
            compio::time::sleep(SETTLE).await;
            for vm in 0..vms {
                expect_refused(&site, vm, &begun).await;
            }
        });
    }
}

#[googletest::test]
fn a_stream_goes_on_at_no_version_that_vms_have_listed_only_since_they_all_restarted() {
    block_on(async {
        let mut site = start_servers(&["v1", "v1"]).await;
        site.start_vms(3);
        site.wait_ready().await;
        let begun = begin(&site, 0).await;
        for vm in &mut site.vms {
            vm.kill();
        }
        for server in &site.servers {
            site.remove(server);
            server.die();
        }
        // The first VM starts while only the second version is listed, the others with the third.
        let second = add_server(&mut site, "v2").await;
        site.restart_vm(0);
        site.wait("the VM is ready", async || site.is_ready(0).await)
            .await;
        site.remove(&second);
        second.die();
        add_server(&mut site, "v3").await;
        for vm in 1..3 {
            site.restart_vm(vm);
        }
        site.wait_ready().await;
        for vm in 0..3 {
            expect_refused(&site, vm, &begun).await;
        }
    });
}

#[googletest::test]
fn a_stream_whose_version_has_left_is_refused_at_once() {
    block_on(async {
        let site = start(2).await;
        let mut begun = begin(&site, 0).await;
        begun.retain(|stream| stream.version == "v1");
        for server in &site.servers[..2] {
            site.remove(server);
            server.die();
        }
        compio::time::sleep(SETTLE).await;
        let answers = take_up(&site, 1, &begun).await;
        for answer in &answers {
            expect_that!(answer.promises_not_run(), eq(true), "{answer:?}");
            expect_that!(answer.duration, lt(REFUSAL_LIMIT));
        }
    });
}

#[googletest::test]
fn a_stream_of_before_a_second_version_came_goes_on_at_the_first() {
    block_on(async {
        let mut site = start_servers(&["v1", "v1"]).await;
        site.start_vms(3);
        site.wait_ready().await;
        let begun = begin(&site, 0).await;
        add_server(&mut site, "v2").await;
        add_server(&mut site, "v2").await;
        site.vms[0].kill();
        compio::time::sleep(SETTLE).await;
        let answers = take_up(&site, 1, &begun).await;
        expect_that!(complete_streams(&begun, &answers), eq(STREAMS));
    });
}

/// Begins streams at a VM whose first events arrive one after the other, and kills it in between.
async fn begin_until_killed(site: &mut Site, vm: usize) -> Vec<BegunStream> {
    for server in &site.servers {
        let version = server.software();
        server.script(move |call| {
            let mut steps = remaining_events_of(call, &version, EVENTS, PAUSE_MS);
            if call.header("last-event-id").is_empty() {
                let index = call.path.rsplit('/').next();
                let index: u64 = index.and_then(|it| it.parse().ok()).expect("an index");
                let first_event = Duration::from_millis(FIRST_EVENT_MS + index);
                // The head and the first event.
                steps.truncate(2);
                steps.insert(1, ScriptStep::Wait(first_event));
                steps.push(ScriptStep::Wait(LONG));
            }
            steps
        });
    }
    let front = site.front(vm);
    let begun = (0..STAGGERED).map(|index| async move {
        let mut request = CallerRequest::model(&format!("/s/{index}"), "m0");
        request.disconnect_after = Some(LEAVE_AFTER);
        let answer = Caller::default().request(front, &request).await;
        let version = data(&answer).into_iter().next()?;
        Some(BegunStream {
            id: request.id,
            version,
        })
    });
    let process = &mut site.vms[vm];
    let kill = async {
        compio::time::sleep(Duration::from_millis(FIRST_EVENT_MS + STAGGERED / 2)).await;
        process.kill();
    };
    let (begun, ()) = join(join_all(begun), kill).await;
    begun.into_iter().flatten().collect()
}

#[googletest::test]
fn a_stream_that_began_just_before_its_vm_was_killed_goes_on_at_no_other_version() {
    block_on(async {
        let mut site = start_servers(&["v1", "v1"]).await;
        site.start_vms(5);
        site.wait_ready().await;
        compio::time::sleep(STREAM_LIFETIME).await;
        for _ in 0..2 {
            add_server(&mut site, "v2").await;
        }
        compio::time::sleep(SETTLE).await;
        for _ in 0..12 {
            let begun = begin_until_killed(&mut site, 0).await;
            let answers = take_up_after(&site, 1, &begun, 1).await;
            complete_streams(&begun, &answers);
            site.restart_vm(0);
            site.wait_ready().await;
        }
    });
}

#[googletest::test]
fn a_stream_is_taken_up_after_all_vms_were_restarted_in_series_beside_one_version() {
    block_on(async {
        let mut site = start_servers(&["v1", "v1"]).await;
        site.start_vms(3);
        site.wait_ready().await;
        compio::time::sleep(STREAM_LIFETIME).await;
        for vm in [1, 2] {
            site.vms[vm].kill();
            site.restart_vm(vm);
            site.wait_ready().await;
            compio::time::sleep(SETTLE).await;
        }
        let begun = begin(&site, 0).await;
        site.vms[0].kill();
        site.restart_vm(0);
        site.wait_ready().await;
        let answers = take_up(&site, 1, &begun).await;
        expect_that!(complete_streams(&begun, &answers), eq(STREAMS));
    });
}

#[googletest::test]
fn a_stream_whose_keepers_are_gone_goes_on_at_no_other_version() {
    const VMS: usize = 14;
    const KILLED: usize = 9;
    block_on(async {
        let mut site = start_servers(&["v1", "v1"]).await;
        site.start_vms(VMS);
        site.wait_ready().await;
        compio::time::sleep(STREAM_LIFETIME).await;
        for _ in 0..2 {
            add_server(&mut site, "v2").await;
        }
        compio::time::sleep(SETTLE).await;
        let mut begun = Vec::new();
        for _ in 0..3 {
            begun.extend(begin(&site, 0).await);
        }
        for vm in 0..KILLED {
            site.vms[vm].kill();
        }
        // Longer than VMs that are not heard count as there.
        compio::time::sleep(SETTLE * 2).await;
        let answers = take_up(&site, KILLED, &begun).await;
        complete_streams(&begun, &answers);
    });
}
