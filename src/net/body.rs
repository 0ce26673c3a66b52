//! Reads the bodies of HTTP messages.

use crate::net::memory::{NoMemory, Reservation};
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
    /// All bodies together occupy as much memory as they may.
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
    /// Its connection broke, or its framing is invalid.
    #[error(transparent)]
    Incomplete(#[from] hyper::Error),
}

/// Reads a body of at most `max_bytes` bytes to its end, without its trailers.
///
/// A peer chooses the pieces in which a body arrives, down to a byte each, and a piece that is kept occupies
/// an entry of its own and the part of the read buffer that it came in, framing included. The pieces are
/// therefore copied into one buffer as they arrive: what a body occupies depends on its length alone.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    Ok(read(body, max_bytes, None).await?.into())
}

/// Reads a body as [`read_body`] does, within the memory that all bodies share. The body holds its
/// reservation until it is dropped. Nothing is reserved for bytes that have not arrived, however long the
/// body is announced to be.
pub async fn read_reserved_body<B>(
    body: B,
    max_bytes: usize,
    mut reservation: Reservation,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let bytes = read(body, max_bytes, Some(&mut reservation)).await?;
    Ok(reservation.into_bytes(bytes))
}

async fn read<B>(
    body: B,
    max_bytes: usize,
    mut reservation: Option<&mut Reservation>,
) -> Result<Vec<u8>, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let mut body = pin!(body);
    let announced = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let capacity_limit = announced.unwrap_or(max_bytes).min(max_bytes);
    let mut bytes = Vec::new();
    if let (Some(reservation), Some(_)) = (&mut reservation, announced) {
        reservation.begin_body(capacity_limit).await?;
    }
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        if piece.len() > max_bytes - bytes.len() {
            return Err(BodyError::TooLong(max_bytes));
        }
        let capacity = next_capacity(&bytes, piece.len(), capacity_limit);
        if let Some(reservation) = &mut reservation {
            reservation.grow_body(capacity, capacity_limit).await?;
        }
        bytes.reserve_exact(capacity - bytes.len());
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes)
}

/// The capacity with which a buffer has room for `additional` bytes. It at least doubles where it grows, so
/// that few pieces cause a copy, but never exceeds `max_bytes`, unless there are more bytes.
fn next_capacity(bytes: &Vec<u8>, additional: usize, max_bytes: usize) -> usize {
    let needed = bytes.len() + additional;
    if needed <= bytes.capacity() {
        return bytes.capacity();
    }
    needed.max((2 * bytes.capacity()).min(max_bytes))
}

#[cfg(test)]
mod tests;
