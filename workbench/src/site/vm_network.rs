//! The network between VMs, with paths that a test can cut one way or both ways.
//!
//! Each VM listens at an address of its own, and the other VMs know it by a second one, its public
//! address. What they send there is passed on to the VM, so that each pair of VMs has a path of its
//! own. Messages name VMs by address; the VM's own address is replaced on the way. Both have the same
//! length as text and in binary form.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream, UdpSocket};
use futures_util::future::select;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// The largest datagram, and the most bytes of a connection that are copied at once.
const BUFFER_BYTES: usize = 64 * 1024;
/// How often a connection checks whether its path is cut.
const CUT_POLL: Duration = Duration::from_millis(10);
/// How far the second octet of public addresses lies above that of the VMs' own ones.
const PUBLIC_OFFSET: u8 = 100;
/// The last octet of the first VM's addresses.
const FIRST_OCTET: u8 = 100;

/// One end of a path.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Node {
    /// The platform's store.
    Store,
    /// A VM, by its index.
    Vm(usize),
}

/// The addresses of one VM.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    own: Ipv4Addr,
    public: Ipv4Addr,
}

/// The paths between VMs, and from VMs to the store.
#[derive(Debug)]
pub struct VmNetwork {
    octets: [u8; 2],
    /// The directions in which nothing passes.
    cuts: RefCell<BTreeSet<(Node, Node)>>,
    /// The sockets at the public addresses, by VM.
    sockets: RefCell<Vec<Rc<UdpSocket>>>,
}

impl VmNetwork {
    /// Creates a network without VMs.
    pub(super) fn new() -> Rc<Self> {
        let octets = [rand::random_range(100..150), rand::random_range(100..250)];
        Rc::new(Self {
            octets,
            cuts: RefCell::default(),
            sockets: RefCell::default(),
        })
    }

    /// Lets nothing pass from one node to another.
    fn cut(&self, from: Node, to: Node) {
        self.cuts.borrow_mut().insert((from, to));
    }

    /// Cuts all paths from a VM to `others`, to it, or both.
    pub fn cut_off(&self, vm: usize, others: &[Node], is_inbound: bool, is_outbound: bool) {
        for other in others {
            if is_inbound {
                self.cut(*other, Node::Vm(vm));
            }
            if is_outbound {
                self.cut(Node::Vm(vm), *other);
            }
        }
    }

    /// Lets everything pass again to and from a VM.
    pub fn heal_vm(&self, vm: usize) {
        let vm = Node::Vm(vm);
        let mut cuts = self.cuts.borrow_mut();
        cuts.retain(|(from, to)| *from != vm && *to != vm);
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.cuts.borrow_mut().clear();
    }

    /// The address at which a VM listens.
    pub(super) fn ip(&self, vm: usize) -> IpAddr {
        IpAddr::V4(self.addresses(vm).own)
    }

    /// Starts the paths to a VM that receives messages at a port, and forwarded requests at the next
    /// one. VMs are added in the order of their indices.
    pub(super) async fn add_vm(self: &Rc<Self>, vm: usize, peer_port: u16) {
        let Addresses { own, public } = self.addresses(vm);
        let socket = UdpSocket::bind(SocketAddr::from((public, peer_port))).await;
        let socket = Rc::new(socket.expect("the address is free"));
        self.sockets.borrow_mut().push(socket.clone());
        let to = SocketAddr::from((own, peer_port));
        compio::runtime::spawn(self.clone().pass_datagrams(vm, socket, to)).detach();
        for port in [peer_port, peer_port + 1] {
            let listener = listen(SocketAddr::from((public, port))).await;
            let to = SocketAddr::from((own, port));
            compio::runtime::spawn(self.clone().accept(listener, to, None, Node::Vm(vm))).detach();
        }
    }

    /// Starts the path from a VM to the store.
    pub(super) async fn add_store_path(self: &Rc<Self>, vm: usize, at: SocketAddr, to: SocketAddr) {
        let listener = listen(at).await;
        let accept = self.clone().accept(listener, to, Some(vm), Node::Store);
        compio::runtime::spawn(accept).detach();
    }

    fn addresses(&self, vm: usize) -> Addresses {
        let [second, third] = self.octets;
        let last = FIRST_OCTET + u8::try_from(vm).expect("VMs are few");
        Addresses {
            own: Ipv4Addr::new(127, second, third, last),
            public: Ipv4Addr::new(127, second + PUBLIC_OFFSET, third, last),
        }
    }

    fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cuts.borrow().contains(&(from, to))
    }

    /// The VM that listens at an address.
    fn vm_at(&self, address: SocketAddr) -> Option<usize> {
        let vms = 0..self.sockets.borrow().len();
        vms.into_iter().find(|vm| self.ip(*vm) == address.ip())
    }

    /// Passes on the datagrams that other VMs send to a VM.
    async fn pass_datagrams(self: Rc<Self>, vm: usize, socket: Rc<UdpSocket>, to: SocketAddr) {
        let Addresses { own, public } = self.addresses(vm);
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            let BufResult(received, bytes) = socket.recv_from(buffer).await;
            buffer = bytes;
            let sender = received.ok().and_then(|(_, sender)| self.vm_at(sender));
            match sender {
                Some(sender) if !self.is_cut(Node::Vm(sender), Node::Vm(vm)) => {
                    replace(&mut buffer, &public.octets(), &own.octets());
                    let from = self.sockets.borrow()[sender].clone();
                    let BufResult(_, bytes) = from.send_to(buffer, to).await;
                    buffer = bytes;
                }
                // The path is cut, or the sender is no VM.
                _ => {}
            }
            buffer.clear();
        }
    }

    /// Accepts connections from a VM, which is the one that the first request names unless `from` does.
    async fn accept(
        self: Rc<Self>,
        listener: TcpListener,
        to: SocketAddr,
        from: Option<usize>,
        node: Node,
    ) {
        while let Ok((near, _)) = listener.accept().await {
            compio::runtime::spawn(self.clone().join(near, to, from, node)).detach();
        }
    }

    async fn join(
        self: Rc<Self>,
        mut near: TcpStream,
        to: SocketAddr,
        from: Option<usize>,
        node: Node,
    ) {
        let Ok(far) = TcpStream::connect(to).await else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let BufResult(count, mut first) = near.read(Vec::with_capacity(BUFFER_BYTES)).await;
        if !matches!(count, Ok(count) if count > 0) {
            return;
        }
        let Some(vm) = from.or_else(|| self.vm_named_in(&first)) else {
            return;
        };
        let Addresses { own, public } = self.addresses(vm);
        let (own, public) = (own.to_string(), public.to_string());
        let (requests, answers) = ((Node::Vm(vm), node), (node, Node::Vm(vm)));
        replace(&mut first, own.as_bytes(), public.as_bytes());
        let mut to_far = far.clone();
        if !self.pass(requests).await || to_far.write_all(first).await.0.is_err() {
            return;
        }
        let requests = self.copy(near.clone(), to_far, requests, (&own, &public));
        let answers = self.copy(far, near, answers, (&public, &own));
        let _ = select(pin!(requests), pin!(answers)).await;
    }

    /// The VM whose address a request names as that of its sender.
    fn vm_named_in(&self, request: &[u8]) -> Option<usize> {
        let vms = 0..self.sockets.borrow().len();
        vms.into_iter().find(|vm| {
            let own = self.addresses(*vm).own.to_string();
            position(request, own.as_bytes(), 0).is_some()
        })
    }

    /// Waits while a path is cut; false if it was.
    async fn pass(&self, (from, to): (Node, Node)) -> bool {
        let is_cut = self.is_cut(from, to);
        while self.is_cut(from, to) {
            compio::time::sleep(CUT_POLL).await;
        }
        !is_cut
    }

    /// Copies one way until an end closes. What is under way while the path is cut is lost.
    async fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        path: (Node, Node),
        (old, new): (&str, &str),
    ) {
        loop {
            let read = from.read(Vec::with_capacity(BUFFER_BYTES));
            let BufResult(count, mut bytes) = read.await;
            if !matches!(count, Ok(count) if count > 0) || !self.pass(path).await {
                return;
            }
            replace(&mut bytes, old.as_bytes(), new.as_bytes());
            if to.write_all(bytes).await.0.is_err() {
                return;
            }
        }
    }
}

async fn listen(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).await;
    listener.expect("the address is free")
}

/// Replaces all occurrences of a pattern by another one of the same length.
fn replace(bytes: &mut [u8], old: &[u8], new: &[u8]) {
    let mut start = 0;
    while let Some(index) = position(bytes, old, start) {
        bytes[index..index + old.len()].copy_from_slice(new);
        start = index + old.len();
    }
}

fn position(bytes: &[u8], pattern: &[u8], start: usize) -> Option<usize> {
    let index = bytes[start..]
        .windows(pattern.len())
        .position(|window| window == pattern);
    index.map(|index| start + index)
}
