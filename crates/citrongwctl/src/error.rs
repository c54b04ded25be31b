//! Errors of the operator program and their exit codes.

use derive_more::{Display, Error};

/// Failure of a subcommand.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum CtlError {
    /// It did not work.
    #[display("{message}")]
    Failed {
        /// What could not be done, with the thing that failed.
        message: String,
    },
    /// Somebody else changed the configuration first.
    #[display("{message}")]
    Conflict {
        /// Both sides.
        message: String,
    },
    /// The change is committed and not yet in force everywhere.
    #[display("{message}")]
    NotAccepted {
        /// The nodes that are missing.
        message: String,
    },
    /// The token is missing or wrong, or its role does not allow it.
    #[display("{message}")]
    NotAllowed {
        /// What is missing.
        message: String,
    },
    /// No node answered.
    #[display("could not reach a node: {nodes}")]
    NoNode {
        /// Those that were tried.
        nodes: String,
    },
    /// The operator did not confirm.
    #[display("not confirmed; nothing was changed")]
    NotConfirmed,
}

/// Result of a subcommand.
pub(crate) type Result<T> = std::result::Result<T, error_stack::Report<CtlError>>;

impl CtlError {
    /// Exit code of the program; 2 is left to wrong arguments.
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

/// Error that says that something could not be done.
pub(crate) fn could_not(
    action: &str,
    thing: impl std::fmt::Display,
    cause: impl std::fmt::Display,
) -> error_stack::Report<CtlError> {
    failed(format!("could not {action}: {thing}: {cause}"))
}

/// Error with a whole sentence.
pub(crate) fn failed(message: String) -> error_stack::Report<CtlError> {
    error_stack::Report::new(CtlError::Failed { message })
}
