//! Reads the bodies of HTTP messages.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::pin::pin;
use thiserror::Error;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is longer than this many bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// Its connection broke, or its framing is invalid.
    #[error(transparent)]
    Incomplete(#[from] hyper::Error),
}

/// Reads a body of at most `max_bytes` bytes to its end, without its trailers.
///
/// A peer chooses the pieces in which a body arrives, down to a byte each, and a piece that is kept occupies an
/// entry of its own and the part of the read buffer that it came in, framing included. The pieces are therefore
/// copied into one buffer as they arrive: what a body occupies depends on its length alone.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let mut body = pin!(body);
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut bytes = Vec::with_capacity(announced.min(max_bytes));
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        if piece.len() > max_bytes - bytes.len() {
            return Err(BodyError::TooLong(max_bytes));
        }
        grow(&mut bytes, piece.len(), max_bytes);
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes.into())
}

/// Makes room for `additional` bytes. The capacity at least doubles, so that few pieces cause a copy, but it never
/// exceeds `max_bytes`.
fn grow(bytes: &mut Vec<u8>, additional: usize, max_bytes: usize) {
    let needed = bytes.len() + additional;
    if needed > bytes.capacity() {
        let capacity = needed.max(2 * bytes.capacity()).min(max_bytes);
        bytes.reserve_exact(capacity - bytes.len());
    }
}

#[cfg(test)]
mod tests;
