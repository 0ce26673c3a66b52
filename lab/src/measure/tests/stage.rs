use crate::measure::stage::clients::{idle, Client, Load, PATIENT};
use crate::measure::stage::discovery::{host, Discovery, Kind};
use crate::measure::stage::servers::Servers;
use crate::measure::stage::wait_for;
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
async fn discovery_counts_each_byte_that_it_answers() {
    LocalSet::new()
        .run_until(async {
            let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
            let hosts: Vec<_> = (0..3).map(|place| host(place, 0, nobody, "ready")).collect();
            let discovery = Discovery::open(hosts.clone()).await.unwrap();
            let mut stream = TcpStream::connect(discovery.address()).await.unwrap();
            let whole = call(&mut stream, "/v1/servers").await;
            assert!(whole.contains("\"whole\":true") && whole.matches("s-00000").count() == 3, "{whole}");
            let told = discovery.tell(&hosts[..1], false);
            let change = call(&mut stream, "/v1/servers?after=1&wait_ms=60000").await;
            assert!(change.ends_with(&told), "{change}");
            let nothing = call(&mut stream, "/v1/servers?after=2&wait_ms=1").await;
            assert!(nothing.contains("\"hosts\":[]"), "{nothing}");
            let calls = discovery.take_calls();
            let seen: Vec<_> = calls.iter().map(|call| (call.kind, call.answered)).collect();
            let sent = [whole.len(), change.len(), nothing.len()];
            let kinds = [Kind::Whole, Kind::Change, Kind::Nothing];
            assert_eq!(seen, kinds.into_iter().zip(sent).collect::<Vec<_>>());
            assert_eq!(discovery.calls(), 0);
        })
        .await;
}

#[tokio::test]
async fn servers_answer_hold_and_fall_silent_as_they_are_told() {
    LocalSet::new()
        .run_until(async {
            let servers = Servers::open(2, 10).await.unwrap();
            let target = servers.addresses()[1];
            let mut client = Client::connect(target, PATIENT).await.unwrap();
            assert_eq!(client.ask_numbered(1).await.unwrap(), 200);
            servers.hold();
            let held = spawn_local(async move { client.ask_numbered(2).await });
            wait_for("a held request", || servers.held() == 1).await.unwrap();
            servers.release();
            assert_eq!(held.await.unwrap().unwrap(), 200);
            assert_eq!(servers.held(), 0);
            servers.silence(1);
            assert_eq!(idle(target, 3, 10).await.unwrap().len(), 3);
            let mut silent = Client::connect(servers.addresses()[0], PATIENT).await.unwrap();
            let asked = spawn_local(async move { silent.ask_numbered(3).await });
            let mut other = Client::connect(target, PATIENT).await.unwrap();
            assert_eq!(other.ask_numbered(4).await.unwrap(), 200);
            assert!(!asked.is_finished());
        })
        .await;
}

#[tokio::test]
async fn a_load_counts_each_answer() {
    LocalSet::new()
        .run_until(async {
            let servers = Servers::open(1, 10).await.unwrap();
            let load = Load::begin(servers.addresses()[0], PATIENT, 500.0, 0).await.unwrap();
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            let answers = load.end().await;
            assert!(answers.served > 0, "{answers:?}");
            assert_eq!(answers.asked(), answers.served);
        })
        .await;
}
