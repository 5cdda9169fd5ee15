use proptest::prelude::*;

use super::*;

#[test]
fn a_log_of_other_instances_is_refused() {
    let record = |r: &Record| postcard::to_stdvec(r).expect("a record");
    let first = record(&Record::Voters(vec![1, 2, 3]));
    assert!(Kept::restore(vec![1, 2, 3], None, std::slice::from_ref(&first)).is_ok());
    let refused = Kept::restore(vec![1], None, &[first]).expect_err("one of three alone");
    assert!(refused.to_string().contains("[1, 2, 3]"), "{refused}");
    let whole = Kept::new(vec![1]).whole().expect("a state");
    assert!(Kept::restore(vec![1, 2, 3], Some(&whole), &[]).is_err());
}

proptest! {
    #[test]
    fn arbitrary_records_and_states_are_refused_and_never_panic(
        data in proptest::collection::vec(any::<u8>(), 0..120), whole in any::<bool>()) {
        let _ = match whole {
            true => Kept::restore(vec![1], Some(&data), &[]),
            false => Kept::restore(vec![1], None, &[data]),
        };
    }
}
