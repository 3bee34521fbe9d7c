//! An engine that ends under deadly requests, and starts again.

use std::collections::VecDeque;

/// One engine.
#[derive(Debug, Default)]
pub(super) struct MortalEngine {
    /// Its life; it rises with each start.
    pub life: u32,
    /// Whether it is down.
    pub is_down: bool,
    running: Vec<usize>,
    waiting: VecDeque<usize>,
}

impl MortalEngine {
    /// Takes a request. Returns whether there was room, and whether it begins to run.
    pub fn take(&mut self, request: usize, slots: usize, places: usize) -> (bool, bool) {
        if self.running.len() < slots {
            self.running.push(request);
            return (true, true);
        }
        let has_room = self.waiting.len() < places;
        if has_room {
            self.waiting.push_back(request);
        }
        (has_room, false)
    }

    /// Ends a request. Returns the one that begins in its place.
    pub fn finish(&mut self, request: usize) -> Option<usize> {
        let at = self.running.iter().position(|it| *it == request)?;
        self.running.swap_remove(at);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Ends the engine, with all that it has.
    pub fn end(&mut self) -> Vec<usize> {
        self.is_down = true;
        let running = std::mem::take(&mut self.running);
        running.into_iter().chain(std::mem::take(&mut self.waiting)).collect()
    }

    /// Starts it again.
    pub fn start(&mut self) {
        self.is_down = false;
        self.life += 1;
    }

    /// How many requests it has.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}
