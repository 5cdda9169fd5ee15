use super::*;

/// Half of the descriptors, as `Config::budget` computes it.
fn half(descriptors: usize) -> usize {
    (descriptors - 40) / 2
}

fn buffers(budget: &MemoryBudget) -> usize {
    budget.buffer_bytes + budget.response_head_bytes + budget.large_piece_bytes
}

/// The most that a process and its successor may use with this budget, with as many connections as one of them.
fn used(budget: &MemoryBudget, upstreams: usize) -> usize {
    let program = PROGRAM_BYTES + upstreams * UPSTREAM_BYTES;
    program + PROCESSES * buffers(budget) + budget.connections * pair_bytes(budget.piece_bytes)
}

#[test]
fn any_limits_leave_what_is_used_within_the_memory() {
    for memory_mb in [32, 40, 48, 64, 96, 128, 192, 2048] {
        for descriptors in [80, 256, 544, 640, 672, 1024, 4096, 65_536] {
            for upstreams in [0, 4, 400] {
                let limit = memory_mb * MIB;
                let budget = MemoryBudget::new(limit, half(descriptors), upstreams);
                let case = format!("{memory_mb} MB, {descriptors} descriptors: {budget:?}");
                assert!(used(&budget, upstreams) <= limit, "{case}");
                assert!(budget.connections <= half(descriptors), "{case}");
                assert!(buffers(&budget) >= limit / MIN_BUFFER_DIVISOR / PROCESSES, "{case}");
            }
        }
    }
}

#[test]
fn a_third_of_the_descriptors_is_served_with_the_least_memory() {
    for descriptors in [256, 640, 1024] {
        let budget = MemoryBudget::new(32 * MIB, half(descriptors), 64);
        assert!(budget.connections >= descriptors / 3, "{descriptors}: {budget:?}");
    }
}

#[test]
fn pieces_are_large_where_memory_is_ample() {
    let piece = |memory_mb: usize, descriptors| {
        MemoryBudget::new(memory_mb * MIB, half(descriptors), 20).piece_bytes
    };
    assert_eq!(piece(192, 1024), 32 * KIB);
    assert_eq!(piece(64, 672), 32 * KIB);
    assert_eq!(piece(32, 640), 8 * KIB);
    assert_eq!(piece(32, 1024), 4 * KIB);
}

#[test]
fn a_limit_below_the_program_itself_still_accepts_some_connections() {
    let budget = MemoryBudget::new(MIB, half(256), 0);
    assert_eq!((budget.connections, budget.buffer_bytes), (MIN_CONNECTIONS, 0));
}

#[test]
fn more_upstreams_leave_fewer_connections() {
    let budget = MemoryBudget::new(32 * MIB, half(1024), 4);
    assert_eq!(budget.connections_beside(4, 0), budget.connections);
    let beside_many = budget.connections_beside(1024, 0);
    let freed = (budget.connections - beside_many) * pair_bytes(budget.piece_bytes);
    assert!(
        freed + pair_bytes(budget.piece_bytes) >= (1024 - 4) * UPSTREAM_BYTES - MIB / 2,
        "{freed}"
    );
    assert_eq!(budget.connections_beside(1_000_000, 0), MIN_CONNECTIONS);
}

/// Guards against a process filling its connection table as if it were alone beside the one that it replaces (review/7).
#[test]
fn other_processes_leave_fewer_connections() {
    let budget = MemoryBudget::new(32 * MIB, 492, 15);
    let alone = budget.connections_beside(15, 0);
    let beside = budget.connections_beside(15, 20 * MIB);
    assert!(beside < alone / 4, "{beside} of {alone}");
    let most = PROGRAM_BYTES + 15 * UPSTREAM_BYTES + beside * pair_bytes(budget.piece_bytes);
    assert!(20 * MIB + most <= 32 * MIB, "{most} bytes");
    assert_eq!(budget.connections_beside(15, 40 * MIB), MIN_CONNECTIONS);
}
