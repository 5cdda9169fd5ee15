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
fn records_and_snapshots_outlive_the_process_and_a_second_one_is_kept_out() {
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
fn a_log_cut_at_every_byte_of_its_last_record_opens_without_it() {
    let dir = Dir::new("cut");
    let mut log = dir.open().expect("opens").log;
    log.append(&["first", "second"]).expect("written");
    let whole = log.length();
    log.append(&["the last"]).expect("written");
    let path = log.path.clone();
    drop(log);
    let data = fs::read(&path).expect("readable");
    for cut in whole..data.len() as u64 {
        fs::write(&path, &data[..cut as usize]).expect("cut");
        let opened = dir.open().expect("a torn record is no error");
        assert_eq!((opened.records.len(), opened.cut), (2, cut - whole));
    }
}

#[test]
fn a_flipped_byte_is_refused_with_its_offset_and_restored_only_on_word() {
    let dir = Dir::new("flip");
    let mut log = dir.open().expect("opens").log;
    log.append(&["zero"]).expect("written");
    log.compact(b"snapshot").expect("compacted");
    log.append(&["first"]).expect("written");
    let second = log.length();
    log.append(&["second", "third"]).expect("written");
    let path = log.path.clone();
    drop(log);
    let mut data = fs::read(&path).expect("readable");
    data[second as usize + record::HEADER_BYTES + 2] ^= 4;
    fs::write(&path, &data).expect("spoilt");
    for _ in 0..2 {
        let refused = dir.open().expect_err("refused");
        assert!(matches!(refused, StoreError::Corrupt { offset, .. } if offset == second));
    }
    let opened = Log::open(&dir.0, Recovery::LastGoodSnapshot, None).expect("on word");
    assert_eq!(opened.snapshot.as_deref(), Some(&b"snapshot"[..]));
    assert_eq!(opened.records, [b"first"]);
    drop(opened);
    assert!(path.with_extension("corrupt").exists(), "what was corrupt is kept");
    assert_eq!(dir.open().expect("sound again").records, [b"first"]);
}

#[test]
fn a_corrupt_snapshot_goes_back_one_generation_on_word_only() {
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
    let opened = Log::open(&dir.0, Recovery::LastGoodSnapshot, None).expect("on word");
    assert_eq!(opened.snapshot.as_deref(), Some(&b"two"[..]));
    assert_eq!(opened.records, [b"three"], "the log after it still holds the rest");
}

#[test]
fn a_full_store_says_so_and_keeps_what_it_acknowledged() {
    let dir = Dir::new("full");
    let mut log = Log::open(&dir.0, Recovery::Strict, Some(100)).expect("opens").log;
    log.append(&[[1; 40]]).expect("room");
    assert!(matches!(log.append(&[[2; 40]]), Err(StoreError::Full { needed: 20, .. })));
    log.append(&[[3; 20]]).expect("a smaller one still fits");
    drop(log);
    assert_eq!(dir.open().expect("opens").records, [vec![1; 40], vec![3; 20]]);
}
