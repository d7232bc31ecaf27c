//! The stand-in of a backend server loses nothing by itself.

use futures_util::future::join_all;
use googletest::prelude::*;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::proxy::Proxy;
use workbench::site::{Caller, CallerRequest, Site};

const SERVERS: usize = 60;
/// Connections to each server, one after the other.
const CONNECTIONS: u64 = 150;

#[googletest::test]
fn every_connection_is_answered_whenever_it_comes() {
    block_on(async {
        let site = Site::start(vec![("plain", vec![]); SERVERS]).await;
        let request = CallerRequest::get("/x/y");
        let callers = site.servers.iter().map(async |server| {
            let mut answered = 0;
            for number in 0..CONNECTIONS {
                // Around the time at which the server looks whether it is to end.
                let pause_us = 18_000 + number * 37 % 3_000;
                compio::time::sleep(Duration::from_micros(pause_us)).await;
                let answer = Caller::default().request(server.address(), &request).await;
                answered += u64::from(answer.status == Some(200));
            }
            answered
        });
        let answered: u64 = join_all(callers).await.into_iter().sum();
        expect_that!(answered, eq(CONNECTIONS * SERVERS as u64));
    });
}

#[googletest::test]
fn a_proxy_forwards_every_connection_whenever_it_comes() {
    block_on(async {
        let site = Site::start(vec![("plain", vec![]); SERVERS]).await;
        let request = CallerRequest::get("/x/y");
        let callers = site
            .servers
            .iter()
            .enumerate()
            .map(async |(index, server)| {
                let address = site.path_address(index);
                let _proxy = Proxy::start(address, server.address()).await;
                let mut answered = 0;
                for number in 0..CONNECTIONS {
                    // Around the time at which the proxy looks whether it is closed.
                    let pause_us = 8_000 + number * 37 % 3_000;
                    compio::time::sleep(Duration::from_micros(pause_us)).await;
                    let answer = Caller::default().request(address, &request).await;
                    answered += u64::from(answer.status == Some(200));
                }
                answered
            });
        let answered: u64 = join_all(callers).await.into_iter().sum();
        expect_that!(answered, eq(CONNECTIONS * SERVERS as u64));
    });
}
