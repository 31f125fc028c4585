use super::*;

/// Guards both ends: a request written just as the app server closes, with half a second for slow clocks and
/// lines at the usual 5 s, and connections closed that the next request would have used.
#[test]
fn idle_connections_go_shortly_before_their_app_server_closes_them() {
    let kept = kept(5_000_000);
    assert!(kept <= Duration::from_millis(4_500) && kept > Duration::from_millis(4_000), "{kept:?}");
    assert!(super::kept(0).is_zero(), "none is kept where they may be closed at once");
}
