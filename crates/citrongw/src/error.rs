//! Errors of the `citrongw` binary, each one lower-case sentence.

use derive_more::{Display, Error};

/// Failure of a subcommand.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{message}")]
pub struct NodeError {
    /// Action that failed, with its object and cause.
    pub message: String,
}

/// Result of a subcommand.
pub type Result<T> = std::result::Result<T, error_stack::Report<NodeError>>;

/// Builds the error `could not ACTION: THING: CAUSE`.
pub fn could_not(
    action: &str,
    thing: impl std::fmt::Display,
    cause: impl std::fmt::Display,
) -> error_stack::Report<NodeError> {
    let message = format!("could not {action}: {thing}: {cause}");
    error_stack::Report::new(NodeError { message })
}
