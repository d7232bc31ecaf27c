//! When a VM logs that it does not know whether its state is current.

use crate::gateway::unconfirmed_alarm::UnconfirmedAlarm;
use std::time::Duration;

const MAX_DELAY: Duration = Duration::from_millis(2_000);

#[test]
fn a_long_episode_is_logged_from_its_begin_on_and_ever_more_rarely() {
    let mut alarm = UnconfirmedAlarm::default();
    let times = (0..200).map(|step| Duration::from_millis(200) * step);
    let due: Vec<u128> = times
        .filter(|time| alarm.is_due(*time, MAX_DELAY))
        .map(|time| time.as_millis())
        .collect();
    assert_eq!(due, [1_600, 3_200, 6_400, 12_800, 25_600]);
}

#[test]
fn each_episode_is_logged() {
    let mut alarm = UnconfirmedAlarm::default();
    let late = Duration::from_millis(1_700);
    assert!(alarm.is_due(late, MAX_DELAY));
    assert!(!alarm.is_due(late, MAX_DELAY));
    assert!(!alarm.is_due(Duration::ZERO, MAX_DELAY));
    assert!(alarm.is_due(late, MAX_DELAY));
}
