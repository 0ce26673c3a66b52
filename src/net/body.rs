//! Reads the bodies of HTTP messages.

use bytes::{Bytes, BytesMut};
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
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        if piece.len() > max_bytes - bytes.len() {
            return Err(BodyError::TooLong(max_bytes));
        }
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes.freeze())
}

#[cfg(test)]
mod tests;
