//! Shares of servers' connection limits.

use sardineshore_serve::attempt::connection_share;

#[test]
fn connection_share_is_equal_and_at_least_one() {
    assert_eq!(connection_share(280, 1), 238);
    assert_eq!(connection_share(280, 9), 26);
    assert_eq!(
        [0, 1, 2, 3].map(|limit| connection_share(limit, 1)),
        [1, 1, 1, 2]
    );
    assert_eq!(connection_share(50, 77), 1);
    assert_eq!(connection_share(50, 0), 42);
}

/// Guards against instances that stand still for seconds at each request, as the share took as many steps
/// as the limit has connections.
#[test]
fn connection_share_of_huge_limit_takes_one_step() {
    let shares = (0..100_000).map(|instances| connection_share(u32::MAX, instances));
    assert_eq!(shares.max(), Some(3_650_722_200));
}
