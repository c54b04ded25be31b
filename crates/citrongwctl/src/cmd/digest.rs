//! `citrongwctl digest`: digest of a key or token, which configurations contain
//! in place of the secret.

use std::io::Read;

use citrongw_state::config::KeyDigest;

use crate::error::{Result, could_not, failed};

/// Reads a secret from standard input and prints its digest.
pub(super) fn run() -> Result<()> {
    let mut secret = String::new();
    std::io::stdin()
        .read_to_string(&mut secret)
        .map_err(|error| could_not("read", "standard input", error))?;
    let secret = secret.trim_end_matches(['\r', '\n']);
    if secret.is_empty() {
        return Err(failed("could not compute digest: standard input is empty".to_owned()));
    }
    println!("{}", KeyDigest::of(secret));
    Ok(())
}
