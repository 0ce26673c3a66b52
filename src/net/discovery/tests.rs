use super::*;

#[test]
fn no_backoff_grows_past_what_the_greatest_time_is_made_of() {
    for failures in [0, 1, 2, 3, 9, 10, 1_000, u32::MAX] {
        let most = backoff(failures).mul_f64(1.5);
        assert!(most <= BACKOFF_MOST.mul_f64(1.5) && most >= BACKOFF, "{failures}: {most:?}");
    }
    assert!(backoff(1) < backoff(u32::MAX));
}

// The page's own words: told 6 s after discovery had it and could be reached, and half of a second is left for a node
// that is behind.
#[test]
fn the_greatest_time_until_a_change_is_heard_is_under_what_counts_as_told() {
    let ms = |time: Duration| time.as_millis();
    let call = ms(CONNECT) + ms(WATCH) + ms(OVERDUE);
    let answered = ms(CONNECT) + ms(OVERDUE);
    let sum = call + ms(FOLLOW_AGAIN) + ms(BACKOFF_MOST) * 3 / 2 + answered;
    assert_eq!(ms(TOLD_WITHIN), sum);
    assert!(sum <= 5_700, "{sum} ms");
}

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
        assert_eq!(told_after_a_stall(entries).await, [true], "{entries} entries");
    }
}

/// Whether each call of a node that stands still while discovery answers brings the answer, up to the first that does or
/// that fails.
async fn told_after_a_stall(entries: usize) -> Vec<bool> {
    let discovery = slow_discovery(entries);
    let told = Rc::new(std::cell::RefCell::new(Vec::new()));
    let (_moves, address) = watch::channel(discovery.address);
    let heard = told.clone();
    let tell = move |news| {
        heard.borrow_mut().push(matches!(news, News::Listing(Listing { seq: 7, .. })));
        false
    };
    let watching = Discovery { address, seq: Some(6), random: fastrand::Rng::with_seed(1), tell };
    let follow = Rc::new(Notify::new());
    follow.notify_one();
    let running = tokio::task::LocalSet::new();
    running.spawn_local(watching.run(follow));
    running
        .run_until(async {
            // Never idle: the paused clock goes on by itself only when the runtime is.
            while discovery.asked.try_recv().is_err() {
                tokio::task::yield_now().await;
            }
            discovery.answer.send(()).unwrap();
            // The node stands still meanwhile.
            discovery.answered.recv_timeout(Duration::from_secs(60)).unwrap();
            tokio::time::advance((WATCH + OVERDUE) * 10).await;
            while told.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
        })
        .await;
    let told = told.borrow().clone();
    told
}
