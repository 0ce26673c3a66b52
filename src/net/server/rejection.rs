//! Why a request is answered without being forwarded, and the response to it.

use super::requests::{text_response, Reply};
use hyper::header::{HeaderValue, ALLOW};
use hyper::StatusCode;
use thiserror::Error;

/// A request that no cache server may see: it does not follow the protocol.
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
        }
    }

    /// The response to the client.
    pub fn response(&self) -> Reply {
        let mut response = text_response(self.status(), self.to_string());
        if let Self::MethodNotAllowed(allowed) = self {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}
