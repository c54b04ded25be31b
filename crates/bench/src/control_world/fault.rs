//! What fails and returns.

use citrongw_protocol::instance_list::InstanceState;
use citrongw_state::{
    id::{ModelVersion, NodeId},
    time::Time,
};
use serde::{Deserialize, Serialize};

use super::World;

/// One fault, or the end of one. Engines and nodes are named by place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An engine dies.
    Die(usize),
    /// An engine is started anew, with another incarnation.
    Restart(usize),
    /// An engine pauses.
    Pause(usize),
    /// An engine goes on as if nothing happened.
    Resume(usize),
    /// The platform takes an instance off its list.
    Unlist(usize),
    /// The platform lists an instance, which starts anew.
    Relist(usize),
    /// The platform marks an instance as leaving.
    Leave(usize),
    /// An engine's steps take this many milliseconds.
    Slow(usize, f32),
    /// An engine does not get ready with this version.
    Bad(usize, ModelVersion),
    /// The service answers nothing, or again.
    StoreDown(bool),
    /// The service is slow, or no more.
    StoreSlow(bool),
    /// This share of replies is lost.
    LostReplies(f64),
    /// A node pauses until then.
    NodePause(usize, Time),
    /// A node dies.
    NodeDie(usize),
    /// A node reaches the service, the engines: no longer or again.
    NodeCut(usize, bool, bool),
    /// A node holds these for alive.
    NodeView(usize, Vec<NodeId>),
}

/// Applies a fault. Gives the engine whose loading may have changed.
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
