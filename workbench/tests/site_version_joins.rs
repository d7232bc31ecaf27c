//! On the platform: a VM that is out of step while servers of a new software version join.

use futures_util::future::join_all;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::events::remaining_events_of;
use workbench::site::{
    Answer, Caller, CallerRequest, Node, ScriptStep, Site, VmNetwork, route, runner_service,
};

/// Events of a whole stream, and those after which it breaks.
const EVENTS: u64 = 12;
const PART: u64 = 4;
/// The pause after each event.
const PAUSE_MS: u64 = 10;
/// Steps of the script of a stream until it breaks: the head, and each event with its pause.
const PART_STEPS: usize = 1 + 2 * PART as usize;
/// Streams that begin at a time.
const STREAMS: usize = 24;
/// How long after their start VMs know that there was one version for as long as streams last.
const STREAM_LIFETIME: Duration = Duration::from_secs(32);
/// Time in which VMs hear of a change of the directory.
const SETTLE: Duration = Duration::from_millis(2_500);
/// When a caller leaves that gets nothing more.
const LEAVE_AFTER: Duration = Duration::from_millis(600);
/// How long a VM is out of step.
const SPANS: [Duration; 3] = [
    Duration::from_millis(900),
    Duration::from_millis(2_200),
    Duration::from_millis(4_500),
];

/// How a VM is out of step.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// It is stopped.
    Stopped,
    /// Nothing passes from or to the other VMs and the store.
    CutOff,
    /// Nothing passes to it from the other VMs and the store.
    Deaf,
    /// Nothing passes from it to the other VMs and the store.
    Mute,
}

impl Trouble {
    fn begin(self, site: &Site, network: &VmNetwork, vm: usize) {
        let others = (0..site.vms.len()).filter(|other| *other != vm);
        let others: Vec<Node> = others.map(Node::Vm).chain([Node::Store]).collect();
        match self {
            Self::Stopped => site.vms[vm].signal(Signal::SIGSTOP),
            Self::CutOff => network.cut_off(vm, &others, true, true),
            Self::Deaf => network.cut_off(vm, &others, true, false),
            Self::Mute => network.cut_off(vm, &others, false, true),
        }
    }

    fn end(self, site: &Site, network: &VmNetwork, vm: usize) {
        match self {
            Self::Stopped => site.vms[vm].signal(Signal::SIGCONT),
            Self::CutOff | Self::Deaf | Self::Mute => network.heal(),
        }
    }
}

/// A stream of which a caller has received the beginning.
struct BegunStream {
    id: String,
    version: String,
}

fn data(answer: &Answer) -> Vec<String> {
    let lines = answer.body.lines();
    let data = lines.filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

async fn add_server(site: &mut Site, version: &str) {
    let holds = vec![("m0", vec![])];
    let server = site.add_server_of_version("llm", holds, version).await;
    let version = version.to_owned();
    server.script(move |call| {
        let mut steps = remaining_events_of(call, &version, EVENTS, PAUSE_MS);
        if call.header("last-event-id").is_empty() {
            // No server goes on with it within this answer.
            steps.truncate(PART_STEPS);
            steps.push(ScriptStep::Wait(Duration::from_secs(60)));
        }
        steps
    });
}

/// VMs that have known one version for as long as streams last.
async fn start(vms: usize) -> (Site, Rc<VmNetwork>) {
    let mut site = Site::start(Vec::new()).await;
    site.zones = 2;
    for _ in 0..2 {
        add_server(&mut site, "v1").await;
    }
    site.configure(
        json!([route("/s/", "streaming", "llm")]),
        json!([runner_service("llm", &[("m0", 0)])]),
    );
    let network = site.start_vms_in_network(vms).await;
    site.wait_ready().await;
    compio::time::sleep(STREAM_LIFETIME).await;
    (site, network)
}

/// Begins streams at a VM; their callers leave after the first events.
async fn begin(site: &Site, vm: usize) -> Vec<BegunStream> {
    let begun = (0..STREAMS).map(|_| async {
        let mut request = CallerRequest::model("/s/x", "m0");
        request.disconnect_after = Some(LEAVE_AFTER);
        let answer = Caller::default().request(site.front(vm), &request).await;
        let data = data(&answer);
        let version = data.first()?.clone();
        (data.len() == PART as usize).then_some(BegunStream {
            id: request.id,
            version,
        })
    });
    join_all(begun).await.into_iter().flatten().collect()
}

/// Goes on with streams at a VM; checks that none gets an event of another version than the one that
/// began it, and returns how many went on to their end.
async fn take_up(site: &Site, vm: usize, begun: &[BegunStream], when: &str) -> usize {
    let complete = begun.iter().map(|stream| async move {
        let mut request = CallerRequest::model("/s/x", "m0")
            .with("Resumes", &stream.id)
            .with("Last-Event-Id", &PART.to_string());
        request.disconnect_after = Some(Duration::from_secs(8));
        let answer = Caller::default().request(site.front(vm), &request).await;
        let is_joined = data(&answer).iter().any(|it| *it != stream.version);
        let is_complete = answer.status == Some(200) && answer.is_complete;
        (is_joined, is_complete)
    });
    let outcomes = join_all(complete).await;
    let joined = outcomes.iter().filter(|(is_joined, _)| *is_joined).count();
    expect_that!(joined, eq(0), "{when}, of {}", begun.len());
    let complete = outcomes.iter().filter(|(_, is_complete)| *is_complete);
    complete.count()
}

/// Plays one trouble of the last VM, with servers of a second version that join during it.
async fn play_release(vms: usize, trouble: Trouble, span: Duration) {
    let when = |what: &str| format!("{trouble:?} for {span:?}, {vms} VMs, {what}");
    let (mut site, network) = start(vms).await;
    let last = vms - 1;
    trouble.begin(&site, &network, last);
    for _ in 0..2 {
        add_server(&mut site, "v2").await;
    }
    let began = std::time::Instant::now();
    let mut begun = Vec::new();
    while began.elapsed() < span {
        compio::time::sleep(LEAVE_AFTER / 2).await;
        let new = begin(&site, 0).await;
        if trouble != Trouble::Stopped {
            take_up(&site, last, &new, &when("at once")).await;
        }
        begun.extend(new);
    }
    let wake = async {
        compio::time::sleep(Duration::from_millis(30)).await;
        trouble.end(&site, &network, last);
    };
    let waking = when("as it ends");
    futures_util::join!(take_up(&site, last, &begun, &waking), wake);
    begun.extend(begin(&site, 0).await);
    take_up(&site, last, &begun, &when("after it")).await;
    compio::time::sleep(SETTLE).await;
    let begun = begin(&site, 0).await;
    let gone_on = take_up(&site, last, &begun, &when("later")).await;
    expect_that!(gone_on, eq(begun.len()), "{}", when("later"));
    expect_that!(begun.len(), eq(STREAMS), "{}", when("later"));
}

/// The same while the version stays.
async fn play_no_release(vms: usize, trouble: Trouble, span: Duration) {
    let (site, network) = start(vms).await;
    let last = vms - 1;
    trouble.begin(&site, &network, last);
    compio::time::sleep(span).await;
    trouble.end(&site, &network, last);
    compio::time::sleep(SETTLE).await;
    let begun = begin(&site, 0).await;
    expect_that!(begun.len(), eq(STREAMS));
    let when = format!("{trouble:?} for {span:?}, {vms} VMs");
    let gone_on = take_up(&site, last, &begun, &when).await;
    expect_that!(gone_on, eq(STREAMS), "{when}");
}

fn play_all(vms: usize, troubles: &[Trouble]) {
    block_on(async {
        let plays = troubles
            .iter()
            .flat_map(|trouble| SPANS.map(|span| play_release(vms, *trouble, span)));
        join_all(plays).await;
    });
}

#[googletest::test]
fn streams_of_a_new_version_do_not_go_on_at_the_old_one_at_a_vm_that_was_cut_off() {
    play_all(3, &[Trouble::CutOff, Trouble::Deaf, Trouble::Mute]);
}

#[googletest::test]
fn streams_of_a_new_version_do_not_go_on_at_the_old_one_at_a_vm_that_was_stopped() {
    play_all(3, &[Trouble::Stopped]);
}

#[googletest::test]
fn in_a_large_fleet_streams_of_a_new_version_do_not_go_on_at_the_old_one_at_a_vm_out_of_step() {
    block_on(async {
        let plays = [Trouble::Stopped, Trouble::CutOff, Trouble::Deaf];
        join_all(plays.map(|trouble| play_release(14, trouble, SPANS[1]))).await;
    });
}

#[googletest::test]
fn streams_are_taken_up_at_a_vm_that_was_out_of_step_beside_one_version() {
    block_on(async {
        let troubles = [
            Trouble::Stopped,
            Trouble::CutOff,
            Trouble::Deaf,
            Trouble::Mute,
        ];
        join_all(troubles.map(|trouble| play_no_release(3, trouble, SPANS[1]))).await;
    });
}
