use proptest::prelude::*;

use super::*;

#[test]
fn log_of_other_instances_is_refused() {
    let record = |r: &Record| postcard::to_stdvec(r).expect("a record");
    let first = record(&Record::Voters(vec![1, 2, 3]));
    assert!(RaftStorage::restore(vec![1, 2, 3], None, std::slice::from_ref(&first)).is_ok());
    let refused = RaftStorage::restore(vec![1], None, &[first]).expect_err("other voters");
    assert!(refused.to_string().contains("[1, 2, 3]"), "{refused}");
    let checkpoint = RaftStorage::new(vec![1]).encode_checkpoint().expect("a state");
    assert!(RaftStorage::restore(vec![1, 2, 3], Some(&checkpoint), &[]).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(
        data in proptest::collection::vec(any::<u8>(), 0..120), checkpoint in any::<bool>()) {
        let _ = match checkpoint {
            true => RaftStorage::restore(vec![1], Some(&data), &[]),
            false => RaftStorage::restore(vec![1], None, &[data]),
        };
    }
}
