//! Faults that begin and end.

use citrongw_protocol::instance_list::InstanceState;
use citrongw_state::{
    id::{ModelVersion, NodeId},
    time::Time,
};
use serde::{Deserialize, Serialize};

use super::World;

/// Start or end of one fault. Engines and nodes are given by index.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An engine dies.
    Die(usize),
    /// An engine restarts with a new incarnation.
    Restart(usize),
    /// An engine pauses.
    Pause(usize),
    /// An engine resumes after a pause with its state unchanged.
    Resume(usize),
    /// The platform removes an instance from its list.
    Unlist(usize),
    /// The platform lists an instance again, and its engine restarts.
    Relist(usize),
    /// The platform marks an instance as leaving.
    Leave(usize),
    /// The decoding steps of an engine take this many milliseconds.
    Slow(usize, f32),
    /// An engine never becomes ready with this version.
    Bad(usize, ModelVersion),
    /// The store becomes unreachable (`true`) or reachable (`false`).
    StoreDown(bool),
    /// The store becomes slow (`true`) or fast (`false`).
    StoreSlow(bool),
    /// Probability with which store replies are lost.
    LostReplies(f64),
    /// A node pauses until the given time.
    NodePause(usize, Time),
    /// A node dies.
    NodeDie(usize),
    /// Sets whether a node is partitioned from the store and from the engines.
    NodeCut(usize, bool, bool),
    /// Sets the nodes that a node considers alive.
    NodeView(usize, Vec<NodeId>),
}

/// Applies a fault. Returns the engine whose weight load may have changed.
pub fn apply(world: &mut World, fault: Fault) -> Option<usize> {
    let now = world.now;
    match fault {
        Fault::Die(place) => {
            world.engines[place].touch(now);
            world.engines[place].up = false;
            return Some(place);
        }
        Fault::Restart(place) => {
            world.engines[place].touch(now);
            world.engines[place].restart();
            return Some(place);
        }
        Fault::Pause(place) => {
            world.engines[place].touch(now);
            world.engines[place].paused = true;
            return Some(place);
        }
        Fault::Resume(place) => {
            world.engines[place].paused = false;
            return Some(place);
        }
        Fault::Unlist(place) => world.engines[place].unlisted = true,
        Fault::Relist(place) => {
            world.engines[place].touch(now);
            world.engines[place].unlisted = false;
            world.engines[place].listed.state = InstanceState::Live;
            world.engines[place].restart();
            return Some(place);
        }
        Fault::Leave(place) => world.engines[place].listed.state = InstanceState::Leaving,
        Fault::Slow(place, step_ms) => world.engines[place].step_ms = step_ms,
        Fault::Bad(place, version) => world.engines[place].bad_version = Some(version),
        Fault::StoreDown(down) => world.store.down = down,
        Fault::StoreSlow(slow) => world.store.slow = slow,
        Fault::LostReplies(share) => world.store.lost_replies = share,
        Fault::NodePause(idx, until) => world.nodes[idx].paused = Some(until),
        Fault::NodeDie(idx) => world.nodes[idx].alive = false,
        Fault::NodeCut(idx, store, engines) => {
            world.nodes[idx].cut_from_store = store;
            world.nodes[idx].cut_from_engines = engines;
        }
        Fault::NodeView(idx, view) => world.nodes[idx].view = view,
    }
    None
}
