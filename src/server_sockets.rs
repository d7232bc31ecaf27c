//! The sockets that requests in work may take for their connections to servers.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the requests in work, each of which takes a socket for its connection to a server.
#[derive(Debug)]
pub(crate) struct ServerSockets {
    max_sockets: usize,
    used: Rc<Cell<usize>>,
}

impl ServerSockets {
    /// Creates a bound for callers' connections and requests in work together.
    pub(crate) fn new(max_sockets: usize) -> Self {
        Self {
            max_sockets,
            used: Rc::default(),
        }
    }

    /// Takes a socket while `open_connections` of callers are open; `None` if there is none left.
    pub(crate) fn take(&self, open_connections: usize) -> Option<ServerSocket> {
        let used = self.used.get();
        (used + open_connections < self.max_sockets).then(|| {
            self.used.set(used + 1);
            ServerSocket(self.used.clone())
        })
    }
}

/// The socket of one request in work, until dropped.
#[derive(Debug)]
pub(crate) struct ServerSocket(Rc<Cell<usize>>);

impl Drop for ServerSocket {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
