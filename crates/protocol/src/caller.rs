//! What callers send and get, in the shape of the OpenAI interface.

use citrongw_state::id::RequestId;
use serde::{Deserialize, Serialize};

use crate::code::{Outcome, ResultCode};

/// Header that carries a caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that carries the request id, in both directions.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who said it.
    pub role: String,
    /// What was said.
    pub content: String,
}

/// Body of `/v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Model.
    pub model: String,
    /// Messages so far.
    pub messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as events.
    #[serde(default)]
    pub stream: bool,
}

/// Body of `/v1/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct CompletionRequest {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as events.
    #[serde(default)]
    pub stream: bool,
}

/// Error as callers get it, alone or as the last event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong, and what became of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Number of the result code.
    pub code: u16,
    /// What it means.
    pub message: String,
    /// What became of the request.
    pub outcome: Outcome,
    /// The request.
    pub request_id: RequestId,
    /// When to try again, if that helps.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl ErrorBody {
    /// Error of a code without more detail.
    pub fn new(code: ResultCode, request_id: RequestId) -> Self {
        Self {
            error: ErrorDetail {
                code: code.number(),
                message: code.to_string(),
                outcome: code.outcome(),
                request_id,
                retry_after_s: None,
            },
        }
    }
}
