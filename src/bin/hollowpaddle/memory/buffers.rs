//! The memory for buffered messages, shared by all connections.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory for buffered messages. Where none is left, messages are streamed instead: that costs second attempts, but
/// the process does not run out of memory.
#[derive(Clone)]
pub struct BufferMemory {
    /// One permit for each byte.
    free: Arc<Semaphore>,
    /// In bytes.
    total: u32,
}

impl BufferMemory {
    /// Memory of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        let total = u32::try_from(bytes).unwrap_or(u32::MAX);
        Self { free: Arc::new(Semaphore::new(total as usize)), total }
    }

    /// The size of the memory in bytes.
    pub fn total(&self) -> usize {
        self.total as usize
    }

    /// Reserves `bytes` bytes, if that many are free.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let bytes = u32::try_from(bytes).ok()?;
        self.free.clone().try_acquire_many_owned(bytes).ok().map(Reservation)
    }

    /// Waits until `bytes` bytes are free, or all of the memory if it is smaller, and reserves them. Those who wait are
    /// served in their order, and before any [`reserve`](Self::reserve). `None` never occurs while the memory is in use.
    pub async fn wait_for(&self, bytes: usize) -> Option<Reservation> {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX).min(self.total);
        self.free.clone().acquire_many_owned(bytes).await.ok().map(Reservation)
    }
}

/// Reserved memory; free again when dropped.
pub struct Reservation(OwnedSemaphorePermit);

impl Reservation {
    /// Gives back what is reserved beyond the size of `data`; the rest stays reserved until the last copy of the returned
    /// bytes is dropped.
    pub fn attach(mut self, data: Bytes) -> Bytes {
        let excess = self.0.num_permits().saturating_sub(data.len());
        drop(self.0.split(excess));
        Bytes::from_owner(ReservedBytes { data, _reservation: self })
    }
}

struct ReservedBytes {
    data: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

#[cfg(test)]
mod tests;
