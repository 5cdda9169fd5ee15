use super::*;

#[test]
fn unreadable_entries_do_not_affect_the_others() {
    let line = r#"{"revision":43,"complete":true,"members":[
        {"id":"a","host_port":"10.1.0.18:8081","cell":3,"phase":"SERVING","size":1.0,"up_since_ms":5,"new":1},
        {"id":7},{"id":"b","phase":"RESTING"}]}"#;
    let mut list: Message = serde_json::from_str(line).expect("read");
    assert_eq!(list.members.len(), 2);
    assert_eq!(list.members[1].phase, Phase::Unknown);
    let again = String::from_utf8(list.line()).expect("JSON");
    assert!(again.contains("\"up_since_ms\":5}"), "{again}");
    let stored = postcard::to_stdvec(&list).expect("stored");
    assert_eq!(postcard::from_bytes::<Message>(&stored), Ok(list.clone()));
    let gone = Member { phase: Phase::Deleted, ..list.members[0].clone() };
    list.update(&Message { revision: 44, complete: false, members: vec![gone] });
    assert_eq!((list.revision, list.complete, list.members.len()), (44, true, 1));
}

#[test]
fn service_is_written_only_when_set_and_validated() {
    let of = |service: &str| -> Member {
        let entry = serde_json::json!(
            {"id": "a", "host_port": "127.0.0.1:9", "phase": "SERVING", "service": service});
        serde_json::from_value(entry).expect("a member")
    };
    let text = |member: &Member| serde_json::to_string(member).expect("JSON");
    let plain = r#"{"id":"a","host_port":"127.0.0.1:9","locality":"","flavor":"","cell":0,"phase":"SERVING","size":1.0,"up_since_ms":0}"#;
    assert_eq!(text(&of("")), plain, "as PROTOCOL shows it");
    assert!(text(&of("shop")).ends_with(r#""up_since_ms":0,"service":"shop"}"#));
    assert_eq!(serde_json::from_str::<Member>(&text(&of("shop"))).ok(), Some(of("shop")));
    let longest = "x".repeat(MAX_SERVICE_BYTES);
    for sound in ["", "shop", "a b/c&d=é%", &longest] {
        assert_eq!(of(sound).fault(), None, "{sound:?}");
    }
    for bad in ["a,b", "a\nb", "\u{7f}", &format!("{longest}x")] {
        assert_eq!(of(bad).fault().map(|f| f.0), Some("service"), "{bad:?}");
    }
}
