use super::*;
use hyper::body::Frame;
use hyper::HeaderMap;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// The memory of one piece, which counts as kept until it is dropped.
struct KeptPiece {
    byte: [u8; 1],
    kept: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for KeptPiece {
    fn as_ref(&self) -> &[u8] {
        &self.byte
    }
}

impl Drop for KeptPiece {
    fn drop(&mut self) {
        self.kept.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body of pieces of one byte each, with trailers; it notes how many pieces were kept at the same time.
struct OneBytePieces {
    remaining: usize,
    trailers: bool,
    kept: Arc<AtomicUsize>,
    max_kept: Rc<Cell<usize>>,
}

impl OneBytePieces {
    fn new(pieces: usize) -> Self {
        Self { remaining: pieces, trailers: true, kept: Arc::default(), max_kept: Rc::default() }
    }

    fn next_piece(&mut self) -> Bytes {
        self.remaining -= 1;
        let kept = self.kept.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_kept.set(self.max_kept.get().max(kept));
        Bytes::from_owner(KeptPiece { byte: [self.remaining as u8], kept: self.kept.clone() })
    }
}

impl Body for OneBytePieces {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = if self.remaining > 0 {
            Frame::data(self.next_piece())
        } else if std::mem::take(&mut self.trailers) {
            Frame::trailers(HeaderMap::new())
        } else {
            return Poll::Ready(None);
        };
        Poll::Ready(Some(Ok(frame)))
    }
}

// Guards against memory that grows with the number of pieces of a body: a piece is released as soon as it is read.
#[tokio::test]
async fn the_pieces_of_a_body_are_not_kept() {
    const PIECES: usize = 1_000;
    let body = OneBytePieces::new(PIECES);
    let (kept, max_kept) = (body.kept.clone(), body.max_kept.clone());
    let bytes = read_body(body, PIECES).await.unwrap();
    let expected: Vec<u8> = (0..PIECES).rev().map(|byte| byte as u8).collect();
    assert_eq!(bytes, expected);
    assert_eq!((max_kept.get(), kept.load(Ordering::Relaxed)), (1, 0), "pieces kept");
}

// Guards against a bound that is off by one, and one that a body of many pieces passes.
#[tokio::test]
async fn a_body_longer_than_its_bound_is_refused() {
    for (pieces, max_bytes) in [(1, 0), (2, 1), (1_001, 1_000)] {
        let read = read_body(OneBytePieces::new(pieces), max_bytes).await;
        assert!(matches!(read, Err(BodyError::TooLong(bound)) if bound == max_bytes), "{pieces} pieces");
    }
    assert_eq!(read_body(OneBytePieces::new(0), 0).await.unwrap(), Bytes::new());
}

// Guards against a buffer that doubles past the bound of a body, or that grows by a copy for each piece.
#[test]
fn a_buffer_grows_in_few_steps_and_no_further_than_the_bound() {
    const MAX_BYTES: usize = 1_000;
    let (mut bytes, mut capacities) = (Vec::new(), Vec::new());
    for _ in 0..MAX_BYTES {
        bytes.reserve_exact(next_capacity(&bytes, 1, MAX_BYTES) - bytes.len());
        bytes.push(b'x');
        capacities.push(bytes.capacity());
    }
    capacities.dedup();
    assert_eq!(capacities, [1, 2, 4, 8, 16, 32, 64, 128, 256, 512, MAX_BYTES]);
}
