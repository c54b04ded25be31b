//! Order handling of an engine, independent of time: its replica, its loaded
//! weights, and the check of epochs as fencing tokens.

use citrongw_protocol::engine::{Order, OrderKind, OrderReply};
use citrongw_state::{
    id::{AdapterId, Epoch, Incarnation, ModelId, ModelVersion},
    replica::MemberReport,
};

/// Model weights of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// Model that the weights belong to.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapters loaded with the model.
    pub adapters: Vec<AdapterId>,
}

/// State of an engine that orders change.
#[derive(Debug, Clone)]
pub struct EngineOrders {
    /// Member report of the engine.
    pub report: MemberReport,
    /// Weights that are loaded or loading.
    pub weights: Option<Weights>,
    /// Whether orders of an older epoch are refused.
    pub enforces_fencing: bool,
}

/// Creates the state of an engine without a replica.
pub fn open(incarnation: Incarnation, enforces_fencing: bool) -> EngineOrders {
    let report =
        MemberReport { replica: None, epoch: Epoch(0), incarnation, ready: false, leaving: false };
    EngineOrders { report, weights: None, enforces_fencing }
}

impl EngineOrders {
    /// Executes an order. If the weights are already loaded, the engine stays
    /// ready; otherwise it is not ready until [`EngineOrders::finish_load`].
    pub fn execute(&mut self, order: &Order) -> OrderReply {
        let report = &mut self.report;
        if order.incarnation != report.incarnation {
            return OrderReply::OtherIncarnation { incarnation: report.incarnation };
        }
        if self.enforces_fencing && order.epoch < report.epoch {
            return OrderReply::OldEpoch { seen: report.epoch };
        }
        report.epoch = order.epoch;
        match &order.kind {
            OrderKind::Load { replica, model, version, adapters, .. } => {
                let requested = Weights {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: adapters.clone(),
                };
                let already_loaded = report.ready && self.weights.as_ref() == Some(&requested);
                report.replica = Some(*replica);
                report.leaving = false;
                report.ready = already_loaded;
                self.weights = Some(requested);
            }
            OrderKind::Drain => report.leaving = true,
            OrderKind::Release => {
                report.replica = None;
                report.ready = false;
                report.leaving = false;
                self.weights = None;
            }
        }
        OrderReply::Taken
    }

    /// Completes the loading of weights.
    pub fn finish_load(&mut self) {
        self.report.ready = self.report.replica.is_some();
    }

    /// Simulates a restart of the process: replica, weights and epoch are reset.
    pub fn restart(&mut self, incarnation: Incarnation) {
        *self = open(incarnation, self.enforces_fencing);
    }
}
