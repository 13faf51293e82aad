//! Something that serves one at a time: a link or an engine's prefill.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use bilberryford_cache::TransferClass;
use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct State {
    is_busy: bool,
    waiting: BTreeMap<(TransferClass, u64), oneshot::Sender<Turn>>,
}

/// Hands out turns, the best class first and within a class in the order of tickets.
#[derive(Debug, Clone, Default)]
pub(super) struct Turns {
    state: Rc<RefCell<State>>,
}

/// A turn, given back when it is dropped.
#[derive(Debug)]
pub(super) struct Turn {
    turns: Turns,
}

impl Turns {
    /// Waits for a turn.
    pub(super) async fn enter(&self, class: TransferClass, ticket: u64) -> Turn {
        let receiver = {
            let mut state = self.state.borrow_mut();
            if !state.is_busy {
                state.is_busy = true;
                return Turn { turns: self.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert((class, ticket), sender);
            receiver
        };
        // A sender is dropped only together with the whole run.
        match receiver.await {
            Ok(turn) => turn,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        loop {
            let next = self.turns.state.borrow_mut().waiting.pop_first();
            let Some((_, sender)) = next else { break };
            if sender.is_closed() {
                continue;
            }
            // A receiver that goes away meanwhile drops the turn, which then passes it on.
            drop(sender.send(Turn { turns: self.turns.clone() }));
            return;
        }
        self.turns.state.borrow_mut().is_busy = false;
    }
}
