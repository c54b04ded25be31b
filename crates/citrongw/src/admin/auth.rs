//! Authentication of operators by bearer tokens, whose digests are stored in the
//! configuration.

use citrongw_protocol::code::ResultCode;
use citrongw_state::config::{KeyDigest, Operator, Role};
use viz::{Request, RequestExt, header};

use crate::node::Shared;

/// Operator id in the change history for the token of the settings file.
const FIRST_OPERATOR: &str = "first-operator";

/// Finds the operator of a request and checks its role.
///
/// The token of the settings file is valid only while no configuration defines an
/// operator; it is meant for writing the first configuration.
pub(super) fn check(shared: &Shared, req: &Request, role: Role) -> Result<Operator, ResultCode> {
    let header: String = req.header(header::AUTHORIZATION).ok_or(ResultCode::Unauthorised)?;
    let token = header.strip_prefix("Bearer ").ok_or(ResultCode::Unauthorised)?;
    let operator = find(shared, &KeyDigest::of(token)).ok_or(ResultCode::Unauthorised)?;
    if operator.role < role {
        return Err(ResultCode::Forbidden);
    }
    Ok(operator)
}

fn find(shared: &Shared, digest: &KeyDigest) -> Option<Operator> {
    let config = shared.config.load();
    match config.as_ref() {
        Some(versioned) if !versioned.config.operators.is_empty() => {
            versioned.config.operator_by_token(digest).cloned()
        }
        _ => first_operator(shared).filter(|it| it.token_digest == *digest),
    }
}

fn first_operator(shared: &Shared) -> Option<Operator> {
    let token_digest = shared.settings.first_token_digest.clone()?;
    Some(Operator { id: FIRST_OPERATOR.into(), role: Role::Operate, token_digest })
}
