//! Arguments of the operator program.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use std::{net::SocketAddr, path::PathBuf};

use citrongw_state::id::{
    InstanceId, NodeId, ProfileId, ReplicaId, RequestId, Revision, ServiceId,
};

use crate::edit::Pair;

xflags::xflags! {
    /// Operator program of citrongw. Talks to any node.
    ///
    /// Exit codes: 0 done; 1 failed; 2 wrong arguments; 3 conflict with another
    /// change; 4 committed, not yet accepted by all; 5 not allowed; 6 no node
    /// reached; 7 not confirmed by the operator.
    cmd citrongwctl {
        /// Operators' address of a node; several are tried in turn.
        repeated --node addr: SocketAddr
        /// Bearer token; the variable CITRONGW_TOKEN holds it otherwise.
        optional --token token: String
        /// Print JSON in place of tables.
        optional --json
        /// Don't ask before dangerous acts.
        optional --yes

        /// Profiles: how classes of traffic are treated.
        cmd profile {
            /// Lists all profiles.
            cmd list {}
            /// Shows one profile.
            cmd show {
                /// Profile.
                required id: ProfileId
            }
            /// Creates a profile from key=value pairs or a file.
            cmd create {
                /// Profile.
                required id: ProfileId
                /// Fields, such as deadline_ms=30000.
                repeated pairs: Pair
                /// JSON file with the fields.
                optional --file path: PathBuf
                /// Version that the change is made from; the newest otherwise.
                optional --base revision: Revision
            }
            /// Edits a profile.
            cmd edit {
                /// Profile.
                required id: ProfileId
                /// Fields, such as deadline_ms=30000; an empty value removes one.
                repeated pairs: Pair
                /// JSON file with the fields.
                optional --file path: PathBuf
                /// Version that the change is made from; the newest otherwise.
                optional --base revision: Revision
            }
            /// Retires a profile that no service runs under.
            cmd retire {
                /// Profile.
                required id: ProfileId
                /// Version that the change is made from; the newest otherwise.
                optional --base revision: Revision
            }
        }

        /// Services: who calls, under which profile.
        cmd service {
            /// Lists all services.
            cmd list {}
            /// Lets a service run under a profile.
            cmd assign {
                /// Service.
                required id: ServiceId
                /// Profile.
                required profile: ProfileId
                /// Version that the change is made from; the newest otherwise.
                optional --base revision: Revision
            }
        }

        /// Replicas.
        cmd replica {
            /// Lists all replicas.
            cmd list {}
            /// Shows one replica.
            cmd show {
                /// Replica.
                required id: ReplicaId
            }
            /// Lets a replica finish its work and takes it apart.
            cmd drain {
                /// Replica.
                required id: ReplicaId
            }
        }

        /// Backend servers.
        cmd server {
            /// Gives an instance no new work.
            cmd leave {
                /// Instance.
                required id: InstanceId
            }
            /// Lets an instance serve again.
            cmd return {
                /// Instance.
                required id: InstanceId
            }
        }

        /// Nodes of citrongw.
        cmd node {
            /// Lists the live nodes.
            cmd list {}
            /// Starts the planned stop of a node.
            cmd stop {
                /// Node.
                required id: NodeId
            }
        }

        /// The configuration as a whole.
        cmd config {
            /// Lists the last changes.
            cmd history {}
            /// Shows what changed between two versions.
            cmd diff {
                /// Older version.
                required from: Revision
                /// Newer version; the newest otherwise.
                optional to: Revision
            }
            /// Shows the configuration in force, or an earlier one.
            cmd show {
                /// Version.
                optional revision: Revision
            }
            /// Writes the whole configuration from a file.
            cmd put {
                /// JSON file.
                required path: PathBuf
                /// Version that the change is made from; the newest otherwise.
                optional --base revision: Revision
            }
        }

        /// What is not serving, since when, and what is done about it.
        cmd status {}

        /// What the system decided, and why.
        cmd explain {
            /// About a request.
            cmd request {
                /// Request.
                required id: RequestId
            }
            /// About a replica.
            cmd replica {
                /// Replica.
                required id: ReplicaId
            }
            /// The last refusals.
            cmd refusals {}
        }

        /// State of a node as JSON.
        cmd dump {}

        /// Level of a node's logs, such as info or citrongw=debug.
        cmd log {
            /// Level.
            required level: String
        }

        /// Digest of a key or token read from standard input.
        cmd digest {}
    }
}
