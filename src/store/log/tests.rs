use super::*;

struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("store-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }
    fn open(&self) -> Result<Opened, StoreError> {
        Log::open(&self.0, Recovery::Strict, None)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn reopened_log_holds_its_records_and_is_locked_while_open() {
    let dir = Dir::new("reopen");
    let mut log = dir.open().expect("opens").log;
    assert!(matches!(dir.open(), Err(StoreError::InUse(_))));
    log.append(&["a", "b"]).expect("written");
    log.compact(b"a+b").expect("compacted");
    log.append(&["c"]).expect("written");
    drop(log);
    let opened = dir.open().expect("opens");
    assert_eq!(opened.snapshot.as_deref(), Some(&b"a+b"[..]));
    assert_eq!((opened.records, opened.cut), (vec![b"c".to_vec()], 0));
    assert_eq!(opened.log.sequence(), 3);
}

#[test]
fn torn_last_record_is_cut_off() {
    let dir = Dir::new("cut");
    let mut log = dir.open().expect("opens").log;
    log.append(&["first", "second"]).expect("written");
    let complete = log.length();
    log.append(&["the last"]).expect("written");
    let path = log.path.clone();
    drop(log);
    let data = fs::read(&path).expect("readable");
    for cut in complete..data.len() as u64 {
        fs::write(&path, &data[..cut as usize]).expect("cut");
        let opened = dir.open().expect("a torn record is not an error");
        assert_eq!((opened.records.len(), opened.cut), (2, cut - complete));
    }
}

#[test]
fn corrupt_record_is_refused_unless_recovery_is_requested() {
    let dir = Dir::new("flip");
    let mut log = dir.open().expect("opens").log;
    log.append(&["zero"]).expect("written");
    log.compact(b"snapshot").expect("compacted");
    log.append(&["first"]).expect("written");
    let second_offset = log.length();
    log.append(&["second", "third"]).expect("written");
    let path = log.path.clone();
    drop(log);
    let mut data = fs::read(&path).expect("readable");
    data[second_offset as usize + record::HEADER_BYTES + 2] ^= 4;
    fs::write(&path, &data).expect("corrupted");
    for _ in 0..2 {
        let refused = dir.open().expect_err("refused");
        assert!(matches!(refused, StoreError::Corrupt { offset, .. } if offset == second_offset));
    }
    let opened = Log::open(&dir.0, Recovery::LastGoodSnapshot, None).expect("recovered");
    assert_eq!(opened.snapshot.as_deref(), Some(&b"snapshot"[..]));
    assert_eq!(opened.records, [b"first"]);
    drop(opened);
    assert!(path.with_extension("corrupt").exists(), "the corrupt log is kept");
    assert_eq!(dir.open().expect("valid after the recovery").records, [b"first"]);
}

#[test]
fn corrupt_snapshot_falls_back_only_if_recovery_is_requested() {
    let dir = Dir::new("back");
    let mut log = dir.open().expect("opens").log;
    for state in ["one", "two", "three"] {
        log.append(&[state]).expect("written");
        log.compact(state.as_bytes()).expect("compacted");
    }
    drop(log);
    let path = snapshot_path(&dir.0, 3);
    let data = fs::read(&path).expect("readable");
    fs::write(&path, &data[..data.len() - 1]).expect("cut");
    assert!(matches!(dir.open(), Err(StoreError::Corrupt { offset: 0, .. })));
    let opened = Log::open(&dir.0, Recovery::LastGoodSnapshot, None).expect("recovered");
    assert_eq!(opened.snapshot.as_deref(), Some(&b"two"[..]));
    assert_eq!(opened.records, [b"three"], "the log after it still holds the rest");
}

#[test]
fn full_store_keeps_acknowledged_records() {
    let dir = Dir::new("full");
    let mut log = Log::open(&dir.0, Recovery::Strict, Some(100)).expect("opens").log;
    log.append(&[[1; 40]]).expect("within the limit");
    assert!(matches!(log.append(&[[2; 40]]), Err(StoreError::Full { needed: 20, .. })));
    log.append(&[[3; 20]]).expect("a smaller one still fits");
    drop(log);
    assert_eq!(dir.open().expect("opens").records, [vec![1; 40], vec![3; 20]]);
}
