use super::*;
use std::cell::{Cell, RefCell};
use tokio::task::LocalSet;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(60);

/// A door whose far end sends back what comes, and counts connections.
fn echo(link: &Link) -> (Door, Rc<Cell<u32>>) {
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    let take: Take = Rc::new(move |stream: DuplexStream| {
        counted.set(counted.get() + 1);
        spawn_local(async move {
            let (mut from, mut to) = tokio::io::split(stream);
            let _ = tokio::io::copy(&mut from, &mut to).await;
            let _ = to.shutdown().await;
        });
    });
    (Door::open(link, Far::Here(take)).unwrap(), count)
}

async fn said(stream: &mut TcpStream, text: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut answer = vec![0; text.len()];
    timeout(PATIENCE, stream.read_exact(&mut answer)).await??;
    Ok(answer)
}

#[tokio::test]
async fn a_good_link_carries_both_ways_and_ends_in_order() {
    LocalSet::new()
        .run_until(async {
            let link = Link::new(1);
            let (door, _) = echo(&link);
            let mut stream = TcpStream::connect(door.address()).await.unwrap();
            assert_eq!(said(&mut stream, b"hello").await.unwrap(), b"hello");
            stream.shutdown().await.unwrap();
            assert_eq!(timeout(PATIENCE, stream.read(&mut [0; 1])).await.unwrap().unwrap(), 0);
        })
        .await;
}

// Guards against a partition that lets connections come up, or one that keeps what was held for a later process.
#[tokio::test]
async fn a_silent_link_brings_up_no_connection_and_one_that_is_down_refuses() {
    LocalSet::new()
        .run_until(async {
            let link = Link::new(1);
            let (door, count) = echo(&link);
            let mut old = TcpStream::connect(door.address()).await.unwrap();
            assert_eq!(said(&mut old, b"1").await.unwrap(), b"1");
            link.set(|now| now.ways.forward.silent = true);
            // The door needs a turn to see it; from then on nothing comes up.
            tokio::task::yield_now().await;
            let short = Duration::from_millis(300);
            let mut tried = 0;
            while timeout(short, TcpStream::connect(door.address())).await.is_ok() {
                tried += 1;
                assert!(tried < 20, "connections still come up");
            }
            old.write_all(b"2").await.unwrap();
            assert!(timeout(short, old.read(&mut [0; 1])).await.is_err(), "silence");
            link.set(|now| {
                now.ways.forward.silent = false;
                now.resets += 1;
            });
            assert!(timeout(PATIENCE, old.read(&mut [0; 1])).await.unwrap().is_err(), "reset, not ended");
            let before = count.get();
            let mut new = loop {
                match TcpStream::connect(door.address()).await {
                    Ok(stream) => break stream,
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            };
            assert_eq!(said(&mut new, b"3").await.unwrap(), b"3");
            assert_eq!(count.get(), before + 1, "nothing of before is delivered");
            link.set(|now| now.down = true);
            assert!(timeout(PATIENCE, new.read(&mut [0; 1])).await.unwrap().is_err());
            let refused = loop {
                match TcpStream::connect(door.address()).await {
                    Err(error) => break error,
                    Ok(_) => tokio::task::yield_now().await,
                }
            };
            assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
        })
        .await;
}

// Guards against a port that somebody else takes between two lives of a node.
#[test]
fn a_kept_port_is_listened_on_again_and_again_and_given_to_nobody_else() {
    let kept = Reserved::tcp().unwrap();
    for _ in 0..3 {
        drop(std::net::TcpListener::bind(kept.address()).unwrap());
    }
    let others: Vec<_> = (0..200).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    assert!(others.iter().all(|other| other.local_addr().unwrap() != kept.address()));
}

// Guards against a relay that holds more and more for a peer that does not read.
#[tokio::test(start_paused = true)]
async fn a_direction_holds_a_bounded_number_of_pieces() {
    let link = Link::new(1);
    link.set(|now| now.ways.forward.delay = Duration::from_secs(3_600));
    let (mut writer, near) = tokio::io::duplex(1);
    let (far, _reader) = tokio::io::duplex(1);
    let way = |now: &Conditions| now.ways.forward;
    let carrying = carry(near, far, link.watch(), way, 1);
    let taken = RefCell::new(0);
    let writing = async {
        while writer.write_all(b"x").await.is_ok() {
            *taken.borrow_mut() += 1;
        }
    };
    tokio::select! {
        _ = carrying => panic!("it ended"),
        () = writing => panic!("it ended"),
        () = tokio::time::sleep(Duration::from_secs(60)) => {}
    }
    assert!(*taken.borrow() <= PIECES + 2, "{}", taken.borrow());
}

#[tokio::test(start_paused = true)]
async fn delay_and_loss_take_time_and_keep_the_order() {
    let link = Link::new(1);
    let lossy = Impairment {
        delay: Duration::from_millis(30),
        jitter: Duration::from_millis(50),
        loss: 0.3,
        ..Impairment::default()
    };
    link.set(|now| now.ways.forward = lossy);
    let (mut writer, near) = tokio::io::duplex(1);
    let (far, mut reader) = tokio::io::duplex(64);
    let start = Instant::now();
    let carrying = carry(near, far, link.watch(), |now| now.ways.forward, 1);
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

// Guards against bytes of an old connection in a new process, and a lost process that looks like an orderly end.
#[tokio::test]
async fn a_relay_to_a_process_that_is_gone_resets() {
    LocalSet::new()
        .run_until(async {
            let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let link = Link::new(1);
            let door = Door::open(&link, Far::There(target.local_addr().unwrap())).unwrap();
            let mut stream = TcpStream::connect(door.address()).await.unwrap();
            let (mut there, _) = target.accept().await.unwrap();
            stream.write_all(b"x").await.unwrap();
            timeout(PATIENCE, there.read_exact(&mut [0; 1])).await.unwrap().unwrap();
            drop(target);
            SockRef::from(&there).set_linger(Some(Duration::ZERO)).unwrap();
            drop(there);
            assert!(timeout(PATIENCE, stream.read(&mut [0; 1])).await.unwrap().is_err());
            let mut late = TcpStream::connect(door.address()).await.unwrap();
            assert!(timeout(PATIENCE, late.read(&mut [0; 1])).await.unwrap().is_err());
        })
        .await;
}

#[tokio::test]
async fn datagrams_come_from_where_their_sender_is_reached_and_are_lost_in_silence() {
    LocalSet::new()
        .run_until(async {
            let bind = || UdpSocket::bind("127.0.0.1:0");
            let (one, two) = (bind().await.unwrap(), bind().await.unwrap());
            let parties = vec![one.local_addr().unwrap(), two.local_addr().unwrap()];
            let there = Rc::new(Cell::new(Impairment::default()));
            let held = there.clone();
            let ways: WayOf =
                Rc::new(move |from, _| if from == 0 { held.get() } else { Impairment::default() });
            let reached = mesh(parties, ways, 1).await.unwrap();
            let mut buffer = [0; 8];
            one.send_to(b"ping", reached[1]).await.unwrap();
            let (length, from) = timeout(PATIENCE, two.recv_from(&mut buffer)).await.unwrap().unwrap();
            assert_eq!((&buffer[..length], from), (&b"ping"[..], reached[0]));
            two.send_to(b"pong", from).await.unwrap();
            let (length, from) = timeout(PATIENCE, one.recv_from(&mut buffer)).await.unwrap().unwrap();
            assert_eq!((&buffer[..length], from), (&b"pong"[..], reached[1]));
            there.set(Impairment { silent: true, ..Impairment::default() });
            one.send_to(b"lost", reached[1]).await.unwrap();
            // The way back still carries: by the time that this has come, the other is lost.
            two.send_to(b"back", reached[0]).await.unwrap();
            timeout(PATIENCE, one.recv_from(&mut buffer)).await.unwrap().unwrap();
            there.set(Impairment { duplicate: 1.0, ..Impairment::default() });
            one.send_to(b"next", reached[1]).await.unwrap();
            for _ in 0..2 {
                let (length, _) = timeout(PATIENCE, two.recv_from(&mut buffer)).await.unwrap().unwrap();
                assert_eq!(&buffer[..length], b"next");
            }
        })
        .await;
}
