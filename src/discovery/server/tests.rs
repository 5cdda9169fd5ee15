use super::Query;

#[test]
fn a_query_is_read_or_refused() {
    assert_eq!(Query::parse("stream=1&index=41"), Ok(Query { stream: true, index: 41 }));
    assert_eq!(Query::parse(""), Ok(Query { stream: false, index: 0 }));
    assert!(Query::parse("stream=1&index=-1").is_err());
    assert!(Query::parse("stream=yes").is_err());
}
