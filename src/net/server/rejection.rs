//! Why a request is answered without being forwarded, and the response to it.

use super::requests::{text_response, Reply};
use hyper::header::{HeaderValue, ALLOW, RETRY_AFTER};
use hyper::StatusCode;
use thiserror::Error;

/// When a client whose request found no memory should retry it.
const RETRY_AFTER_SECONDS: &str = "0.5";

/// Why no cache server may see a request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Rejection {
    #[error("no path")]
    NoPath,
    #[error("no such path")]
    UnknownPath,
    /// Only these methods are allowed for the path.
    #[error("no such method; allowed: {0}")]
    MethodNotAllowed(&'static str),
    #[error("{0}")]
    InvalidHeaders(&'static str),
    #[error("the body is larger than 64 KiB")]
    BodyTooLarge,
    #[error("the body broke off")]
    BodyIncomplete,
    #[error("the body did not come in time")]
    BodyTimeout,
    /// Nobody waits for an answer.
    #[error("the client has left")]
    ClientLeft,
    /// A refusal: the request has not been forwarded, and its client may retry it.
    #[error("no memory left for the request: try again later")]
    NoMemory,
}

impl Rejection {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoPath | Self::InvalidHeaders(_) | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::ClientLeft | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The response to the client.
    pub fn response(&self) -> Reply {
        let mut response = text_response(self.status(), self.to_string());
        let header = match self {
            Self::MethodNotAllowed(allowed) => (ALLOW, HeaderValue::from_static(allowed)),
            Self::NoMemory => (RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS)),
            _ => return response,
        };
        response.headers_mut().extend([header]);
        response
    }

    /// The same response as text, for a connection on which no request could be read. It closes.
    pub fn text(&self) -> String {
        let (status, body) = (self.status(), self.to_string());
        format!(
            "HTTP/1.1 {status}\r\nRetry-After: {RETRY_AFTER_SECONDS}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
