//! A simulated engine that crashes and restarts.

use std::collections::VecDeque;

/// The state of one simulated engine.
#[derive(Debug, Default)]
pub(super) struct SimulatedEngine {
    /// Incarnation of the engine; rises with each restart.
    pub incarnation: u32,
    /// Whether the engine is down.
    pub is_down: bool,
    running: Vec<usize>,
    waiting: VecDeque<usize>,
}

impl SimulatedEngine {
    /// Offers a request. Returns whether it was accepted, and whether it starts to run at once.
    pub fn accept(&mut self, request: usize, slots: usize, queue_limit: usize) -> (bool, bool) {
        if self.running.len() < slots {
            self.running.push(request);
            return (true, true);
        }
        let is_accepted = self.waiting.len() < queue_limit;
        if is_accepted {
            self.waiting.push_back(request);
        }
        (is_accepted, false)
    }

    /// Finishes a running request. Returns the waiting request that starts in its slot.
    pub fn finish_request(&mut self, request: usize) -> Option<usize> {
        let at = self.running.iter().position(|it| *it == request)?;
        self.running.swap_remove(at);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Stops the engine. Returns all requests that were running or waiting.
    pub fn crash(&mut self) -> Vec<usize> {
        self.is_down = true;
        let running = std::mem::take(&mut self.running);
        running.into_iter().chain(std::mem::take(&mut self.waiting)).collect()
    }

    /// Restarts the engine with a new incarnation.
    pub fn start(&mut self) {
        self.is_down = false;
        self.incarnation += 1;
    }

    /// Returns the number of running and waiting requests.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}
