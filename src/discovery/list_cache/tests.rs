use super::*;

#[test]
fn truncated_or_corrupted_list_is_rejected() {
    let dir = std::env::temp_dir().join(format!("keeper-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    assert!(read(&dir).is_ok_and(|l| l.is_none()));
    let member = serde_json::json!({"id": "a", "host_port": "127.0.0.1:9", "phase": "SERVING"});
    let member = serde_json::from_value(member).expect("a member");
    let list = Message { revision: 7, complete: true, members: vec![member] };
    write(&dir, &list).expect("written");
    assert_eq!(read(&dir).expect("sound"), Some(list));
    let path = dir.join(FILE);
    let data = std::fs::read(&path).expect("there");
    for i in 0..data.len() {
        std::fs::write(&path, &data[..i]).expect("cut");
        assert!(read(&dir).is_err(), "cut at {i}");
        let mut flipped = data.clone();
        flipped[i] ^= 0x10;
        std::fs::write(&path, &flipped).expect("flipped");
        assert!(read(&dir).is_err(), "flipped at {i}");
    }
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn failed_write_is_retried_without_further_updates() {
    let dir = std::env::temp_dir().join(format!("keeper-retry-{}", std::process::id()));
    let cache = ListCache::open(&dir).expect("a folder");
    std::fs::remove_dir_all(&dir).expect("removed: writes fail");
    let list = Message { revision: 7, complete: true, members: Vec::new() };
    cache.keep(list.clone());
    thread::sleep(Duration::from_millis(100));
    std::fs::create_dir_all(&dir).expect("a folder again");
    let from = std::time::Instant::now();
    while read(&dir).ok().flatten().as_ref() != Some(&list) {
        assert!(
            from.elapsed() < Duration::from_secs(20),
            "no news came since, and nothing is kept"
        );
        thread::sleep(Duration::from_millis(10));
    }
    std::fs::remove_dir_all(&dir).expect("removed");
}
