//! Errors of the node program, each one lower-case sentence.

use derive_more::{Display, Error};

/// Failure of a subcommand.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{message}")]
pub struct NodeError {
    /// What could not be done, with the thing that failed.
    pub message: String,
}

/// Result of a subcommand.
pub type Result<T> = std::result::Result<T, error_stack::Report<NodeError>>;

/// Error that says that something could not be done.
pub fn could_not(
    action: &str,
    thing: impl std::fmt::Display,
    cause: impl std::fmt::Display,
) -> error_stack::Report<NodeError> {
    let message = format!("could not {action}: {thing}: {cause}");
    error_stack::Report::new(NodeError { message })
}
