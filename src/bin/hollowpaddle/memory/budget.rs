//! Divides the memory limit of the process.

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Private memory of the process without any connection or upstream.
const PROGRAM_BYTES: usize = 4 * MIB;
/// State for each listed upstream.
const UPSTREAM_BYTES: usize = 4 * KIB;
/// A client connection and an upstream connection with a request in flight between them, apart from what is read of its
/// messages.
const PAIR_BYTES: usize = 40 * KIB;
/// Pieces that such a pair may hold at the same time: one in a read buffer, one that is kept of a message without a
/// reservation, and one on its way to the peer.
pub(super) const PIECES_PER_PAIR: usize = 3;
/// The most that is ever read from a connection at a time.
pub const MAX_PIECE_BYTES: usize = 32 * KIB;
/// How much may be read from a connection at a time; the largest is used with which all connections take at most three
/// quarters of the memory. Smaller pieces cost more processor time for each byte.
const PIECE_BYTES: [usize; 4] = [MAX_PIECE_BYTES, 16 * KIB, 8 * KIB, 4 * KIB];
/// A head of up to this size is covered by [`PAIR_BYTES`], as hyper's buffers are at least as large.
const SHORT_HEAD_BYTES: usize = 8 * KIB;
/// What is reserved for a longer head, of up to 32 KiB: it is in the read buffer of one connection and in the write buffer
/// of another.
pub(super) const LONG_HEAD_RESERVATION_BYTES: usize = 64 * KIB;
/// So many responses with long heads can be read whatever else is buffered.
const RESPONSE_HEADS: usize = 4;
/// At least and at most this fraction of the limit is for buffers.
const MIN_BUFFER_DIVISOR: usize = 8;
const MAX_BUFFER_DIVISOR: usize = 4;
/// This part of the memory for buffers is for large pieces.
const LARGE_PIECE_DIVISOR: usize = 3;
/// An idle connection to an upstream, with the buffers that hyper keeps for it.
const IDLE_CONNECTION_BYTES: usize = 28 * KIB;
/// This part of the memory for connections and buffers may be held by idle connections to upstreams.
const IDLE_CONNECTIONS_DIVISOR: usize = 16;
/// While one process replaces another, both share the limit and the clients, and each has buffers of its own.
const PROCESSES: usize = 2;
/// This part of the limit is left to the growth of both, beyond what the other holds and this one has planned.
const GROWTH_RESERVE_DIVISOR: usize = 8;
/// Connections that a process accepts however low its limit is.
const MIN_CONNECTIONS: usize = 8;

/// How the memory limit of the process is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// In bytes.
    limit: usize,
    /// Maximum number of client connections, each with an upstream connection, beside the upstreams known at the start.
    pub connections: usize,
    /// Maximum number of idle connections to upstreams.
    pub idle_connections: usize,
    /// Maximum number of bytes read from a connection at a time.
    pub piece_bytes: usize,
    /// A head of more bytes needs a reservation.
    pub short_head_bytes: usize,
    /// Bytes for messages that are buffered, so that they can be sent again, and for long heads.
    pub buffer_bytes: usize,
    /// Bytes for long heads of responses alone.
    pub response_head_bytes: usize,
    /// Bytes for large pieces of large messages.
    pub large_piece_bytes: usize,
}

impl MemoryBudget {
    /// Divides `limit` bytes for a process that follows `upstreams` upstreams and has descriptors for `connections` client
    /// connections and as many to upstreams.
    pub fn new(limit: usize, connections: usize, upstreams: usize) -> Self {
        let shared = shared_bytes(limit, upstreams);
        let fits = |piece: &usize| connections * pair_bytes(*piece) <= shared / 4 * 3;
        let smallest = PIECE_BYTES[PIECE_BYTES.len() - 1];
        let piece_bytes = PIECE_BYTES.into_iter().find(fits).unwrap_or(smallest);
        let connections = connections.min(most_connections(limit, upstreams, piece_bytes));
        let rest = shared.saturating_sub(connections * pair_bytes(piece_bytes)) / PROCESSES;
        let response_head_bytes = (RESPONSE_HEADS * LONG_HEAD_RESERVATION_BYTES).min(rest / 2);
        let rest = rest - response_head_bytes;
        let large_piece_bytes = rest / LARGE_PIECE_DIVISOR;
        let buffer_bytes = (rest - large_piece_bytes).min(limit / MAX_BUFFER_DIVISOR);
        let idle_bytes = shared / IDLE_CONNECTIONS_DIVISOR;
        Self {
            limit,
            connections,
            idle_connections: (idle_bytes / IDLE_CONNECTION_BYTES)
                .clamp(MIN_CONNECTIONS, connections),
            piece_bytes,
            short_head_bytes: SHORT_HEAD_BYTES.max(piece_bytes),
            buffer_bytes,
            response_head_bytes,
            large_piece_bytes,
        }
    }

    /// Maximum number of client connections beside so many upstreams, whose state takes memory from them, and beside other
    /// processes under the same limit that hold `other_bytes`.
    pub fn connections_beside(&self, upstreams: usize, other_bytes: usize) -> usize {
        let reserve = if other_bytes > 0 { self.limit / GROWTH_RESERVE_DIVISOR } else { 0 };
        let limit = self.limit.saturating_sub(other_bytes + reserve);
        self.connections.min(most_connections(limit, upstreams, self.piece_bytes))
    }
}

/// What is left of a limit for connections and buffers, beside so many upstreams.
fn shared_bytes(limit: usize, upstreams: usize) -> usize {
    limit.saturating_sub(PROGRAM_BYTES + upstreams * UPSTREAM_BYTES)
}

/// How many connections with pieces of this size fit, with the least memory for buffers.
fn most_connections(limit: usize, upstreams: usize, piece_bytes: usize) -> usize {
    let for_pairs = shared_bytes(limit, upstreams).saturating_sub(limit / MIN_BUFFER_DIVISOR);
    (for_pairs / pair_bytes(piece_bytes)).max(MIN_CONNECTIONS)
}

fn pair_bytes(piece: usize) -> usize {
    PAIR_BYTES + PIECES_PER_PAIR * piece
}

#[cfg(test)]
mod tests;
