//! Client of the admin API of the nodes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use citrongw_protocol::{
    caller::{ErrorBody, ErrorDetail},
    code::ResultCode,
};
use citrongw_transport::http_client::{self, HttpClient, HttpError};
use http::{Method, Request, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{CtlError, Result, could_not};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Admin address that is used if no `--node` is given.
const DEFAULT_NODE: ([u8; 4], u16) = ([127, 0, 0, 1], 8082);
/// Environment variable with the bearer token.
const TOKEN_VARIABLE: &str = "CITRONGW_TOKEN";

/// Client of the admin API.
#[derive(Debug)]
pub(crate) struct Client {
    http: HttpClient,
    nodes: Vec<SocketAddr>,
    token: String,
}

/// Result of a call that changes state.
#[derive(Debug)]
pub(crate) enum SendOutcome<T> {
    /// The node responded.
    Response(T),
    /// The node did not respond; the call may have taken effect.
    NoResponse,
}

/// Creates a client; fails if there is no token.
pub(crate) fn open(nodes: Vec<SocketAddr>, token: Option<String>) -> Result<Client> {
    let token = token.or_else(|| std::env::var(TOKEN_VARIABLE).ok()).ok_or_else(|| {
        let message = format!("no token: pass --token or set {TOKEN_VARIABLE}");
        error_stack::Report::new(CtlError::NotAllowed { message })
    })?;
    let nodes = if nodes.is_empty() { vec![SocketAddr::from(DEFAULT_NODE)] } else { nodes };
    Ok(Client { http: http_client::open(), nodes, token })
}

impl Client {
    /// Whether only one node is configured.
    pub(crate) fn has_single_node(&self) -> bool {
        self.nodes.len() == 1
    }

    /// Reads from the first node that responds.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        for node in &self.nodes {
            match self.call(*node, Method::GET, path, Bytes::new()).await {
                Ok(body) => return parse(path, &body),
                Err(
                    HttpError::NotReached | HttpError::ConnectionRefused | HttpError::Interrupted,
                ) => {}
                Err(error) => return Err(response_error(path, &error)),
            }
        }
        Err(self.unreachable())
    }

    /// Sends a change to the first reachable node. An unreachable node received
    /// nothing; a node that was reached and did not respond may have made the
    /// change, so no other node is tried.
    pub(crate) async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<SendOutcome<T>> {
        let body = serde_json::to_vec(body).map_err(|error| could_not("write", path, error))?;
        let body = Bytes::from(body);
        for node in &self.nodes {
            match self.call(*node, method.clone(), path, body.clone()).await {
                Ok(body) => return parse(path, &body).map(SendOutcome::Response),
                Err(HttpError::NotReached | HttpError::ConnectionRefused) => {}
                Err(HttpError::Interrupted | HttpError::InvalidResponse) => {
                    return Ok(SendOutcome::NoResponse);
                }
                Err(error) => return Err(response_error(path, &error)),
            }
        }
        Err(self.unreachable())
    }

    async fn call(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> std::result::Result<Bytes, HttpError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|_| HttpError::NotReached)?;
        let exchange = async {
            let response = self.http.send(request).await?;
            let status = response.status();
            let body = http_client::read_bytes(response.into_body()).await?;
            if status.is_success() {
                return Ok(body);
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            Err(HttpError::Status { status: status.as_u16(), body })
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap_or(Err(HttpError::Interrupted))
    }

    fn unreachable(&self) -> error_stack::Report<CtlError> {
        let nodes: Vec<String> = self.nodes.iter().map(ToString::to_string).collect();
        error_stack::Report::new(CtlError::NoNode { nodes: nodes.join(", ") })
    }
}

fn parse<T: DeserializeOwned>(path: &str, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| could_not("decode response", path, error))
}

fn response_error(path: &str, error: &HttpError) -> error_stack::Report<CtlError> {
    let detail = match error {
        HttpError::Status { body, .. } => serde_json::from_str::<ErrorBody>(body).ok(),
        _ => None,
    };
    match detail {
        Some(ErrorBody { error }) => error_stack::Report::new(from_error_detail(&error)),
        None => could_not("call", path, error),
    }
}

fn from_error_detail(detail: &ErrorDetail) -> CtlError {
    let message = format!("{} (code {})", detail.message, detail.code);
    match ResultCode::from_number(detail.code) {
        Some(ResultCode::Unauthorised | ResultCode::Forbidden) => CtlError::NotAllowed { message },
        Some(ResultCode::EditConflict) => CtlError::Conflict { message },
        _ => CtlError::Failed { message },
    }
}
