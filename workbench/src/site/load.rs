//! Load from callers at a steady rate.

use super::{Answer, Caller, CallerRequest, Site};
use std::time::{Duration, Instant};

/// Sends requests at a steady rate, to each of the given VMs in turn and each on a connection of
/// its own; returns the answers in the order of the requests.
pub async fn send_steadily(
    site: &Site,
    vms: &[usize],
    requests_per_s: f64,
    duration: Duration,
    request: impl Fn() -> CallerRequest,
) -> Vec<Answer> {
    let began = Instant::now();
    let count = (duration.as_secs_f64() * requests_per_s) as usize;
    let mut sent = Vec::new();
    for index in 0..count {
        let due = Duration::from_secs_f64(index as f64 / requests_per_s);
        compio::time::sleep_until(began + due).await;
        let address = site.front(vms[index % vms.len()]);
        let request = request();
        sent.push(compio::runtime::spawn(async move {
            Caller::default().request(address, &request).await
        }));
    }
    let mut answers = Vec::new();
    for answer in sent {
        answers.push(answer.await.expect("sending a request does not panic"));
    }
    answers
}
