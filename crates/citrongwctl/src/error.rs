//! Errors of the command line program and their exit codes.

use derive_more::{Display, Error};

/// Error of a subcommand.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum CtlError {
    /// The subcommand failed.
    #[display("{message}")]
    Failed {
        /// Failed action, with its object and cause.
        message: String,
    },
    /// The configuration was changed by another operator first.
    #[display("{message}")]
    Conflict {
        /// Both versions, and both changes with one line per difference; or the
        /// error text of the node.
        message: String,
    },
    /// The change is committed but not in force on all nodes, or its result is
    /// unknown.
    #[display("{message}")]
    NotAccepted {
        /// State of the change, with the nodes that don't hold it if known.
        message: String,
    },
    /// The token is missing or wrong, or its role does not allow it.
    #[display("{message}")]
    NotAllowed {
        /// Reason of the rejection.
        message: String,
    },
    /// No node could be reached.
    #[display("could not reach a node: {nodes}")]
    NoNode {
        /// Comma-separated addresses of the nodes that were tried.
        nodes: String,
    },
    /// The operator did not confirm.
    #[display("not confirmed; nothing was changed")]
    NotConfirmed,
}

/// Result of a subcommand.
pub(crate) type Result<T> = std::result::Result<T, error_stack::Report<CtlError>>;

impl CtlError {
    /// Exit code of the program; 2 is reserved for invalid arguments.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Failed { .. } => 1,
            Self::Conflict { .. } => 3,
            Self::NotAccepted { .. } => 4,
            Self::NotAllowed { .. } => 5,
            Self::NoNode { .. } => 6,
            Self::NotConfirmed => 7,
        }
    }
}

/// Error with the message `could not ACTION: THING: CAUSE`.
pub(crate) fn could_not(
    action: &str,
    thing: impl std::fmt::Display,
    cause: impl std::fmt::Display,
) -> error_stack::Report<CtlError> {
    failed(format!("could not {action}: {thing}: {cause}"))
}

/// Error with a complete message.
pub(crate) fn failed(message: String) -> error_stack::Report<CtlError> {
    error_stack::Report::new(CtlError::Failed { message })
}
