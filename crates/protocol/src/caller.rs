//! Requests and responses of callers, compatible with the OpenAI API.

use citrongw_state::id::RequestId;
use serde::{Deserialize, Serialize};

use crate::code::{Outcome, ResultCode};

/// Request header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the request id, in requests and responses.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of `/v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Body of `/v1/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Text to complete.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Error response to a caller, sent as the body or as the last event of a
/// stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Cause of the error and outcome of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Number of the result code.
    pub code: u16,
    /// Text of the result code.
    pub message: String,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Id of the request.
    pub request_id: RequestId,
    /// Seconds to wait before a retry. None if a retry does not help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl ErrorBody {
    /// Creates the error of a result code, without a retry time.
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
