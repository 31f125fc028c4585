use super::*;

#[test]
fn a_panic_becomes_an_internal_error_of_its_instance() {
    let mut reply = Vec::new();
    assert!(!guarded(&mut reply, "g", || {}));
    assert!(reply.is_empty());
    assert!(guarded(&mut reply, "g", || panic!("no {}", "server")));
    let line = "{\"what\":\"InternalError\",\"gatewayId\":\"g\",\"words\":\"no server\"}\n";
    assert_eq!(String::from_utf8_lossy(&reply), line);
}
