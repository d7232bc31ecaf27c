//! An address that leaves connections unanswered, as a path that drops all packets does.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;

/// Connections that fill the queue of the listener.
const FILLERS: usize = 2;

/// Leaves all new connections to an address unanswered until dropped.
#[derive(Debug)]
pub struct BlackHole {
    _listener: Socket,
    _fillers: Vec<Socket>,
}

impl BlackHole {
    /// Takes the address.
    ///
    /// # Panics
    ///
    /// Panics when the address is taken.
    pub fn start(address: SocketAddr) -> Self {
        let open = || {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, None);
            socket.expect("a socket can be opened")
        };
        let listener = open();
        listener
            .set_reuse_address(true)
            .and_then(|()| listener.bind(&address.into()))
            .and_then(|()| listener.listen(0))
            .unwrap_or_else(|error| panic!("{address} cannot be taken: {error}"));
        let fillers = (0..FILLERS).map(|_| {
            let filler = open();
            filler
                .set_nonblocking(true)
                .expect("a socket can be made non-blocking");
            // The connection stays in the queue, or waits for room in it.
            let _ = filler.connect(&address.into());
            filler
        });
        let fillers = fillers.collect();
        Self {
            _listener: listener,
            _fillers: fillers,
        }
    }
}
