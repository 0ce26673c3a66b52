use super::*;
use std::time::Duration;
use walkpick::policy::subscription::{Delivery, CALL_TIMEOUT};

/// A discovery server that answers when the test says so, and reports what it has done.
struct ScriptedDiscovery {
    address: SocketAddr,
    asked: std::sync::mpsc::Receiver<()>,
    answer: std::sync::mpsc::Sender<()>,
    answered: std::sync::mpsc::Receiver<()>,
}

/// Starts a discovery server whose answer has this many entries.
fn scripted_discovery(entries: usize) -> ScriptedDiscovery {
    use std::io::{BufRead, BufReader, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (asked_tx, asked) = std::sync::mpsc::channel();
    let (answer, answer_rx) = std::sync::mpsc::channel();
    let (answered_tx, answered) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = BufReader::new(stream.try_clone().unwrap()).lines();
        while request.next().is_some_and(|line| !line.unwrap().is_empty()) {}
        asked_tx.send(()).unwrap();
        answer_rx.recv().unwrap();
        let host = r#"{"host":"s-5be2a07c","dial":"10.1.0.18:7070","site":"a","class":"m2","block":3,"health":"ready"}"#;
        let list = format!(r#"{{"seq":7,"whole":false,"hosts":[{}]}}"#, vec![host; entries].join(","));
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).unwrap();
        answered_tx.send(()).unwrap();
        // Keeps the connection open until the end of the test.
        let _ = answer_rx.recv();
    });
    ScriptedDiscovery { address, asked, answer, answered }
}

// Guards against a node with little processor time that reads an answer long after it arrived and takes it
// for lost because its own time limit is over: it would call again and again and never receive a list.
#[tokio::test(start_paused = true)]
async fn an_answer_received_in_time_is_accepted_however_late_the_node_reads_it() {
    /// The largest list that the program must support; it takes many reads.
    const MAX_ENTRIES: usize = 1_024;
    for entries in [0, 1, MAX_ENTRIES] {
        assert!(list_received_after_stall(entries).await, "{entries} entries");
    }
}

/// Whether a call returns the answer that arrived while the node was stalled.
async fn list_received_after_stall(entries: usize) -> bool {
    let discovery = scripted_discovery(entries);
    let now = Instant::now().into_std();
    let call = Subscription::new(Delivery::Polled, Some(6), 1, now).begin(now).expect("a call is due");
    let local = tokio::task::LocalSet::new();
    let calling = local.spawn_local(perform(call, discovery.address, None, || ()));
    let outcome = local
        .run_until(async {
            // Never idle: the paused clock advances on its own only while the runtime is idle.
            while discovery.asked.try_recv().is_err() {
                tokio::task::yield_now().await;
            }
            discovery.answer.send(()).unwrap();
            // The node is stalled meanwhile.
            discovery.answered.recv_timeout(Duration::from_secs(60)).unwrap();
            tokio::time::advance(CALL_TIMEOUT * 10).await;
            while !calling.is_finished() {
                tokio::task::yield_now().await;
            }
            calling.await.unwrap()
        })
        .await;
    matches!(outcome, Ok((Listing { seq: 7, .. }, _)))
}
