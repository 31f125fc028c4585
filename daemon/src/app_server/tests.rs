use super::*;

/// Guards against a request written just as the app server closes the connection, with a margin of half a second for slow
/// clocks and links at the usual 5 s, and against closing connections that the next request would have used.
#[test]
fn idle_connections_are_closed_shortly_before_their_app_server_closes_them() {
    let idle_timeout = idle_timeout(5_000_000);
    assert!(
        idle_timeout <= Duration::from_millis(4_500) && idle_timeout > Duration::from_millis(4_000),
        "{idle_timeout:?}"
    );
    assert!(super::idle_timeout(0).is_zero(), "none is kept where app servers may close them at once");
}
