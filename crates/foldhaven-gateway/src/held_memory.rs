//! Reserves the memory of bodies and answers before they are read.

use std::sync::Arc;

use foldhaven_core::opaque::held_memory::{HeldClass, HeldKind, HeldLimits, SizeClass};
use foldhaven_core::units::ByteSize;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Counts the memory of the bodies and answers that are read, wait or are sent.
pub struct HeldMemory {
    limits: HeldLimits,
    /// The free bytes of each class.
    free: [Arc<Semaphore>; HeldClass::COUNT],
}

impl HeldMemory {
    /// Creates a counter for a VM with this memory.
    pub fn of_vm(memory: ByteSize) -> Self {
        let limits = HeldLimits::of_vm(memory);
        let mut classes = HeldClass::all().map(|class| Semaphore::new(limits.limit(class)));
        let free = std::array::from_fn(|_| Arc::new(classes.next().expect("one for each class")));
        Self { limits, free }
    }

    /// Returns the memory in use, in bytes.
    pub fn used(&self) -> usize {
        HeldClass::all().map(|class| self.limits.limit(class) - self.free(class)).sum()
    }

    fn free(&self, class: HeldClass) -> usize {
        self.free[class.index()].available_permits()
    }

    /// Waits until there is memory for `bytes`, first come, first served among those of the same
    /// class. What is larger than the whole class takes all of it.
    pub async fn take(&self, kind: HeldKind, bytes: usize) -> HeldBytes {
        let class = HeldClass { kind, size: SizeClass::of(bytes) };
        let bytes = u32::try_from(bytes.min(self.limits.limit(class))).unwrap_or(u32::MAX);
        let taking = self.free[class.index()].clone().acquire_many_owned(bytes);
        HeldBytes { permit: taking.await.expect("the semaphores are never closed") }
    }
}

/// Reserved memory, released when it is dropped.
pub struct HeldBytes {
    permit: OwnedSemaphorePermit,
}

impl HeldBytes {
    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        drop(self.permit.split(self.permit.num_permits().saturating_sub(bytes)));
    }
}
