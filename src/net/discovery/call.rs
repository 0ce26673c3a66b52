//! One call of discovery, over the kept connection where there is one.

use super::listing::Listing;
use crate::net::stream::Stream;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
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

/// So much of a call's time is for what has come already: a node that stood still finds its time over and a long list
/// half read.
const LAST_LOOK: Duration = Duration::from_millis(50);
/// A list longer than this is no list.
const LARGEST: usize = 8 << 20;

/// Why a call brought no list.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    #[error("no connection in time")]
    NotConnected,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Uri(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("not a list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("no answer in time")]
    Overdue,
}

/// An open connection; its driving task ends with it.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Carries a call out, over `kept` where discovery has not closed it meanwhile. Returns the connection with the list:
/// it may carry another call. `answer_begins` is called when the answer begins to come. A call ends within the sum of
/// its times, however little of an answer comes.
pub async fn perform(
    call: Call,
    address: SocketAddr,
    kept: Option<Connection>,
    answer_begins: impl FnOnce(),
) -> Result<(Listing, Connection), CallError> {
    let connecting = usable_or_new(address, kept);
    let connected = timeout(call.connect_timeout, connecting).await;
    let mut connection = connected.unwrap_or(Err(CallError::NotConnected))?;
    let listing = {
        let mut answer = pin!(ask(&mut connection, address, call.after_version, answer_begins));
        match timeout(CALL_TIMEOUT - LAST_LOOK, &mut answer).await {
            Ok(answer) => answer,
            Err(_) => timeout(LAST_LOOK, answer).await.unwrap_or(Err(CallError::Overdue)),
        }
    }?;
    Ok((listing, connection))
}

async fn usable_or_new(address: SocketAddr, kept: Option<Connection>) -> Result<Connection, CallError> {
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
        // How it ends shows at the call that is out, or at the next one.
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle() })
}

async fn ask(
    connection: &mut Connection,
    address: SocketAddr,
    after: Option<u64>,
    answer_begins: impl FnOnce(),
) -> Result<Listing, CallError> {
    let path = match after {
        Some(after) => format!("/v1/servers?after={after}&wait_ms={}", LONG_POLL_WAIT.as_millis()),
        // Without a version the call does not wait.
        None => "/v1/servers".to_owned(),
    };
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new())?;
    let response = connection.sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    answer_begins();
    let body = Limited::new(response.into_body(), LARGEST).collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
