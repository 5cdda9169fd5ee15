use super::*;

#[test]
fn a_list_is_read_back_or_said_to_be_spoilt_at_any_cut_and_flip() {
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
fn a_list_that_could_not_be_written_is_kept_once_the_disk_takes_writes() {
    let dir = std::env::temp_dir().join(format!("keeper-retry-{}", std::process::id()));
    let keeper = Keeper::open(&dir).expect("a folder");
    std::fs::remove_dir_all(&dir).expect("removed: writes fail");
    let list = Message { revision: 7, complete: true, members: Vec::new() };
    keeper.keep(list.clone());
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
