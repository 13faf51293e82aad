//! A mutex with priorities: a link or an engine's prefill serves one request at a time.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use bilberryford_cache::TransferClass;
use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct State {
    is_locked: bool,
    waiting: BTreeMap<(TransferClass, u64), oneshot::Sender<PriorityGuard>>,
}

/// Locked by one request at a time; the highest class goes first, and within a class the lowest sequence number.
#[derive(Debug, Clone, Default)]
pub(super) struct PriorityMutex {
    state: Rc<RefCell<State>>,
}

/// Holds the lock until it is dropped.
#[derive(Debug)]
pub(super) struct PriorityGuard {
    mutex: PriorityMutex,
}

impl PriorityMutex {
    /// Waits for the lock.
    pub(super) async fn lock(&self, class: TransferClass, sequence: u64) -> PriorityGuard {
        let receiver = {
            let mut state = self.state.borrow_mut();
            if !state.is_locked {
                state.is_locked = true;
                return PriorityGuard { mutex: self.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert((class, sequence), sender);
            receiver
        };
        // The sender is dropped only when the whole run is.
        match receiver.await {
            Ok(guard) => guard,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for PriorityGuard {
    fn drop(&mut self) {
        loop {
            let next = self.mutex.state.borrow_mut().waiting.pop_first();
            let Some((_, sender)) = next else { break };
            if sender.is_closed() {
                continue;
            }
            // If the receiver is dropped meanwhile, the guard is dropped with it and passes the lock on.
            drop(sender.send(PriorityGuard { mutex: self.mutex.clone() }));
            return;
        }
        self.mutex.state.borrow_mut().is_locked = false;
    }
}
