//! The part of an engine that takes orders, without time: what it serves, what
//! weights it holds, and whether it checks fencing numbers.

use citrongw_protocol::engine::{Order, OrderKind, OrderReply};
use citrongw_state::{
    id::{AdapterId, Epoch, Incarnation, ModelId, ModelVersion},
    replica::MemberReport,
};

/// Weights that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: ModelVersion,
    /// Adapters.
    pub adapters: Vec<AdapterId>,
}

/// State of an engine as orders change it.
#[derive(Debug, Clone)]
pub struct EngineOrders {
    /// What it reports.
    pub report: MemberReport,
    /// Weights that it holds or loads.
    pub weights: Option<Weights>,
    /// Whether it refuses an order of an older epoch.
    pub honours_fencing: bool,
}

/// Opens the state of an engine that serves nothing.
pub fn open(incarnation: Incarnation, honours_fencing: bool) -> EngineOrders {
    let report =
        MemberReport { replica: None, epoch: Epoch(0), incarnation, ready: false, leaving: false };
    EngineOrders { report, weights: None, honours_fencing }
}

impl EngineOrders {
    /// Carries out an order. Weights that it holds already need no loading;
    /// otherwise it is not ready until [`EngineOrders::finish_load`].
    pub fn carry_out(&mut self, order: &Order) -> OrderReply {
        let report = &mut self.report;
        if order.incarnation != report.incarnation {
            return OrderReply::OtherIncarnation { incarnation: report.incarnation };
        }
        if self.honours_fencing && order.epoch < report.epoch {
            return OrderReply::OldEpoch { seen: report.epoch };
        }
        report.epoch = order.epoch;
        match &order.kind {
            OrderKind::Load { replica, model, version, adapters, .. } => {
                let wanted = Weights {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: adapters.clone(),
                };
                let held = report.ready && self.weights.as_ref() == Some(&wanted);
                report.replica = Some(*replica);
                report.leaving = false;
                report.ready = held;
                self.weights = Some(wanted);
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

    /// Ends the loading of weights.
    pub fn finish_load(&mut self) {
        self.report.ready = self.report.replica.is_some();
    }

    /// Starts the process anew: it serves nothing and remembers no epoch.
    pub fn restart(&mut self, incarnation: Incarnation) {
        *self = open(incarnation, self.honours_fencing);
    }
}
