//! How far hand-over and shutdown of this process have come, and whether operators have quiesced it.

use super::latch::Latch;
use super::phase::PhaseCell;
use futures_lite::future;

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The process serves.
    #[default]
    Running,
    /// Connections are still accepted, and closed after their response.
    Closing,
    /// Connections that wait in the listener's queue are accepted; then it is closed.
    ListenerClosing,
    /// Nothing is decided any more: a request that is not complete by now is rejected.
    DecisionsStopped,
}

/// How far the hand-over to a successor has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HandOverPhase {
    /// This process owns the state folder.
    #[default]
    Owner,
    /// A successor was sent the state and has not yet said that it owns the folder; nothing may change meanwhile.
    HandingOver,
    /// A successor owns the folder; what still comes here is forwarded to it.
    HandedOver,
    /// The successor is gone.
    SuccessorLost,
}

/// The life cycle of a process.
#[derive(Default)]
pub struct Lifecycle {
    shutdown: PhaseCell<ShutdownPhase>,
    hand_over: PhaseCell<HandOverPhase>,
    quiesced: Latch,
}

impl Lifecycle {
    /// Enters a phase of the shutdown.
    pub fn enter_shutdown(&self, phase: ShutdownPhase) {
        self.shutdown.set(phase);
    }

    /// Whether the shutdown has begun.
    pub fn is_closing(&self) -> bool {
        self.shutdown.get() >= ShutdownPhase::Closing
    }

    /// Returns once the shutdown has begun.
    pub async fn until_closing(&self) {
        self.shutdown.until(ShutdownPhase::Closing).await;
    }

    /// Returns once the listener is to be closed: late in the shutdown, or as a successor listens.
    pub async fn until_listener_closes(&self) {
        let handed_over = self.hand_over.until(HandOverPhase::HandedOver);
        future::or(handed_over, self.shutdown.until(ShutdownPhase::ListenerClosing)).await;
    }

    /// Whether decisions have stopped for good.
    pub fn is_stopped(&self) -> bool {
        self.shutdown.get() >= ShutdownPhase::DecisionsStopped
    }

    /// Returns once decisions have stopped for good.
    pub async fn until_stopped(&self) {
        self.shutdown.until(ShutdownPhase::DecisionsStopped).await;
    }

    /// Enters a phase of the hand-over.
    pub fn enter_hand_over(&self, phase: HandOverPhase) {
        self.hand_over.set(phase);
    }

    /// Whether a successor is taking over, or has.
    pub fn is_handing_over(&self) -> bool {
        self.hand_over.get() >= HandOverPhase::HandingOver
    }

    /// Whether a successor has taken over.
    pub fn is_handed_over(&self) -> bool {
        self.hand_over.get() >= HandOverPhase::HandedOver
    }

    /// Returns once a successor has taken over.
    pub async fn until_handed_over(&self) {
        self.hand_over.until(HandOverPhase::HandedOver).await;
    }

    /// Whether the successor that had taken over is gone.
    pub fn is_successor_lost(&self) -> bool {
        self.hand_over.get() >= HandOverPhase::SuccessorLost
    }

    /// Returns once the successor that had taken over is gone.
    pub async fn until_successor_lost(&self) {
        self.hand_over.until(HandOverPhase::SuccessorLost).await;
    }

    /// Operators want clients to leave, or take that back.
    pub fn set_quiesced(&self, quiesced: bool) {
        match quiesced {
            true => self.quiesced.set(),
            false => self.quiesced.clear(),
        }
    }

    /// Whether operators want clients to leave.
    pub fn is_quiesced(&self) -> bool {
        self.quiesced.is_set()
    }

    /// Returns once operators want clients to leave.
    pub async fn until_quiesced(&self) {
        self.quiesced.wait().await;
    }
}
