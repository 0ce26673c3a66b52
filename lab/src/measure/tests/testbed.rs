use crate::measure::testbed::clients::{open_idle_clients, Client, Load, PATIENT};
use crate::measure::testbed::discovery::{host_entry, DiscoveryStub, ResponseKind};
use crate::measure::testbed::servers::StubServers;
use crate::measure::testbed::wait_for;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

async fn call(stream: &mut TcpStream, path: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: agent\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut read = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&read).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if length.unwrap().parse::<usize>().unwrap() == body.len() {
                return text;
            }
        }
        read.push(stream.read_u8().await.unwrap());
    }
}

#[tokio::test]
async fn discovery_stub_counts_every_response_byte() {
    LocalSet::new()
        .run_until(async {
            let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
            let hosts: Vec<_> = (0..3).map(|index| host_entry(index, 0, unused_address, "ready")).collect();
            let discovery = DiscoveryStub::open(hosts.clone()).await.unwrap();
            let mut stream = TcpStream::connect(discovery.address()).await.unwrap();
            let full = call(&mut stream, "/v1/servers").await;
            assert!(full.contains("\"whole\":true") && full.matches("s-00000").count() == 3, "{full}");
            let published = discovery.publish(&hosts[..1], false);
            let change = call(&mut stream, "/v1/servers?after=1&wait_ms=60000").await;
            assert!(change.ends_with(&published), "{change}");
            let nothing = call(&mut stream, "/v1/servers?after=2&wait_ms=1").await;
            assert!(nothing.contains("\"hosts\":[]"), "{nothing}");
            let calls = discovery.take_calls();
            let counted: Vec<_> = calls.iter().map(|call| (call.kind, call.response_bytes)).collect();
            let sent = [full.len(), change.len(), nothing.len()];
            let kinds = [ResponseKind::Full, ResponseKind::Changes, ResponseKind::Unchanged];
            assert_eq!(counted, kinds.into_iter().zip(sent).collect::<Vec<_>>());
            assert_eq!(discovery.calls(), 0);
        })
        .await;
}

#[tokio::test]
async fn stub_servers_answer_hold_and_go_silent_on_command() {
    LocalSet::new()
        .run_until(async {
            let servers = StubServers::open(2, 10).await.unwrap();
            let target = servers.addresses()[1];
            let mut client = Client::connect(target, PATIENT).await.unwrap();
            assert_eq!(client.get_numbered(1).await.unwrap(), 200);
            servers.hold();
            let held = spawn_local(async move { client.get_numbered(2).await });
            wait_for("a held request", || servers.held() == 1).await.unwrap();
            servers.release();
            assert_eq!(held.await.unwrap().unwrap(), 200);
            assert_eq!(servers.held(), 0);
            servers.silence(1);
            assert_eq!(open_idle_clients(target, 3, 10).await.unwrap().len(), 3);
            let mut silent = Client::connect(servers.addresses()[0], PATIENT).await.unwrap();
            let response = spawn_local(async move { silent.get_numbered(3).await });
            let mut other = Client::connect(target, PATIENT).await.unwrap();
            assert_eq!(other.get_numbered(4).await.unwrap(), 200);
            assert!(!response.is_finished());
        })
        .await;
}

#[tokio::test]
async fn load_counts_every_response() {
    LocalSet::new()
        .run_until(async {
            let servers = StubServers::open(1, 10).await.unwrap();
            let load = Load::start(servers.addresses()[0], PATIENT, 500.0, 0).await.unwrap();
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            let counts = load.stop().await;
            assert!(counts.served > 0, "{counts:?}");
            assert_eq!(counts.total(), counts.served);
        })
        .await;
}
