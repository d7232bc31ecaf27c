//! How a process's descriptors are shared out.

use crate::server_sockets::ServerSockets;
use crate::socket_limits::SocketLimits;
use proptest::prelude::*;

proptest! {
    #[test]
    fn all_parts_together_leave_descriptors_for_files(max_fds in 64_usize..100_000) {
        let limits = SocketLimits::of_descriptors(max_fds);
        let parts = [limits.max_refusals(), limits.max_transfers(), limits.max_operators()];
        let reserved: usize = parts.iter().sum();
        prop_assert!(reserved <= limits.reserved);
        prop_assert!(limits.max_shared + limits.reserved < max_fds);
        // Callers never take all that they share with servers.
        prop_assert!(limits.max_clients < limits.max_shared);
        prop_assert!(parts.iter().all(|part| *part > 0));
    }
}

#[test]
fn a_vm_of_the_usual_size_keeps_most_descriptors_for_callers() {
    let limits = SocketLimits::of_descriptors(4_100);
    assert_eq!(limits.max_clients, 2_870);
    assert_eq!(limits.max_shared, 3_644);
    assert_eq!(limits.max_refusals(), 64);
}

#[test]
fn requests_in_work_and_callers_share_their_sockets() {
    let sockets = ServerSockets::new(10);
    let taken: Vec<_> = (0..3).filter_map(|_| sockets.take(8)).collect();
    assert_eq!(taken.len(), 2);
    assert!(sockets.take(8).is_none());
    assert!(sockets.take(7).is_some());
    drop(taken);
    assert!(sockets.take(9).is_some());
    assert!(sockets.take(10).is_none());
}
