//! The phases of the shutdown and the hand-over of this process, and whether operators have quiesced it.

use super::latch::Latch;
use super::phase::PhaseCell;
use futures_lite::future;

/// The phases of the shutdown, in the order in which a process enters them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The shutdown has not begun.
    #[default]
    Running,
    /// Connections are still accepted; each is closed after its response.
    Closing,
    /// The connections that wait in the listener's backlog are accepted, then the listener is closed.
    ListenerClosing,
    /// The delivery policy makes no more decisions. A request that is not complete by now is rejected.
    DecisionsStopped,
}

/// The phases of the hand-over to a successor. A hand-over that fails returns to [`HandOverPhase::Owner`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HandOverPhase {
    /// This process owns the state folder, and no hand-over is under way.
    #[default]
    Owner,
    /// A successor has asked to take over and has not yet confirmed that it owns the folder. The state must not change
    /// meanwhile.
    HandingOver,
    /// A successor owns the folder. This process forwards to it whatever it still receives.
    HandedOver,
    /// The connection to the successor that had taken over has ended.
    SuccessorLost,
}

/// The shutdown and hand-over phases of a process and whether it is quiesced, which tasks can query and wait for.
#[derive(Default)]
pub struct Lifecycle {
    shutdown: PhaseCell<ShutdownPhase>,
    hand_over: PhaseCell<HandOverPhase>,
    quiesced: Latch,
}

impl Lifecycle {
    /// Enters a phase of the shutdown and wakes the tasks that wait for it.
    pub fn enter_shutdown(&self, phase: ShutdownPhase) {
        self.shutdown.set(phase);
    }

    /// Whether the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.get() >= ShutdownPhase::Closing
    }

    /// Returns once the shutdown has begun.
    pub async fn until_shutdown(&self) {
        self.shutdown.until_entered(ShutdownPhase::Closing).await;
    }

    /// Returns once the listener is to be closed: late in the shutdown, or when a successor has taken over and listens
    /// itself.
    pub async fn until_listener_closes(&self) {
        let handed_over = self.hand_over.until_entered(HandOverPhase::HandedOver);
        future::or(handed_over, self.shutdown.until_entered(ShutdownPhase::ListenerClosing)).await;
    }

    /// Whether the delivery policy makes no more decisions because of the shutdown.
    pub fn is_delivery_stopped(&self) -> bool {
        self.shutdown.get() >= ShutdownPhase::DecisionsStopped
    }

    /// Returns once the delivery policy makes no more decisions because of the shutdown.
    pub async fn until_delivery_stopped(&self) {
        self.shutdown.until_entered(ShutdownPhase::DecisionsStopped).await;
    }

    /// Enters a phase of the hand-over and wakes the tasks that wait for it.
    pub fn enter_hand_over(&self, phase: HandOverPhase) {
        self.hand_over.set(phase);
    }

    /// Whether a successor is taking over or has taken over.
    pub fn is_handing_over(&self) -> bool {
        self.hand_over.get() >= HandOverPhase::HandingOver
    }

    /// Whether a successor has taken over, also if it was lost since.
    pub fn is_handed_over(&self) -> bool {
        self.hand_over.get() >= HandOverPhase::HandedOver
    }

    /// Returns once a successor has taken over.
    pub async fn until_handed_over(&self) {
        self.hand_over.until_entered(HandOverPhase::HandedOver).await;
    }

    /// Whether the connection to a successor that had taken over has ended.
    pub fn is_successor_lost(&self) -> bool {
        self.hand_over.get() >= HandOverPhase::SuccessorLost
    }

    /// Returns once the connection to a successor that had taken over has ended.
    pub async fn until_successor_lost(&self) {
        self.hand_over.until_entered(HandOverPhase::SuccessorLost).await;
    }

    /// Quiesces the process, which then disconnects its clients, or resumes serving them.
    pub fn set_quiesced(&self, quiesced: bool) {
        match quiesced {
            true => self.quiesced.set(),
            false => self.quiesced.clear(),
        }
    }

    /// Whether operators have quiesced the process.
    pub fn is_quiesced(&self) -> bool {
        self.quiesced.is_set()
    }

    /// Returns once operators have quiesced the process.
    pub async fn until_quiesced(&self) {
        self.quiesced.wait().await;
    }
}
