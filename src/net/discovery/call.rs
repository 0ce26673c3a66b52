//! One call of discovery, over an idle connection if there is one.

use super::listing::Listing;
use crate::net::body::{read_body, BodyError};
use crate::net::stream::Stream;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use walkpick::policy::subscription::{Call, CALL_TIMEOUT, LONG_POLL_WAIT};

/// The part of a call's time limit that is reserved for reading what has already arrived: a node that stalled
/// finds the time limit over and a long list half read.
const FINAL_READ_GRACE: Duration = Duration::from_millis(50);
/// Maximum size of a list.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Why a call returned no list.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    #[error("connect timeout")]
    ConnectTimeout,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Uri(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(#[from] BodyError),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("invalid server list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("answer timeout")]
    AnswerTimeout,
}

/// An open connection; dropping it ends the task that drives it.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes a call, over `kept` unless discovery has closed that connection meanwhile. Returns the list with the
/// connection, which can be reused. `on_answer_begins` is called when the answer starts to arrive. A call
/// ends within the sum of its time limits, however slowly the answer arrives.
pub async fn perform(
    call: Call,
    address: SocketAddr,
    kept: Option<Connection>,
    on_answer_begins: impl FnOnce(),
) -> Result<(Listing, Connection), CallError> {
    let connecting = reuse_or_connect(address, kept);
    let connected = timeout(call.connect_timeout, connecting).await;
    let mut connection = connected.unwrap_or(Err(CallError::ConnectTimeout))?;
    let listing = {
        let mut answer = pin!(request_list(&mut connection, address, call.after_version, on_answer_begins));
        match timeout(CALL_TIMEOUT - FINAL_READ_GRACE, &mut answer).await {
            Ok(answer) => answer,
            Err(_) => timeout(FINAL_READ_GRACE, answer).await.unwrap_or(Err(CallError::AnswerTimeout)),
        }
    }?;
    Ok((listing, connection))
}

async fn reuse_or_connect(address: SocketAddr, kept: Option<Connection>) -> Result<Connection, CallError> {
    if let Some(mut kept) = kept {
        if kept.sender.ready().await.is_ok() {
            return Ok(kept);
        }
    }
    connect(address).await
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = Stream::from(TcpStream::connect(address).await?);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // An error shows in the outstanding call, or in the next one.
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle() })
}

async fn request_list(
    connection: &mut Connection,
    address: SocketAddr,
    after: Option<u64>,
    on_answer_begins: impl FnOnce(),
) -> Result<Listing, CallError> {
    let path = match after {
        Some(after) => format!("/v1/servers?after={after}&wait_ms={}", LONG_POLL_WAIT.as_millis()),
        // Without a version discovery answers immediately.
        None => "/v1/servers".to_owned(),
    };
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new())?;
    let response = connection.sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    on_answer_begins();
    let body = read_body(response.into_body(), MAX_LIST_BYTES).await?;
    Ok(serde_json::from_slice(&body)?)
}
