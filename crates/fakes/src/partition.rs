//! Fake of a partition between one client and all its servers. The client reaches the
//! servers through one middlebox each, whose addresses it is given by [`Partition::map`].

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use crate::middlebox::{self, Middlebox};

/// What happens to connections while the partition lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections open, and nothing passes.
    Silent,
    /// Open connections are closed and new ones refused.
    Refuse,
    /// Open connections go on and new ones are refused.
    RefuseNew,
}

#[derive(Debug, Default)]
struct State {
    cut: Option<Cut>,
    is_armed: bool,
    middleboxes: HashMap<SocketAddr, Middlebox>,
}

/// Partition of one client. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Partition {
    state: Arc<Mutex<State>>,
}

impl Partition {
    /// Puts middleboxes before the servers. Connections that are open by now stay as they
    /// are.
    pub fn arm(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).is_armed = true;
    }

    /// Begins a cut, or ends it.
    pub fn set(&self, cut: Option<Cut>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.cut = cut;
        for middlebox in state.middleboxes.values() {
            middlebox.set_silent(cut == Some(Cut::Silent));
        }
        if cut == Some(Cut::Refuse) {
            state.middleboxes.clear();
        }
    }

    /// Address to connect to in place of a server's.
    pub fn map(&self, server: SocketAddr) -> SocketAddr {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.is_armed {
            return server;
        }
        if matches!(state.cut, Some(Cut::Refuse | Cut::RefuseNew)) {
            // No server listens at this port.
            return SocketAddr::new(server.ip(), 1);
        }
        let is_silent = state.cut == Some(Cut::Silent);
        if let Some(middlebox) = state.middleboxes.get(&server) {
            return middlebox.local_addr();
        }
        match middlebox::bind_now(SocketAddr::new(server.ip(), 0), server) {
            Ok(middlebox) => {
                middlebox.set_silent(is_silent);
                let addr = middlebox.local_addr();
                state.middleboxes.insert(server, middlebox);
                addr
            }
            Err(error) => {
                tracing::error!(%error, "could not bind a middlebox");
                server
            }
        }
    }
}
