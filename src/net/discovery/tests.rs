use super::*;
use std::time::Duration;
use walkpick::policy::subscription::{Delivery, CALL_TIMEOUT};

/// A discovery that answers only when it is told to, and says what it has done.
struct Slow {
    address: SocketAddr,
    asked: std::sync::mpsc::Receiver<()>,
    answer: std::sync::mpsc::Sender<()>,
    answered: std::sync::mpsc::Receiver<()>,
}

/// Its answer has so many entries.
fn slow_discovery(entries: usize) -> Slow {
    use std::io::{BufRead, BufReader, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (says_asked, asked) = std::sync::mpsc::channel();
    let (answer, told) = std::sync::mpsc::channel();
    let (says_answered, answered) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = BufReader::new(stream.try_clone().unwrap()).lines();
        while request.next().is_some_and(|line| !line.unwrap().is_empty()) {}
        says_asked.send(()).unwrap();
        told.recv().unwrap();
        let host = r#"{"host":"s-5be2a07c","dial":"10.1.0.18:7070","site":"a","class":"m2","block":3,"health":"ready"}"#;
        let list = format!(r#"{{"seq":7,"whole":false,"hosts":[{}]}}"#, vec![host; entries].join(","));
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).unwrap();
        says_answered.send(()).unwrap();
        // The connection stays open until the test is over.
        let _ = told.recv();
    });
    Slow { address, asked, answer, answered }
}

// A node with little of a core looks late at what has long come: by then its own times are over, and the answer counts
// all the same. To take it for lost would make such a node call again and again, and never learn a thing.
#[tokio::test(start_paused = true)]
async fn an_answer_that_came_in_time_is_taken_however_late_the_node_looks() {
    /// As many as the program has to bear: such a list takes many looks to read.
    const MANY: usize = 1_024;
    for entries in [0, 1, MANY] {
        assert!(told_after_a_stall(entries).await, "{entries} entries");
    }
}

/// Whether a call of a node that stands still while discovery answers brings the answer.
async fn told_after_a_stall(entries: usize) -> bool {
    let discovery = slow_discovery(entries);
    let now = Instant::now().into_std();
    let call = Subscription::new(Delivery::Polled, Some(6), 1, now).begin(now).expect("a call is due");
    let running = tokio::task::LocalSet::new();
    let calling = running.spawn_local(perform(call, discovery.address, None, || ()));
    let outcome = running
        .run_until(async {
            // Never idle: the paused clock goes on by itself only when the runtime is.
            while discovery.asked.try_recv().is_err() {
                tokio::task::yield_now().await;
            }
            discovery.answer.send(()).unwrap();
            // The node stands still meanwhile.
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
