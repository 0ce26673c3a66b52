use super::*;
use std::cell::{Cell, RefCell};
use tokio::task::LocalSet;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A listener whose destination echoes all data and counts connections.
fn echo_listener(link: &Link) -> (RelayListener, Rc<Cell<u32>>) {
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    let handler: ConnectionHandler = Rc::new(move |stream: DuplexStream| {
        counted.set(counted.get() + 1);
        spawn_local(async move {
            let (mut from, mut to) = tokio::io::split(stream);
            let _ = tokio::io::copy(&mut from, &mut to).await;
            let _ = to.shutdown().await;
        });
    });
    (RelayListener::open(link, Destination::InProcess(handler)).unwrap(), count)
}

async fn send_and_read(stream: &mut TcpStream, text: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut answer = vec![0; text.len()];
    timeout(TEST_TIMEOUT, stream.read_exact(&mut answer)).await??;
    Ok(answer)
}

#[tokio::test]
async fn link_without_faults_carries_both_directions_and_closes_cleanly() {
    LocalSet::new()
        .run_until(async {
            let link = Link::new(1);
            let (listener, _) = echo_listener(&link);
            let mut stream = TcpStream::connect(listener.address()).await.unwrap();
            assert_eq!(send_and_read(&mut stream, b"hello").await.unwrap(), b"hello");
            stream.shutdown().await.unwrap();
            assert_eq!(timeout(TEST_TIMEOUT, stream.read(&mut [0; 1])).await.unwrap().unwrap(), 0);
        })
        .await;
}

// Guards against connections established during a partition, and against buffered data delivered to a later process.
#[tokio::test]
async fn silent_link_accepts_no_connection_and_link_that_is_down_refuses_connections() {
    LocalSet::new()
        .run_until(async {
            let link = Link::new(1);
            let (listener, count) = echo_listener(&link);
            let mut old = TcpStream::connect(listener.address()).await.unwrap();
            assert_eq!(send_and_read(&mut old, b"1").await.unwrap(), b"1");
            link.update(|now| now.impairment.forward.silent = true);
            // The accept loop must run once to see the change; after that no connection is established.
            tokio::task::yield_now().await;
            let short = Duration::from_millis(300);
            let mut tried = 0;
            while timeout(short, TcpStream::connect(listener.address())).await.is_ok() {
                tried += 1;
                assert!(tried < 20, "connections are still established");
            }
            old.write_all(b"2").await.unwrap();
            assert!(timeout(short, old.read(&mut [0; 1])).await.is_err(), "data arrived on a silent link");
            link.update(|now| {
                now.impairment.forward.silent = false;
                now.reset_count += 1;
            });
            assert!(
                timeout(TEST_TIMEOUT, old.read(&mut [0; 1])).await.unwrap().is_err(),
                "the connection must be reset, not closed"
            );
            let before = count.get();
            let mut new = loop {
                match TcpStream::connect(listener.address()).await {
                    Ok(stream) => break stream,
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            };
            assert_eq!(send_and_read(&mut new, b"3").await.unwrap(), b"3");
            assert_eq!(count.get(), before + 1, "data from before the reset was delivered");
            link.update(|now| now.down = true);
            assert!(timeout(TEST_TIMEOUT, new.read(&mut [0; 1])).await.unwrap().is_err());
            let refused = loop {
                match TcpStream::connect(listener.address()).await {
                    Err(error) => break error,
                    Ok(_) => tokio::task::yield_now().await,
                }
            };
            assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
        })
        .await;
}

// Guards against a port that another process takes while a node restarts.
#[test]
fn reserved_port_can_be_listened_on_repeatedly_and_is_not_assigned_to_others() {
    let reserved = ReservedPort::tcp().unwrap();
    for _ in 0..3 {
        drop(std::net::TcpListener::bind(reserved.address()).unwrap());
    }
    let others: Vec<_> = (0..200).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    assert!(others.iter().all(|other| other.local_addr().unwrap() != reserved.address()));
}

// Guards against unbounded buffering for a peer that does not read.
#[tokio::test(start_paused = true)]
async fn one_direction_queues_a_bounded_number_of_chunks() {
    let link = Link::new(1);
    link.update(|now| now.impairment.forward.delay = Duration::from_secs(3_600));
    let (mut writer, near) = tokio::io::duplex(1);
    let (far, _reader) = tokio::io::duplex(1);
    let direction = |now: &Conditions| now.impairment.forward;
    let carrying = relay_direction(near, far, link.subscribe(), direction, 1);
    let taken = RefCell::new(0);
    let writing = async {
        while writer.write_all(b"x").await.is_ok() {
            *taken.borrow_mut() += 1;
        }
    };
    tokio::select! {
        _ = carrying => panic!("the stream ended early"),
        () = writing => panic!("the stream ended early"),
        () = tokio::time::sleep(Duration::from_secs(60)) => {}
    }
    assert!(*taken.borrow() <= MAX_QUEUED_CHUNKS + 2, "{}", taken.borrow());
}

#[tokio::test(start_paused = true)]
async fn delay_and_loss_take_time_and_preserve_byte_order() {
    let link = Link::new(1);
    let lossy = Impairment {
        delay: Duration::from_millis(30),
        jitter: Duration::from_millis(50),
        loss: 0.3,
        ..Impairment::default()
    };
    link.update(|now| now.impairment.forward = lossy);
    let (mut writer, near) = tokio::io::duplex(1);
    let (far, mut reader) = tokio::io::duplex(64);
    let start = Instant::now();
    let carrying = relay_direction(near, far, link.subscribe(), |now| now.impairment.forward, 1);
    let text: Vec<u8> = (0..40).collect();
    let writing = async {
        writer.write_all(&text).await.unwrap();
        drop(writer);
    };
    let mut read = Vec::new();
    let (carried, (), ended) = tokio::join!(carrying, writing, reader.read_to_end(&mut read));
    carried.unwrap();
    ended.unwrap();
    assert_eq!(read, text);
    assert!(start.elapsed() >= Duration::from_millis(230), "{:?}", start.elapsed());
}

// Guards against data of an old connection reaching a new process, and against a crash that looks like an orderly close.
#[tokio::test]
async fn relay_resets_connections_when_the_target_process_is_gone() {
    LocalSet::new()
        .run_until(async {
            let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let link = Link::new(1);
            let listener =
                RelayListener::open(&link, Destination::Remote(target.local_addr().unwrap())).unwrap();
            let mut stream = TcpStream::connect(listener.address()).await.unwrap();
            let (mut there, _) = target.accept().await.unwrap();
            stream.write_all(b"x").await.unwrap();
            timeout(TEST_TIMEOUT, there.read_exact(&mut [0; 1])).await.unwrap().unwrap();
            drop(target);
            SockRef::from(&there).set_linger(Some(Duration::ZERO)).unwrap();
            drop(there);
            assert!(timeout(TEST_TIMEOUT, stream.read(&mut [0; 1])).await.unwrap().is_err());
            let mut late = TcpStream::connect(listener.address()).await.unwrap();
            assert!(timeout(TEST_TIMEOUT, late.read(&mut [0; 1])).await.unwrap().is_err());
        })
        .await;
}

#[tokio::test]
async fn datagrams_arrive_from_the_senders_relay_address_and_are_dropped_on_a_silent_link() {
    LocalSet::new()
        .run_until(async {
            let bind = || UdpSocket::bind("127.0.0.1:0");
            let (one, two) = (bind().await.unwrap(), bind().await.unwrap());
            let peers = vec![one.local_addr().unwrap(), two.local_addr().unwrap()];
            let there = Rc::new(Cell::new(Impairment::default()));
            let held = there.clone();
            let impairment: PeerImpairment =
                Rc::new(move |from, _| if from == 0 { held.get() } else { Impairment::default() });
            let reached = mesh(peers, impairment, 1).await.unwrap();
            let mut buffer = [0; 8];
            one.send_to(b"ping", reached[1]).await.unwrap();
            let (length, from) = timeout(TEST_TIMEOUT, two.recv_from(&mut buffer)).await.unwrap().unwrap();
            assert_eq!((&buffer[..length], from), (&b"ping"[..], reached[0]));
            two.send_to(b"pong", from).await.unwrap();
            let (length, from) = timeout(TEST_TIMEOUT, one.recv_from(&mut buffer)).await.unwrap().unwrap();
            assert_eq!((&buffer[..length], from), (&b"pong"[..], reached[1]));
            there.set(Impairment { silent: true, ..Impairment::default() });
            one.send_to(b"lost", reached[1]).await.unwrap();
            // The reverse direction still works: once this arrives, the datagram sent before it has been dropped.
            two.send_to(b"back", reached[0]).await.unwrap();
            timeout(TEST_TIMEOUT, one.recv_from(&mut buffer)).await.unwrap().unwrap();
            there.set(Impairment { duplicate: 1.0, ..Impairment::default() });
            one.send_to(b"next", reached[1]).await.unwrap();
            for _ in 0..2 {
                let (length, _) = timeout(TEST_TIMEOUT, two.recv_from(&mut buffer)).await.unwrap().unwrap();
                assert_eq!(&buffer[..length], b"next");
            }
        })
        .await;
}
