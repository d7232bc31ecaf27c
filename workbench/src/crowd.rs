//! Clients that misbehave: they read slowly or not at all, never finish what they send, or leave
//! midway.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use socket2::{Domain, SockAddr, Socket, Type};
use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The receive buffer of a client, so that little of an answer leaves the process under test.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// The time after which a client whose connection was closed comes again.
const RETURN_DELAY: Duration = Duration::from_millis(200);

/// How a client reads what it is sent.
#[derive(Clone, Copy, Debug)]
pub enum Reading {
    /// At full speed.
    All,
    /// Up to this number of bytes, and then none for a while.
    Bytes(usize, Duration),
    /// Not at all.
    Nothing,
}

/// What each client of a crowd does.
#[derive(Clone, Debug)]
pub struct Misbehaviour {
    /// What the client sends at first.
    pub begin: Vec<u8>,
    /// What it sends again and again after that, and the time between.
    pub repeat: Option<(Vec<u8>, Duration)>,
    /// How it reads.
    pub reading: Reading,
    /// How long it waits before it begins to read.
    pub pause: Duration,
    /// When it leaves, counted from its coming.
    pub leaves_after: Option<Duration>,
    /// Whether it comes again once its connection is closed or it has left.
    pub returns: bool,
}

impl Misbehaviour {
    /// Sends these bytes, and reads and sends nothing more.
    pub fn silent(begin: impl Into<Vec<u8>>) -> Self {
        Self {
            begin: begin.into(),
            repeat: None,
            reading: Reading::Nothing,
            pause: Duration::ZERO,
            leaves_after: None,
            returns: false,
        }
    }

    /// Reads in this way.
    #[must_use]
    pub fn reads(mut self, reading: Reading) -> Self {
        self.reading = reading;
        self
    }

    /// Sends these bytes again and again, with a pause between.
    #[must_use]
    pub fn repeats(mut self, bytes: impl Into<Vec<u8>>, pause: Duration) -> Self {
        self.repeat = Some((bytes.into(), pause));
        self
    }

    /// Leaves after this time.
    #[must_use]
    pub fn leaves_after(mut self, time: Duration) -> Self {
        self.leaves_after = Some(time);
        self
    }

    /// Comes again whenever its connection has ended.
    #[must_use]
    pub fn returns(mut self) -> Self {
        self.returns = true;
        self
    }
}

/// Clients that keep misbehaving until this is dropped.
#[derive(Debug)]
pub struct Crowd {
    counts: Rc<Counts>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Counts {
    begun: Cell<usize>,
    connections: Cell<usize>,
}

impl Crowd {
    /// Starts `count` clients of the process at `address`; `behaviour` is given their number.
    pub fn start(
        address: SocketAddr,
        count: usize,
        behaviour: impl Fn(usize) -> Misbehaviour,
    ) -> Self {
        let counts = Rc::<Counts>::default();
        let start_one = |number| {
            let client = misbehave(address, behaviour(number), counts.clone());
            compio::runtime::spawn(client)
        };
        Self {
            tasks: (0..count).map(start_one).collect(),
            counts,
        }
    }

    /// The number of clients.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether there are no clients.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// The number of clients that have sent what they send at first, or could not.
    pub fn begun(&self) -> usize {
        self.counts.begun.get()
    }

    /// The number of connections so far.
    pub fn connections(&self) -> usize {
        self.counts.connections.get()
    }

    /// Ends all clients.
    pub async fn end(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

async fn misbehave(address: SocketAddr, behaviour: Misbehaviour, counts: Rc<Counts>) {
    let is_first = Cell::new(true);
    loop {
        let connection = connect(address).await;
        if connection.is_ok() {
            counts.connections.set(counts.connections.get() + 1);
        }
        let note_begun = || {
            if is_first.take() {
                counts.begun.set(counts.begun.get() + 1);
            }
        };
        let visit = async {
            match connection {
                Ok(stream) => visit(stream, &behaviour, note_begun).await,
                Err(_refused) => note_begun(),
            }
        };
        match behaviour.leaves_after {
            // A client that leaves is the normal case.
            Some(time) => drop(compio::time::timeout(time, visit).await),
            None => visit.await,
        }
        if !behaviour.returns {
            return;
        }
        compio::time::sleep(RETURN_DELAY).await;
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_nonblocking(false)?;
    // On loopback this does not wait for the process that accepts.
    socket.connect_timeout(&SockAddr::from(address), Duration::from_secs(1))?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

/// Misbehaves on one connection until it is closed.
async fn visit(stream: TcpStream, behaviour: &Misbehaviour, note_begun: impl Fn()) {
    let mut writer = stream.clone();
    let sending = async {
        let BufResult(begun, _) = writer.write_all(behaviour.begin.clone()).await;
        note_begun();
        let Some((bytes, pause)) = behaviour.repeat.as_ref().filter(|_| begun.is_ok()) else {
            return;
        };
        loop {
            compio::time::sleep(*pause).await;
            let BufResult(written, _) = writer.write_all(bytes.clone()).await;
            if written.is_err() {
                return;
            }
        }
    };
    let reading = read(stream.clone(), behaviour);
    futures_util::future::join(sending, reading).await;
}

async fn read(mut stream: TcpStream, behaviour: &Misbehaviour) {
    let (bytes, pause) = match behaviour.reading {
        Reading::All => (64 * 1024, Duration::ZERO),
        Reading::Bytes(bytes, pause) => (bytes, pause),
        Reading::Nothing => return pending().await,
    };
    compio::time::sleep(behaviour.pause).await;
    loop {
        let BufResult(count, _) = stream.read(Vec::with_capacity(bytes)).await;
        if !matches!(count, Ok(1..)) {
            return;
        }
        compio::time::sleep(pause).await;
    }
}
