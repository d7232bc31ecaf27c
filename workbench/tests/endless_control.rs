//! Services of the platform that send bytes without end: a VM keeps no more of them than it uses.

use googletest::prelude::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;
use workbench::cluster::Cluster;
use workbench::process::product_binary;
use workbench::usage::of_process;

/// How long the services send.
const PLAY: Duration = Duration::from_secs(4);
/// The most memory that a VM may take meanwhile.
const MAX_RSS_KIB: u64 = 256 * 1024;
/// The ports of the service and of the VM.
const SERVICE_PORT: u16 = 7_000;
const VM_PORT: u16 = 8_000;
/// The size of one write.
const WRITE_BYTES: usize = 64 * 1024;

/// What a service sends first, and what it repeats.
const ENDLESS: [(&str, &str); 5] = [
    ("HTTP/1.1 200 OK\r\n", "X-Line: a line\r\n"),
    ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "                "),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n[",
        "                ",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\n    \r\n",
    ),
];

/// A VM that is killed at the end.
struct Vm(Child);

impl Drop for Vm {
    fn drop(&mut self) {
        // A process that has ended cannot be killed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Answers all requests at an address so.
fn send_without_end(address: SocketAddr, (first, repeated): (&'static str, &'static str)) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let answer = move |mut stream: TcpStream| {
        // Nothing but the beginning of the request matters.
        let _ = stream.read(&mut [0; 1_024]);
        let block = repeated.repeat(WRITE_BYTES / repeated.len());
        let mut written = stream.write_all(first.as_bytes());
        while written.is_ok() {
            written = stream.write_all(block.as_bytes());
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer(stream));
        }
    });
}

fn start_vm(ip: IpAddr) -> Vm {
    let service = SocketAddr::new(ip, SERVICE_PORT);
    let at = |offset| SocketAddr::new(ip, VM_PORT + offset);
    let settings = json!({
        "vm": "vm",
        "availability_zone": "a",
        "caller_address": at(0),
        "operator_address": at(1),
        "peer_address": at(2),
        "log_address": service,
        "vm_list_address": service,
    });
    let path = std::env::temp_dir().join(format!("endless-{}-{ip}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).expect("the folder takes files");
    let mut command = Command::new(product_binary());
    command.arg("serve").arg("--config").arg(&path);
    let command = command.stdin(Stdio::null()).stdout(Stdio::null());
    Vm(command.spawn().expect("the product starts"))
}

#[googletest::test]
fn a_vm_whose_platform_sends_without_end_keeps_its_memory() {
    for endless in ENDLESS {
        let ip = Cluster::pick_ip();
        send_without_end(SocketAddr::new(ip, SERVICE_PORT), endless);
        let mut vm = start_vm(ip);
        thread::sleep(PLAY);
        let usage = of_process(vm.0.id());
        println!("{endless:?}: peak {} KiB", usage.peak_rss_kib);
        let ended = vm.0.try_wait().expect("the process can be asked");
        expect_that!(ended, none(), "{endless:?}");
        expect_that!(
            usage.peak_rss_kib,
            all![gt(0), lt(MAX_RSS_KIB)],
            "{endless:?}"
        );
    }
}
