//! Answers that come in the moment in which their time is up, the process is told to end, or their upstream moves.

use super::*;

#[test]
fn what_waits_for_its_connection_goes_to_where_its_upstream_is_by_then() {
    let late = Late::start();
    let moved = Upstream::start(|_| ok("moved"));
    let node = Node::start(&slow_to_connect(vec![member("s-0", late.address, "SERVING")]));
    let (_, mut watch) = node.discovery.watch();
    let mut client = node.client();
    client.send(&alarm("r1", 20_000, "x"));
    pause(200); // It is on its way, and cannot come up.
    let list = json!({"revision": 42, "complete": false,
        "members": [member("s-0", moved.address, "SERVING")]});
    chunk(&mut watch, &format!("{list}\n"));
    pause(200); // It is heard.
    let seen = late.open();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"moved"[..]));
    assert!(nothing_came(&seen), "it was sent to where its upstream is no longer");
}
