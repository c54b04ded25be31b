//! Operator actions on replicas and instances, each as one change of a domain's
//! record.

use std::sync::Arc;

use citrongw_coordination::control::operator_change::{self, OperatorChange, OperatorChangeError};
use citrongw_protocol::{
    admin::{ActionReply, ActionRequest},
    code::ResultCode,
    gossip_item::{GossipItem, LeavingInstance},
};
use citrongw_state::{
    config::{Operator, Role},
    id::{FabricDomainId, Incarnation, InstanceId, ReplicaId},
};
use viz::Request;

use super::{
    handler::{Handler, handler},
    path_param, read_json,
};
use crate::node::Shared;

/// `POST /admin/replicas/:id/drain`.
pub(super) fn drain(shared: &Arc<Shared>) -> impl Fn(Request) -> Handler + Clone + use<> {
    handler(shared, Role::Operate, |shared, operator, req| async move {
        let replica: ReplicaId = path_param(&req)?;
        let domain = domain_of(&shared, replica).ok_or(ResultCode::NotFound)?;
        act(&shared, &operator, req, &domain, OperatorChange::Drain(replica)).await
    })
}

/// `POST /admin/instances/:id/leave`. As soon as the change is recorded it is
/// published to all nodes, so that none sends new requests to the instance.
pub(super) fn leave(shared: &Arc<Shared>) -> impl Fn(Request) -> Handler + Clone + use<> {
    handler(shared, Role::Operate, |shared, operator, req| async move {
        let found = find_instance(&shared, &path_param(&req)?).ok_or(ResultCode::NotFound)?;
        let TargetInstance { instance, incarnation, domain } = found;
        let change = OperatorChange::Leave(instance.clone(), incarnation);
        let reply = act(&shared, &operator, req, &domain, change).await?;
        if reply == ActionReply::Recorded {
            shared.gossip.publish(GossipItem::Leaving(LeavingInstance { instance, incarnation }));
        }
        Ok(reply)
    })
}

/// `POST /admin/instances/:id/return`.
pub(super) fn return_instance(shared: &Arc<Shared>) -> impl Fn(Request) -> Handler + Clone + use<> {
    handler(shared, Role::Operate, |shared, operator, req| async move {
        let found = find_instance(&shared, &path_param(&req)?).ok_or(ResultCode::NotFound)?;
        let change = OperatorChange::Return(found.instance, found.incarnation);
        act(&shared, &operator, req, &found.domain, change).await
    })
}

async fn act(
    shared: &Shared,
    operator: &Operator,
    mut req: Request,
    domain: &FabricDomainId,
    change: OperatorChange,
) -> Result<ActionReply, ResultCode> {
    let request: ActionRequest = read_json(&mut req).await?;
    let res =
        operator_change::request_change(shared.store.as_ref(), domain, &change, request.attempt)
            .await;
    tracing::info!(
        operator = %operator.id, %domain, ask = ?change, ?res,
        "operator action on a domain record"
    );
    Ok(match res {
        Ok(_) => ActionReply::Recorded,
        Err(OperatorChangeError::NoAnswer) => ActionReply::Unknown,
        Err(error) => ActionReply::Refused { reason: error.to_string() },
    })
}

fn domain_of(shared: &Shared, replica: ReplicaId) -> Option<FabricDomainId> {
    let records = shared.records.records();
    let found = records.iter().find(|(_, (record, _))| {
        let draining = record.draining.iter().map(|it| &it.spec);
        record.replicas.iter().chain(draining).any(|it| it.id == replica)
    });
    found.map(|(domain, _)| domain.clone())
}

/// Instance and incarnation that an action applies to.
struct TargetInstance {
    instance: InstanceId,
    incarnation: Incarnation,
    domain: FabricDomainId,
}

/// Finds an instance. Its incarnation is that of the replica member, or else the one
/// that the platform lists.
fn find_instance(shared: &Shared, id: &InstanceId) -> Option<TargetInstance> {
    let listed = shared.instances.load_full()?;
    let listed = listed.iter().find(|it| it.id == *id)?;
    let records = shared.records.records();
    let record = records.get(&listed.domain).map(|(record, _)| record);
    let member = record.and_then(|it| it.allocated_members().find(|it| it.instance == *id));
    Some(TargetInstance {
        instance: id.clone(),
        incarnation: member.map_or(listed.incarnation, |it| it.incarnation),
        domain: listed.domain.clone(),
    })
}
